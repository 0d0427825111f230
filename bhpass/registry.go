// Package bhpass tells whether a request may be sent to an upstream that names a limit, or is
// cold. One process owns an upstream's limit and grants each request to it: the runner beside an engine,
// which also sends its items there and reads the limit in the engine's reports, or the
// gateway that comes first for an upstream without a runner. Others ask it in datagrams, without
// the store. What is granted is decided by package bhcap.
package bhpass

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// passWait bounds the wait for the owner: several round trips between data centres of a
	// region, but a small part of a latency objective of 300 ms.
	passWait = 6 * time.Millisecond
	// maxUpstreamID bounds the IDs that other processes send.
	maxUpstreamID = 64
)

// Peers gives access to the gateways and to the runners.
type Peers interface {
	// Order returns the gateways in an order that depends on the key and is the same at all
	// processes that know the same ones. An invalid address stands for this gateway.
	Order(key string) []netip.AddrPort
	// Count returns the number of gateways that are listed, also of those that Order leaves
	// out.
	Count() int
	// ListedFor returns for how long this process has known the list of gateways; zero if
	// it doesn't, or if its list is old.
	ListedFor() time.Duration
	// Ask sends a frame to the peers and returns the answers that arrive within the wait.
	Ask(ctx context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame
	// Tell sends a frame to the peers, without a confirmation.
	Tell(kind bhwire.Kind, message any, peers ...netip.AddrPort)
}

// PeerFleet reaches the gateways and runners through a datagram socket. It implements Peers.
type PeerFleet struct {
	*bhpeer.Directory
	*bhpeer.Socket
}

// Config configures a Registry.
type Config struct {
	Ledger *bhcap.Ledger
	Peers  Peers
	// Runner says that this process is a runner, which owns the limit of its engine and
	// grants whatever it is asked for.
	Runner bool
	Logger bhlog.Logger
	Scope  tally.Scope
}

// Registry asks for requests to upstreams with a limit, and grants them for those that this
// process owns. It is safe for concurrent use.
type Registry struct {
	config  Config
	granted tally.Counter
	denied  tally.Counter
	alone   tally.Counter
}

// New returns a registry.
func New(config Config) *Registry {
	return &Registry{
		config:  config,
		granted: config.Scope.Counter("limit_granted"),
		denied:  config.Scope.Counter("limit_denied"),
		alone:   config.Scope.Counter("limit_without_owner"),
	}
}

// RegisterHandlers registers the handlers by which other processes ask this one, and tell it
// of limits. It must be called before the socket runs.
func (r *Registry) RegisterHandlers(socket *bhpeer.Socket) {
	socket.Handle(bhwire.KindPass, r.handlePass)
	socket.Handle(bhwire.KindNamed, r.handleNamed)
	socket.Handle(bhwire.KindCold, r.handleCold)
}

// Take takes the right to send one request to the instance, which may be an
// engine with a runner. It takes some milliseconds if the instance has a limit, and no time
// otherwise.
func (r *Registry) Take(ctx context.Context, instance bhwatch.Instance, engine bool) bhcap.Decision {
	if known := r.config.Ledger.Look(upstreamOf(instance), time.Now()); !known.Limited {
		return bhcap.Decision{Granted: true}
	}
	decision := r.takeLimited(ctx, instance, engine)
	if decision.Granted {
		r.granted.Inc(1)
	} else {
		r.denied.Inc(1)
		bhlog.Trace(r.config.Logger, "limit.denied", "upstream", instance.ID, "limit", decision.Rate, "wait", decision.Wait)
	}
	return decision
}

// takeLimited asks the owner of the limit, or takes this process's share without it.
func (r *Registry) takeLimited(ctx context.Context, instance bhwatch.Instance, engine bool) bhcap.Decision {
	upstream := upstreamOf(instance)
	owner, isSelf := r.owner(instance, engine)
	if isSelf && r.settled() {
		return r.config.Ledger.Take(upstream, time.Now())
	}
	if owner.IsValid() {
		if decision, answered := r.ask(ctx, owner, upstream); answered {
			return decision
		}
	}
	r.alone.Inc(1)
	return r.config.Ledger.TakeShare(upstream, r.config.Peers.Count(), time.Now())
}

// owner returns the process that owns the instance's limit, by this process's list.
func (r *Registry) owner(instance bhwatch.Instance, engine bool) (address netip.AddrPort, isSelf bool) {
	if engine && instance.RunnerAddr.IsValid() {
		return instance.RunnerAddr, false
	}
	order := r.config.Peers.Order(instance.ID)
	if len(order) == 0 {
		return netip.AddrPort{}, false
	}
	return order[0], !order[0].IsValid()
}

// settled reports whether this gateway has known the list of gateways for long enough that
// all others know it too.
func (r *Registry) settled() bool { return r.config.Peers.ListedFor() >= bhcap.SettleTime }

// ask asks the owner for one request. It reports false if it didn't answer or isn't the owner.
func (r *Registry) ask(ctx context.Context, owner netip.AddrPort, upstream bhcap.Upstream) (bhcap.Decision, bool) {
	askedAt := time.Now()
	pass := bhwire.Pass{Limit: r.naming(upstream, askedAt), Cold: r.cold(upstream, askedAt)}
	frame, ok := r.config.Peers.Ask(ctx, passWait, bhwire.KindPass, pass, owner)[owner]
	if !ok || time.Since(askedAt) > 2*passWait {
		return bhcap.Decision{}, false // a process that was suspended must not use an old grant
	}
	passed, err := bhwire.Decode[bhwire.Passed](frame)
	if err != nil {
		bhlog.Trace(r.config.Logger, "limit.invalid", "peer", owner, "err", err)
		return bhcap.Decision{}, false
	}
	if !passed.Owned {
		return bhcap.Decision{}, false
	}
	r.merge(passed.Limit)
	return bhcap.Decision{Granted: passed.Granted, Limited: true, Rate: passed.Limit.Limit, Wait: passed.Wait}, true
}

// naming returns what this process knows of the upstream's limit.
func (r *Registry) naming(upstream bhcap.Upstream, now time.Time) bhwire.Named {
	known := r.config.Ledger.Newest(upstream)
	return bhwire.Named{
		Upstream: upstream.ID, Born: upstream.Born, Named: known.Named, Limit: known.Rate, Age: max(0, now.Sub(known.At)), Took: known.At.Sub(known.SentAt),
	}
}

// Observe adds what an answer of the instance said about its limit. If that is news to this
// process, it tells the owner, which may not have heard.
func (r *Registry) Observe(instance bhwatch.Instance, engine bool, naming bhcap.Naming) {
	upstream := upstreamOf(instance)
	before := r.config.Ledger.Newest(upstream)
	r.config.Ledger.Observe(upstream, naming)
	if after := r.config.Ledger.Newest(upstream); before.Named == after.Named && before.Rate == after.Rate {
		return
	}
	bhlog.Event(r.config.Logger, "limit.named", "upstream", instance.ID, "named", naming.Named, "limit", naming.Rate)
	if owner, isSelf := r.owner(instance, engine); owner.IsValid() && !isSelf {
		r.config.Peers.Tell(bhwire.KindNamed, bhwire.Named{
			Upstream: upstream.ID, Born: upstream.Born, Named: naming.Named, Limit: naming.Rate,
			Age: time.Since(naming.At), Took: naming.At.Sub(naming.SentAt),
		}, owner)
	}
}

// handlePass grants or denies a request to an upstream whose limit this process owns.
func (r *Registry) handlePass(frame bhwire.Frame) (bhwire.Kind, any) {
	pass, err := bhwire.Decode[bhwire.Pass](frame)
	if err != nil || !r.merge(pass.Limit) {
		bhlog.Trace(r.config.Logger, "limit.invalid", "bytes", len(frame.Body), "err", err)
		return "", nil
	}
	if !r.owns(pass.Limit.Upstream) {
		return bhwire.KindPassed, bhwire.Passed{}
	}
	upstream, now := r.named(pass.Limit), time.Now()
	r.mergeCold(upstream, pass.Cold)
	decision := r.config.Ledger.Take(upstream, now)
	limit := r.naming(upstream, time.Now())
	limit.Upstream, limit.Born = pass.Limit.Upstream, pass.Limit.Born
	return bhwire.KindPassed, bhwire.Passed{Owned: true, Granted: decision.Granted, Limit: limit, Wait: decision.Wait}
}

// owns reports whether this process grants requests to the upstream: two that both believe
// to own it would grant twice its limit.
func (r *Registry) owns(upstream string) bool {
	if r.config.Runner {
		return true
	}
	order := r.config.Peers.Order(upstream)
	return len(order) > 0 && !order[0].IsValid() && r.settled()
}

func (r *Registry) handleNamed(frame bhwire.Frame) (bhwire.Kind, any) {
	named, err := bhwire.Decode[bhwire.Named](frame)
	if err != nil || !r.merge(named) {
		bhlog.Trace(r.config.Logger, "limit.invalid", "bytes", len(frame.Body), "err", err)
	}
	return "", nil
}

// merge adds what another process knows. It reports whether that is valid.
func (r *Registry) merge(named bhwire.Named) bool {
	rate, ok := bhcap.CheckRate(named.Limit)
	if !ok || len(named.Upstream) > maxUpstreamID || named.Age < 0 || named.Took < 0 {
		return false
	}
	at := time.Now().Add(-named.Age)
	r.config.Ledger.Observe(r.named(named), bhcap.Naming{Named: named.Named, Rate: rate, SentAt: at.Add(-named.Took), At: at})
	return true
}

// named returns the upstream of a message in this process's ledger.
func (r *Registry) named(message bhwire.Named) bhcap.Upstream {
	return r.upstream(message.Upstream, message.Born)
}

// upstream returns the start of an upstream in this process's ledger.
func (r *Registry) upstream(id string, born int64) bhcap.Upstream {
	if r.config.Runner {
		return bhcap.RunnersEngine
	}
	return bhcap.Upstream{ID: id, Born: born}
}

// upstreamOf returns the name of the instance's start.
func upstreamOf(instance bhwatch.Instance) bhcap.Upstream {
	return bhcap.Upstream{ID: instance.ID, Born: instance.Born}
}

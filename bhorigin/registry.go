package bhorigin

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// copies is the number of gateways, besides the one that relays a stream, that
	// remember its origin, and the number of runners that do. Runners outlive a fault
	// that ends all gateways at once.
	copies = 2
	// firstAsked is the number of gateways that are asked first for an origin: those
	// with a copy, and one more since the order may have changed meanwhile. They
	// answer within firstWait, which covers a few round trips between data centres
	// of a region.
	firstAsked = copies + 1
	firstWait  = 10 * time.Millisecond
	// widerAsked is the number that are asked if none of the first knows it, for
	// widerWait. Then datagrams were lost, or gateways were replaced.
	widerAsked = 12
	widerWait  = 40 * time.Millisecond
	// runnersAsked is the number of runners that are asked together with these: those
	// with a copy, and two that come before them if engines were added meanwhile.
	runnersAsked = copies + 2
)

// Peers gives access to the other gateways of the fleet.
type Peers interface {
	// Order returns the gateways in an order that depends on the key and is the same
	// at all gateways that know the same ones. An invalid address stands for this
	// gateway.
	Order(key string) []netip.AddrPort
	// Runners returns the runners in an order that depends on the key and is the same
	// at all gateways that list the same engines.
	Runners(key string) []netip.AddrPort
	// Tell sends a frame to the peers, without a confirmation.
	Tell(kind bhwire.Kind, message any, peers ...netip.AddrPort)
	// Ask sends a frame to the peers and returns the answers that arrive within the
	// wait.
	Ask(ctx context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame
}

// PeerFleet reaches the other gateways and the runners through a datagram socket. It
// implements Peers.
type PeerFleet struct {
	*bhpeer.Directory
	*bhpeer.Socket
	// View returns the upstreams, beside which the runners run.
	View func() bhwatch.View
}

// Runners implements Peers.
func (p PeerFleet) Runners(key string) []netip.AddrPort {
	view := p.View()
	if view.Index == nil {
		return nil
	}
	var runners []netip.AddrPort
	for service, instances := range view.Fleet {
		if !view.Index.IsEngineService(service) {
			continue
		}
		for _, instance := range instances {
			if instance.RunnerAddr.IsValid() {
				runners = append(runners, instance.RunnerAddr)
			}
		}
	}
	return bhpeer.Rank(key, runners)
}

// Config configures a Registry.
type Config struct {
	// Peers are the other gateways; nil if there are none.
	Peers  Peers
	Clock  bhclock.Clock
	Logger bhlog.Logger
	Scope  tally.Scope
}

// Registry records the origins of streams at several gateways and runners. It is safe
// for concurrent use.
type Registry struct {
	config Config
	table  *Table
	asked  tally.Counter
	missed tally.Counter
}

// NewRegistry returns a registry that knows no stream.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config: config,
		table:  NewTable(config.Clock),
		asked:  config.Scope.Counter("origins_asked"),
		missed: config.Scope.Counter("origins_missed"),
	}
}

// RegisterHandlers registers the handlers by which gateways record and find streams
// here. It must be called before the socket runs.
func (r *Registry) RegisterHandlers(socket *bhpeer.Socket) {
	socket.Handle(bhwire.KindBegan, r.handleBegan)
	socket.Handle(bhwire.KindFind, r.handleFind)
}

func (r *Registry) handleBegan(frame bhwire.Frame) (bhwire.Kind, any) {
	began, err := bhwire.Decode[bhwire.Began](frame)
	if err != nil || len(began.Stream) != len(Key{}) {
		bhlog.Trace(r.config.Logger, "origin.invalid", "bytes", len(frame.Body), "err", err)
		return "", nil
	}
	r.table.Put(Key(began.Stream), Origin{Service: began.Service, Version: began.Version})
	return "", nil
}

func (r *Registry) handleFind(frame bhwire.Frame) (bhwire.Kind, any) {
	find, err := bhwire.Decode[bhwire.Find](frame)
	if err != nil || len(find.Stream) != len(Key{}) {
		bhlog.Trace(r.config.Logger, "origin.invalid", "bytes", len(frame.Body), "err", err)
		return "", nil
	}
	origin, ok := r.table.Get(Key(find.Stream))
	return bhwire.KindFound, bhwire.Found{Known: ok, Service: origin.Service, Version: origin.Version}
}

// Record remembers the origin of a stream, here, at other gateways and at runners. It
// doesn't wait for them.
func (r *Registry) Record(key Key, origin Origin) {
	r.table.Put(key, origin)
	if r.config.Peers == nil {
		return
	}
	holders := append(firstOf(copies, r.others(key)), firstOf(copies, r.runners(key))...)
	if len(holders) > 0 {
		r.config.Peers.Tell(bhwire.KindBegan, bhwire.Began{Stream: key[:], Service: origin.Service, Version: origin.Version}, holders...)
	}
}

// Find returns the origin of a stream. It reports false if no gateway or runner that it
// reaches knows the stream.
func (r *Registry) Find(ctx context.Context, key Key) (Origin, bool) {
	if origin, ok := r.table.Get(key); ok {
		return origin, true
	}
	r.asked.Inc(1)
	others := r.others(key)
	origin, ok := r.ask(ctx, key, firstWait, firstOf(firstAsked, others))
	if !ok {
		// The first ones are asked again, since single datagrams get lost.
		wider := append(firstOf(widerAsked, others), firstOf(runnersAsked, r.runners(key))...)
		origin, ok = r.ask(ctx, key, widerWait, wider)
	}
	if !ok {
		r.missed.Inc(1)
		return Origin{}, false
	}
	r.table.Put(key, origin)
	return origin, true
}

// ask returns the origin that one of the peers knows.
func (r *Registry) ask(ctx context.Context, key Key, wait time.Duration, peers []netip.AddrPort) (Origin, bool) {
	if len(peers) == 0 {
		return Origin{}, false
	}
	for peer, frame := range r.config.Peers.Ask(ctx, wait, bhwire.KindFind, bhwire.Find{Stream: key[:]}, peers...) {
		found, err := bhwire.Decode[bhwire.Found](frame)
		if err != nil {
			bhlog.Trace(r.config.Logger, "origin.invalid", "peer", peer, "err", err)
			continue
		}
		if found.Known {
			return Origin{Service: found.Service, Version: found.Version}, true
		}
	}
	return Origin{}, false
}

// firstOf returns a copy of the first count addresses.
func firstOf(count int, addresses []netip.AddrPort) []netip.AddrPort {
	return slices.Clone(addresses[:min(count, len(addresses))])
}

// runners returns the runners in the order for the key.
func (r *Registry) runners(key Key) []netip.AddrPort {
	if r.config.Peers == nil {
		return nil
	}
	return r.config.Peers.Runners(string(key[:]))
}

// others returns the other gateways in the order for the key.
func (r *Registry) others(key Key) []netip.AddrPort {
	if r.config.Peers == nil {
		return nil
	}
	var others []netip.AddrPort
	for _, peer := range r.config.Peers.Order(string(key[:])) {
		if peer.IsValid() {
			others = append(others, peer)
		}
	}
	return others
}

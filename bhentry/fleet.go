package bhentry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhbeat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmember"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhroute"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// redialInterval is the delay before a lost live session is dialed again.
	redialInterval = 300 * time.Millisecond
	// beatTimeout is the time without a heartbeat after which a sidecar gets no
	// new requests.
	beatTimeout = 2 * time.Second
	// maxPrefixBlocks is the largest number of sampled prefix blocks tracked for
	// each upstream.
	maxPrefixBlocks = 1024
)

type fleetConfig struct {
	// SelfHost is the name of this host.
	SelfHost string
	Link     bhlink.Config
	Mesh     *bhmesh.Mesh
	Hosts    bhplatform.Hosts
	Logger   bhlog.Logger
}

// fleet tracks the sidecars, keeps sessions with them and chooses upstreams.
type fleet struct {
	config fleetConfig

	mu    sync.Mutex
	table *bhroute.Table
	// cancelSessions ends the sessions dialed to a host, by host name.
	cancelSessions map[string]context.CancelFunc
	sidecars       map[string]*sidecar
	dialers        sync.WaitGroup
	// checkedAt is the time of the last check for silent sidecars, and resumedAt when a check
	// found that this process had been paused.
	checkedAt, resumedAt time.Time
}

// sidecar is the state of one sidecar as this entry knows it.
type sidecar struct {
	host         string
	centre       string
	incarnation  uint64
	beatReceiver bhbeat.Receiver
	// reported is the state as of the last heartbeat.
	reported bhbeat.State
	lastBeat time.Time
	// link is nil while there is no live session.
	link *liveLink
}

func newFleet(config fleetConfig) *fleet {
	f := &fleet{
		config:         config,
		cancelSessions: make(map[string]context.CancelFunc),
		sidecars:       make(map[string]*sidecar),
	}
	f.table = bhroute.NewTable(bhroute.Config{
		Centre:          config.Link.Self.Centre,
		Usable:          f.usable,
		MaxPrefixBlocks: maxPrefixBlocks,
	})
	config.Mesh.Handle(bhwire.KindBeat, f.handleBeat)
	config.Mesh.Handle(bhwire.KindWork, f.handleBeat)
	return f
}

// followHosts reads the host list at intervals and starts and ends the sessions
// with its hosts, until ctx is done.
func (f *fleet) followHosts(ctx context.Context) error {
	defer f.dialers.Wait()
	membership := bhmember.NewTracker(f.config.SelfHost, time.Now())
	for {
		hosts, err := f.config.Hosts.Hosts(ctx)
		if err != nil && ctx.Err() == nil {
			bhlog.Problem(f.config.Logger, "hosts.failed", err)
		}
		if err == nil {
			f.applyChange(ctx, membership.Update(time.Now(), hosts, f.connected))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(membership.Interval(time.Now())):
		}
	}
}

// applyChange ends and starts the sessions that the change names.
func (f *fleet) applyChange(ctx context.Context, change bhmember.Change) {
	for _, host := range change.Removed {
		f.removeHost(host)
	}
	for _, host := range change.Added {
		f.addHost(ctx, host)
	}
}

// connected reports whether there is a live or control session with the host.
func (f *fleet) connected(host string) bool {
	f.mu.Lock()
	s := f.sidecars[host]
	hasLink := s != nil && s.link != nil
	f.mu.Unlock()
	return hasLink || f.config.Mesh.Connected(host)
}

// removeHost ends the sessions dialed to the host and removes its upstreams from
// the table.
func (f *fleet) removeHost(host string) {
	f.mu.Lock()
	if cancel := f.cancelSessions[host]; cancel != nil {
		cancel()
	}
	delete(f.cancelSessions, host)
	delete(f.sidecars, host)
	f.mu.Unlock()
	f.table.RemoveHost(host)
	bhlog.Event(f.config.Logger, "host.forgotten", "peer", host)
}

// addHost starts the sessions with a host: both kinds with a sidecar, and a
// control session with another entry. Of two entries, the one whose name sorts
// first dials.
func (f *fleet) addHost(ctx context.Context, host bhplatform.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	f.cancelSessions[host.Name] = cancel
	bhlog.Event(f.config.Logger, "host.introduced", "peer", host.Name, "peer_role", host.Role, "link", host.Link)
	switch bhconf.Role(host.Role) {
	case bhconf.RoleSidecar:
		f.dialers.Go(func() { f.config.Mesh.Dial(ctx, host.Link) })
		f.dialers.Go(func() { f.maintainLink(ctx, host) })
	case bhconf.RoleEntry:
		if f.config.SelfHost < host.Name {
			f.dialers.Go(func() { f.config.Mesh.Dial(ctx, host.Link) })
		}
	}
}

// maintainLink keeps a live session with a sidecar until ctx is done and dials
// again whenever it ends.
func (f *fleet) maintainLink(ctx context.Context, host bhplatform.Host) {
	for ctx.Err() == nil {
		session, err := bhlink.Dial(ctx, host.Link, bhlink.ClassLive, f.config.Link)
		if err == nil {
			link := newLiveLink(session, f.config.Logger)
			f.setLink(host, link)
			err = link.receiveLoop(ctx)
			f.clearLink(host.Name, link)
		}
		bhlog.Trace(f.config.Logger, "live.redial", "peer", host.Name, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func (f *fleet) setLink(host bhplatform.Host, link *liveLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ensureSidecar(host.Name).link = link
	f.ensureSidecar(host.Name).centre = host.Centre
}

func (f *fleet) clearLink(host string, link *liveLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.ensureSidecar(host); s.link == link {
		s.link = nil
	}
}

// ensureSidecar returns the sidecar of the host and adds it if needed. The
// caller holds mu.
func (f *fleet) ensureSidecar(host string) *sidecar {
	s := f.sidecars[host]
	if s == nil {
		s = &sidecar{host: host}
		f.sidecars[host] = s
	}
	return s
}

// handleBeat applies a heartbeat or work frame to the routing table. It doesn't
// hold mu while it calls the table: the table calls usable, which locks mu,
// while it holds its own lock, so the opposite order would deadlock.
func (f *fleet) handleBeat(peer bhwire.Hello, frame bhwire.Frame) error {
	change, err := f.recordBeat(peer, frame)
	if err != nil || change.stale {
		return err
	}
	for _, upstream := range change.removed {
		f.table.Remove(upstream)
	}
	for _, load := range change.changed {
		f.table.ApplyReport(newReport(peer, load))
	}
	f.table.ConfirmReports(peer.Host)
	return nil
}

// beatChange is the effect of a heartbeat on the known upstreams.
type beatChange struct {
	// stale is true if the heartbeat is from an earlier incarnation of the
	// sidecar.
	stale   bool
	changed []bhwire.Load
	removed []string
}

// recordBeat updates the state of the sidecar and returns what changed.
// Heartbeats of earlier incarnations are ignored.
func (f *fleet) recordBeat(peer bhwire.Hello, frame bhwire.Frame) (beatChange, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.ensureSidecar(peer.Host)
	if peer.Incarnation < s.incarnation {
		return beatChange{stale: true}, nil
	}
	if peer.Incarnation > s.incarnation {
		s.beatReceiver = bhbeat.Receiver{}
	}
	state, changed, err := s.beatReceiver.Apply(frame)
	if err != nil {
		return beatChange{}, err
	}
	if state.Leaving && !s.reported.Leaving {
		bhlog.Event(f.config.Logger, "sidecar.leaving", "peer", peer.Host)
	}
	change := beatChange{changed: changed, removed: removedUpstreams(s.reported.Loads, state.Loads)}
	s.incarnation = peer.Incarnation
	s.lastBeat = time.Now()
	s.reported = state
	return change, nil
}

// removedUpstreams returns the names of upstreams in previous that aren't in
// current.
func removedUpstreams(previous, current []bhwire.Load) []string {
	var removed []string
	for _, load := range previous {
		if !containsUpstream(current, load.Upstream) {
			removed = append(removed, load.Upstream)
		}
	}
	return removed
}

// containsUpstream reports whether loads contain the upstream of that name.
func containsUpstream(loads []bhwire.Load, upstream string) bool {
	return slices.ContainsFunc(loads, func(load bhwire.Load) bool { return load.Upstream == upstream })
}

func newReport(peer bhwire.Hello, load bhwire.Load) bhroute.Report {
	return bhroute.Report{
		Upstream: load.Upstream,
		Group:    load.Group,
		Host:     peer.Host,
		Centre:   peer.Centre,
		Models:   load.Models,
		Slots:    load.Slots,
		Serving:  load.Serving,
		Running:  load.Running,
		Queued:   load.Queued,
		Work:     load.Work,
	}
}

// target is the upstream picked for an attempt and the session to its sidecar.
type target struct {
	upstream string
	link     *liveLink
}

// pick chooses an upstream for the request and logs the decision under the
// request ID. The error is that of bhroute.Table.Pick, or NoUpstream if the
// session with the upstream's host ended meanwhile.
func (f *fleet) pick(request bhroute.Request, id string) (target, error) {
	choice, err := f.table.Pick(request)
	if err != nil {
		bhlog.Decision(f.config.Logger, "route", "", err.Error(), "", "id", id, "group", request.Group)
		return target{}, err
	}
	bhlog.Decision(f.config.Logger, "route", choice.Upstream, choice.Reason, strings.Join(choice.Alternatives, ","),
		"id", id, "group", request.Group, "peer", choice.Host)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sidecars[choice.Host]
	if s == nil || s.link == nil {
		return target{}, bhcode.New(bhcode.NoUpstream, "the session with %s ended", choice.Host).WithRetryAfter(time.Second)
	}
	return target{upstream: choice.Upstream, link: s.link}, nil
}

// usable reports whether new requests can be sent to the host: it has a live
// session, isn't leaving and hasn't been silent for longer than beatTimeout.
func (f *fleet) usable(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sidecars[host]
	return s != nil && s.link != nil && !s.reported.Leaving && f.silence(s, time.Now()) <= beatTimeout
}

// reachesAllUpstreams reports whether each configured upstream that isn't
// leaving is reported by its sidecar and that sidecar has a live session.
func (f *fleet) reachesAllUpstreams(snapshot *bhsync.Snapshot) bool {
	if snapshot == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, declared := range snapshot.Config.Upstreams {
		s := f.sidecars[declared.Host]
		if declared.State == bhconf.StateLeave {
			continue
		}
		if s == nil || s.link == nil || !containsUpstream(s.reported.Loads, declared.Name) {
			return false
		}
	}
	return true
}

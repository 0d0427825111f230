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
	redialInterval = 300 * time.Millisecond
	// beatTimeout is the silence after which a sidecar gets no new work.
	beatTimeout = 2 * time.Second
	// prefixBlocks bounds the sampled prefix blocks known of each upstream.
	prefixBlocks = 1024
)

type fleetConfig struct {
	Self   string
	Link   bhlink.Config
	Mesh   *bhmesh.Mesh
	Hosts  bhplatform.Hosts
	Logger bhlog.Logger
}

// fleet knows the sidecars, keeps sessions with them and chooses upstreams.
type fleet struct {
	config fleetConfig

	mu       sync.Mutex
	table    *bhroute.Table
	known    map[string]context.CancelFunc
	sidecars map[string]*sidecar
	tasks    sync.WaitGroup
}

// sidecar is what this entry knows of one sidecar.
type sidecar struct {
	host        string
	centre      string
	incarnation uint64
	beats       bhbeat.Receiver
	state       bhbeat.State
	heard       time.Time
	live        *liveLink
}

func newFleet(config fleetConfig) *fleet {
	f := &fleet{
		config:   config,
		known:    make(map[string]context.CancelFunc),
		sidecars: make(map[string]*sidecar),
	}
	f.table = bhroute.NewTable(bhroute.Config{
		Centre: config.Link.Self.Centre,
		Usable: f.usable,
		MaxPrefixBlocks: prefixBlocks,
	})
	config.Mesh.Handle(bhwire.KindBeat, f.takeBeat)
	config.Mesh.Handle(bhwire.KindWork, f.takeBeat)
	return f
}

// run follows the host list, which introduces hosts, until ctx is done.
func (f *fleet) run(ctx context.Context) error {
	defer f.tasks.Wait()
	book := bhmember.NewBook(f.config.Self, time.Now())
	for {
		hosts, err := f.config.Hosts.Hosts(ctx)
		if err != nil && ctx.Err() == nil {
			bhlog.Problem(f.config.Logger, "hosts.failed", err)
		}
		if err == nil {
			f.follow(ctx, book.Read(time.Now(), hosts, f.connected))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(book.Next(time.Now())):
		}
	}
}

// follow begins and gives up sessions.
func (f *fleet) follow(ctx context.Context, change bhmember.Change) {
	for _, host := range change.End {
		f.forget(host)
	}
	for _, host := range change.Begin {
		f.introduce(ctx, host)
	}
}

// connected reports whether there is a session with the host.
func (f *fleet) connected(host string) bool {
	f.mu.Lock()
	s := f.sidecars[host]
	live := s != nil && s.live != nil
	f.mu.Unlock()
	return live || f.config.Mesh.Connected(host)
}

// forget gives up the sessions with a host and its upstreams.
func (f *fleet) forget(host string) {
	f.mu.Lock()
	if cancel := f.known[host]; cancel != nil {
		cancel()
	}
	delete(f.known, host)
	delete(f.sidecars, host)
	f.mu.Unlock()
	f.table.RemoveHost(host)
	bhlog.Event(f.config.Logger, "host.forgotten", "peer", host)
}

// introduce starts the sessions with a host.
func (f *fleet) introduce(ctx context.Context, host bhplatform.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	f.known[host.Name] = cancel
	bhlog.Event(f.config.Logger, "host.introduced", "peer", host.Name, "peer_role", host.Role, "link", host.Link)
	switch bhconf.Role(host.Role) {
	case bhconf.RoleSidecar:
		f.tasks.Go(func() { f.config.Mesh.Dial(ctx, host.Link) })
		f.tasks.Go(func() { f.keepLive(ctx, host) })
	case bhconf.RoleEntry:
		if f.config.Self < host.Name {
			f.tasks.Go(func() { f.config.Mesh.Dial(ctx, host.Link) })
		}
	}
}

// keepLive keeps the live session with a sidecar until ctx is done.
func (f *fleet) keepLive(ctx context.Context, host bhplatform.Host) {
	for ctx.Err() == nil {
		session, err := bhlink.Dial(ctx, host.Link, bhlink.ClassLive, f.config.Link)
		if err == nil {
			link := newLiveLink(session, f.config.Logger)
			f.attach(host, link)
			err = link.run(ctx)
			f.detach(host.Name, link)
		}
		bhlog.Trace(f.config.Logger, "live.redial", "peer", host.Name, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func (f *fleet) attach(host bhplatform.Host, link *liveLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sidecar(host.Name).live = link
	f.sidecar(host.Name).centre = host.Centre
}

func (f *fleet) detach(host string, link *liveLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sidecar(host); s.live == link {
		s.live = nil
	}
}

func (f *fleet) sidecar(host string) *sidecar {
	s := f.sidecars[host]
	if s == nil {
		s = &sidecar{host: host}
		f.sidecars[host] = s
	}
	return s
}

// takeBeat takes in a heartbeat. It calls the table without holding mu, since
// the table asks usable while it chooses.
func (f *fleet) takeBeat(peer bhwire.Hello, frame bhwire.Frame) error {
	news, err := f.note(peer, frame)
	if err != nil || news.stale {
		return err
	}
	for _, upstream := range news.gone {
		f.table.Remove(upstream)
	}
	for _, load := range news.changed {
		f.table.ApplyReport(reportOf(peer, load))
	}
	f.table.ConfirmReports(peer.Host)
	return nil
}

// beatNews is what a heartbeat changed.
type beatNews struct {
	// stale says that the heartbeat is from an earlier start of the sidecar.
	stale   bool
	changed []bhwire.Load
	gone    []string
}

// note records a heartbeat.
func (f *fleet) note(peer bhwire.Hello, frame bhwire.Frame) (beatNews, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sidecar(peer.Host)
	if peer.Incarnation < s.incarnation {
		return beatNews{stale: true}, nil
	}
	if peer.Incarnation > s.incarnation {
		s.beats = bhbeat.Receiver{}
	}
	state, changed, err := s.beats.Take(frame)
	if err != nil {
		return beatNews{}, err
	}
	if state.Leaving && !s.state.Leaving {
		bhlog.Event(f.config.Logger, "sidecar.leaving", "peer", peer.Host)
	}
	news := beatNews{changed: changed, gone: missing(s.state.Loads, state.Loads)}
	s.incarnation = peer.Incarnation
	s.heard = time.Now()
	s.state = state
	return news, nil
}

// missing returns the upstreams of before that aren't among after.
func missing(before, after []bhwire.Load) []string {
	var names []string
	for _, load := range before {
		if !lists(after, load.Upstream) {
			names = append(names, load.Upstream)
		}
	}
	return names
}

func lists(loads []bhwire.Load, upstream string) bool {
	return slices.ContainsFunc(loads, func(load bhwire.Load) bool { return load.Upstream == upstream })
}

func reportOf(peer bhwire.Hello, load bhwire.Load) bhroute.Report {
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

// target is an upstream that a request can be sent to.
type target struct {
	upstream string
	link     *liveLink
}

// pick chooses an upstream for the request.
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
	if s == nil || s.live == nil {
		return target{}, bhcode.New(bhcode.NoUpstream, "the session with %s ended", choice.Host).WithRetryAfter(time.Second)
	}
	return target{upstream: choice.Upstream, link: s.live}, nil
}

// usable reports whether new work can be sent to the host.
func (f *fleet) usable(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sidecars[host]
	return s != nil && s.live != nil && !s.state.Leaving && time.Since(s.heard) <= beatTimeout
}

// covers reports whether every upstream that should serve can be reached.
func (f *fleet) covers(snapshot *bhsync.Snapshot) bool {
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
		if s == nil || s.live == nil || !lists(s.state.Loads, declared.Name) {
			return false
		}
	}
	return true
}

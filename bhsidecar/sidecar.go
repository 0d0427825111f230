// Package bhsidecar implements the daemon that runs beside the upstreams of one
// host and is the only way to reach them: it admits requests, runs them and
// reports their outcome. The command line's sidecar command starts it, and
// entries submit requests to it.
package bhsidecar

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// heartbeatInterval is less than half of the 2 s without a heartbeat after
	// which an entry sends a sidecar no new work.
	heartbeatInterval = 900 * time.Millisecond
)

// Config configures a Sidecar.
type Config struct {
	Settings bhconf.Settings
	Logger   bhlog.Logger
	Metrics  *bhmetric.Metrics
	Platform bhplatform.Platform
	// Limits bound what callers can make the process hold; the zero value means no bounds.
	Limits bhguard.Limits
	// Incarnation is the number of this start of the process. A later start has
	// a higher number.
	Incarnation uint64
}

// Sidecar is the daemon of one host. Create one with New and call Run once.
type Sidecar struct {
	config        Config
	logger        bhlog.Logger
	upstreams     *upstreamSet
	leaving       atomic.Bool
	leaveStarted  chan struct{}
	departure     *bhdrain.Departure
	mesh          *bhmesh.Mesh
	configStore   *bhsync.Store
	syncNode      *bhsync.Node
	streams       bhdrain.Inflight
	crashReporter *crashReporter
	linkHandlers  sync.WaitGroup

	mu       sync.Mutex
	sessions map[*bhlink.Session]struct{}
}

// New returns a sidecar that is not running yet.
func New(config Config) *Sidecar {
	logger := bhlog.With(config.Logger, "role", "sidecar", "host", config.Settings.Host)
	s := &Sidecar{
		config:       config,
		logger:       logger,
		upstreams:    newUpstreamSet(config.Settings.Host, newAnswers(config.Limits), logger),
		leaveStarted: make(chan struct{}),
		departure:    bhdrain.NewDeparture(config.Settings.DrainTimeout()),
		sessions:     make(map[*bhlink.Session]struct{}),
	}
	s.configStore = bhsync.NewStore(bhsync.StoreConfig{Logger: logger})
	s.mesh = bhmesh.New(bhmesh.Config{Link: s.linkConfig(), Logger: logger})
	s.syncNode = bhsync.NewNode(bhsync.NodeConfig{
		Host:     config.Settings.Host,
		Store:    s.configStore,
		Platform: config.Platform,
		Logger:   logger,
	})
	s.syncNode.AttachMesh(s.mesh)
	s.crashReporter = newCrashReporter(s.mesh, bhcrash.Source{Host: config.Settings.Host, Incarnation: config.Incarnation})
	s.mesh.Handle(bhwire.KindVerdict, s.crashReporter.handleVerdict)
	s.mesh.Attend(s.crashReporter.sendRecent)
	s.mesh.Attend(s.sendHeartbeats)
	return s
}

// newAnswers returns the memory for large answers of batch items; nil without a limit.
func newAnswers(limits bhguard.Limits) *bhspool.Pool {
	if limits.Answers <= 0 {
		return nil
	}
	return bhspool.NewPool(limits.Answers)
}

// Run serves until ctx is done, then stops gracefully: it refuses new requests,
// waits for running ones, answers those that can't end within
// Settings.DrainTimeout, and closes its sessions. It returns an error if it can't listen or if one of its servers
// fails.
func (s *Sidecar) Run(ctx context.Context) error {
	listeners, err := bhserve.Listen(s.config.Settings.Link, s.config.Settings.Admin)
	if err != nil {
		return err
	}
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	tree := bhtree.New(bhtree.Config{Name: "sidecar", Logger: s.logger})
	ports := bhserve.NewPorts(bhserve.PortsConfig{Limits: s.config.Limits, Logger: s.logger, Scope: s.config.Metrics.Scope})
	tree.Add("link", ports.Links(listeners[0], http.HandlerFunc(s.serveLink)).Run(serveCtx))
	tree.Add("admin", ports.Operators(listeners[1], s.adminHandler()).Run(serveCtx))
	tree.AddPersistent("ports", ports.Report)
	tree.AddRestarted("sync", s.syncNode.Run)
	tree.AddRestarted("configure", s.applySnapshots)
	tree.AddRestarted("announce", s.announce)
	tree.AddRestarted("batch", s.runBatch)
	tree.Add("drain", bhtree.StopWhenDone(ctx, func() {
		s.drain()
		stop()
	}))
	bhlog.Event(s.logger, "sidecar.serving", "link", listeners[0].Addr(), "incarnation", s.config.Incarnation)
	err = tree.Run(serveCtx)
	stop()
	s.linkHandlers.Wait()
	s.upstreams.close()
	return err
}

// drain refuses new requests, waits until the running ones have ended or the
// drain bound has passed, and closes all sessions. The departure refuses in time
// what still waits for a slot, so that it can run on another host, and ends what
// still runs.
func (s *Sidecar) drain() {
	s.leaving.Store(true)
	s.departure.Begin()
	close(s.leaveStarted)
	bhlog.Event(s.logger, "sidecar.leaving")
	drainCtx, cancel := context.WithTimeout(context.Background(), s.config.Settings.DrainTimeout())
	defer cancel()
	complete := s.streams.Wait(drainCtx)
	s.closeSessions()
	bhlog.Event(s.logger, "sidecar.drained", "whole", complete)
}

// closeSessions closes all sessions after their queued frames have been sent.
func (s *Sidecar) closeSessions() {
	s.mu.Lock()
	sessions := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	var closing sync.WaitGroup
	for _, session := range sessions {
		closing.Go(func() { _ = session.Close() })
	}
	closing.Wait()
}

func (s *Sidecar) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.config.Metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// announce keeps this host's record in the platform's host list up to date.
func (s *Sidecar) announce(ctx context.Context) error {
	settings := s.config.Settings
	self := func() bhplatform.Host {
		host := bhplatform.Host{
			Name:   settings.Host,
			Role:   string(bhconf.RoleSidecar),
			Link:   settings.Link,
			Centre: settings.Centre,
			State:  bhplatform.HostLive,
		}
		if s.leaving.Load() {
			host.State = bhplatform.HostLeaving
		}
		return host
	}
	return bhplatform.KeepAnnounced(ctx, s.config.Platform.Hosts, self, s.logger)
}

// serveLink accepts a session with an entry and serves it until it ends.
func (s *Sidecar) serveLink(w http.ResponseWriter, r *http.Request) {
	s.linkHandlers.Add(1)
	defer s.linkHandlers.Done()
	session, err := bhlink.Accept(w, r, s.linkConfig())
	if err != nil {
		bhlog.Event(s.logger, "link.refused", "err", err, "source", r.RemoteAddr)
		return
	}
	bhserve.Keep(r.Context())
	s.track(session)
	defer s.closeAndUntrack(session)
	bhlog.Event(s.logger, "link.open", "peer", session.Peer.Host, "class", session.Peer.Class)
	switch session.Peer.Class {
	case bhlink.ClassLive:
		err = newLiveSession(s, session).serve(r.Context())
	case bhlink.ClassControl:
		err = s.mesh.Serve(r.Context(), session)
	}
	bhlog.Event(s.logger, "link.end", "peer", session.Peer.Host, "class", session.Peer.Class, "err", err)
}

func (s *Sidecar) track(session *bhlink.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

func (s *Sidecar) closeAndUntrack(session *bhlink.Session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Sidecar) linkConfig() bhlink.Config {
	settings := s.config.Settings
	return bhlink.Config{
		Self: bhwire.Hello{
			Host:        settings.Host,
			Role:        string(bhconf.RoleSidecar),
			Centre:      settings.Centre,
			Incarnation: s.config.Incarnation,
		},
		Secrets: settings.Secrets,
	}
}

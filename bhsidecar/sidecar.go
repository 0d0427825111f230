// Package bhsidecar is the daemon beside the upstreams of one host. It is the
// only way into them: it admits requests, runs them and reports their outcome.
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
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	beatInterval = 900 * time.Millisecond
)

// Config configures a Sidecar.
type Config struct {
	Settings bhconf.Settings
	Logger   bhlog.Logger
	Metrics  *bhmetric.Metrics
	Platform bhplatform.Platform
	// Incarnation numbers this start of the process.
	Incarnation uint64
}

// Sidecar is the daemon.
type Sidecar struct {
	config    Config
	logger    bhlog.Logger
	upstreams *upstreamSet
	leaving   atomic.Bool
	left      chan struct{}
	mesh      *bhmesh.Mesh
	store     *bhsync.Store
	node      *bhsync.Node
	streams   bhdrain.Inflight
	crashes   *crashes
	accepting sync.WaitGroup

	mu       sync.Mutex
	sessions map[*bhlink.Session]struct{}
}

// New returns a sidecar that isn't running yet.
func New(config Config) *Sidecar {
	logger := bhlog.With(config.Logger, "role", "sidecar", "host", config.Settings.Host)
	s := &Sidecar{
		config:    config,
		logger:    logger,
		upstreams: newUpstreamSet(config.Settings.Host, logger),
		left:      make(chan struct{}),
		sessions:  make(map[*bhlink.Session]struct{}),
	}
	s.store = bhsync.NewStore(bhsync.StoreConfig{Logger: logger})
	s.mesh = bhmesh.New(bhmesh.Config{Link: s.linkConfig(), Logger: logger})
	s.node = bhsync.NewNode(bhsync.NodeConfig{
		Host:     config.Settings.Host,
		Store:    s.store,
		Platform: config.Platform,
		Logger:   logger,
	})
	s.node.Attach(s.mesh)
	s.crashes = newCrashes(s.mesh, bhcrash.Source{Host: config.Settings.Host, Incarnation: config.Incarnation})
	s.mesh.Handle(bhwire.KindVerdict, s.crashes.takeVerdict)
	s.mesh.Attend(s.crashes.tell)
	s.mesh.Attend(s.beat)
	return s
}

// Run serves until ctx is done, then stops gracefully: it refuses new work,
// finishes what runs within the drain bound, and closes its sessions.
func (s *Sidecar) Run(ctx context.Context) error {
	listeners, err := bhserve.Listen(s.config.Settings.Link, s.config.Settings.Admin)
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	tree := bhtree.New(bhtree.Config{Name: "sidecar", Logger: s.logger})
	tree.Add("link", bhserve.Run(bhserve.NewServer(serving, http.HandlerFunc(s.accept)), listeners[0]))
	tree.Add("admin", bhserve.Run(bhserve.NewServer(serving, s.adminHandler()), listeners[1]))
	tree.AddRestarted("sync", s.node.Run)
	tree.AddRestarted("configure", s.configure)
	tree.AddRestarted("announce", s.announce)
	tree.AddRestarted("batch", s.batch)
	tree.Add("drain", bhtree.Stop(ctx, func() {
		s.drain()
		stop()
	}))
	bhlog.Event(s.logger, "sidecar.serving", "link", listeners[0].Addr(), "incarnation", s.config.Incarnation)
	err = tree.Run(serving)
	stop()
	s.accepting.Wait()
	s.upstreams.close()
	return err
}

// drain refuses new work and waits until what runs has ended or the drain
// bound has passed.
func (s *Sidecar) drain() {
	s.leaving.Store(true)
	close(s.left)
	bhlog.Event(s.logger, "sidecar.leaving")
	waiting, cancel := context.WithTimeout(context.Background(), s.config.Settings.DrainBound())
	defer cancel()
	whole := s.streams.Wait(waiting)
	s.closeSessions()
	bhlog.Event(s.logger, "sidecar.drained", "whole", whole)
}

// closeSessions sends what is queued on every session and ends them.
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

// announce keeps this host's entry in the platform's host list.
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

// accept runs a session with an entry.
func (s *Sidecar) accept(w http.ResponseWriter, r *http.Request) {
	s.accepting.Add(1)
	defer s.accepting.Done()
	session, err := bhlink.Accept(w, r, s.linkConfig())
	if err != nil {
		bhlog.Problem(s.logger, "link.refused", err, "source", r.RemoteAddr)
		return
	}
	s.track(session)
	defer s.untrack(session)
	bhlog.Event(s.logger, "link.open", "peer", session.Peer.Host, "class", session.Peer.Class)
	switch session.Peer.Class {
	case bhlink.ClassLive:
		err = newLiveSession(s, session).run(r.Context())
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

func (s *Sidecar) untrack(session *bhlink.Session) {
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

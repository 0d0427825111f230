// Package bhentry is the daemon that callers reach: it authenticates them,
// keeps client accounts within their share and leads requests to upstreams.
package bhentry

import (
	"context"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhadmin"
	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlimit"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhonce"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhroute"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Config configures an Entry.
type Config struct {
	Settings bhconf.Settings
	Logger   bhlog.Logger
	Metrics  *bhmetric.Metrics
	Platform bhplatform.Platform
	// Incarnation numbers this start of the process.
	Incarnation uint64
}

// Entry is the daemon.
type Entry struct {
	config    Config
	logger    bhlog.Logger
	mesh      *bhmesh.Mesh
	store     *bhsync.Store
	running   *bhsync.Running
	node      *bhsync.Node
	fleet     *fleet
	budgets   *bhroute.RetryBudgets
	suspects  *suspects
	limiter   *bhlimit.Limiter
	guard     *bhkey.Guard
	once      *bhonce.Claimer
	batches   *bhbatch.Handler
	metrics   requestMetrics
	inflight  bhdrain.Inflight
	readiness readiness
	leaving   atomic.Bool
	server    *http.Server
}

// New returns an entry that isn't running yet.
func New(config Config) *Entry {
	logger := bhlog.With(config.Logger, "role", "entry", "host", config.Settings.Host)
	e := &Entry{readiness: readiness{begun: time.Now()}, config: config, logger: logger, metrics: newRequestMetrics(config.Metrics.Scope)}
	e.mesh = bhmesh.New(bhmesh.Config{Link: e.linkConfig(), Logger: logger})
	e.store = bhsync.NewStore(bhsync.StoreConfig{Logger: logger})
	e.running = bhsync.NewRunning(e.store)
	e.node = bhsync.NewNode(bhsync.NodeConfig{
		Host:     config.Settings.Host,
		Entry:    true,
		Store:    e.store,
		Platform: config.Platform,
		Logger:   logger,
	})
	e.node.Attach(e.mesh)
	e.fleet = newFleet(fleetConfig{Self: config.Settings.Host, Link: e.linkConfig(), Mesh: e.mesh, Hosts: config.Platform.Hosts, Logger: logger})
	e.budgets = bhroute.NewRetryBudgets()
	e.suspects = newSuspects(e.mesh, config.Platform.Table, logger)
	e.once = bhonce.New(bhonce.Config{
		Table:   config.Platform.Table,
		Objects: config.Platform.Objects,
		Host:    config.Settings.Host,
		Logger:  logger,
	})
	e.guard = bhkey.NewGuard(bhkey.GuardConfig{})
	e.limiter = newLimiter(config, e.mesh, e.store, logger)
	e.batches = bhbatch.NewHandler(bhbatch.HandlerConfig{
		Store:   bhbatch.NewStore(bhbatch.StoreConfig{Platform: config.Platform, Logger: logger}),
		Logger:  logger,
		Account: func(c echo.Context) (string, error) { return callerOf(c).identity.Account, nil },
		Model:   knownModel,
	})
	return e
}

// Run serves until ctx is done, then stops gracefully: it takes no new
// connections, finishes the requests in flight within the drain bound, and
// closes its sessions.
func (e *Entry) Run(ctx context.Context) error {
	settings := e.config.Settings
	listeners, err := bhserve.Listen(settings.Listen, settings.Link, settings.Admin)
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	e.server = bhserve.NewServer(serving, e.callersHandler())
	tree := bhtree.New(bhtree.Config{Name: "entry", Logger: e.logger})
	tree.Add("callers", bhserve.Run(e.server, listeners[0]))
	tree.Add("link", bhserve.Run(bhserve.NewServer(serving, http.HandlerFunc(e.accept)), listeners[1]))
	tree.Add("admin", bhserve.Run(bhserve.NewServer(serving, e.adminHandler()), listeners[2]))
	tree.AddRestarted("sync", e.node.Run)
	tree.AddRestarted("running", e.running.Run)
	tree.AddRestarted("fleet", e.fleet.run)
	tree.AddRestarted("limits", e.limiter.Run)
	tree.AddRestarted("claims", e.once.SweepPeriodically)
	tree.AddRestarted("trials", e.suspects.run)
	tree.AddRestarted("watch", e.fleet.watch)
	tree.AddRestarted("announce", e.announce)
	tree.Add("drain", bhtree.Stop(ctx, func() {
		e.drain()
		stop()
	}))
	bhlog.Event(e.logger, "entry.serving", "listen", listeners[0].Addr(), "incarnation", e.config.Incarnation)
	return tree.Run(serving)
}

func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.Handle("/admin/", bhadmin.NewServer(bhadmin.Config{
		Node:      e.node,
		Operators: e.config.Settings.Operators,
		Secrets:   e.config.Settings.Secrets,
		Logger:    e.logger,
	}))
	mux.Handle("/metrics", e.config.Metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if e.store.Current() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/readyz", e.serveReady)
	mux.HandleFunc("/coverz", e.serveCover)
	return mux
}

// accept runs a control session with another entry.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) {
	session, err := bhlink.Accept(w, r, e.linkConfig())
	if err != nil {
		bhlog.Problem(e.logger, "link.refused", err, "source", r.RemoteAddr)
		return
	}
	if session.Peer.Class != bhlink.ClassControl {
		_ = session.Close()
		return
	}
	err = e.mesh.Serve(r.Context(), session)
	bhlog.Trace(e.logger, "link.end", "peer", session.Peer.Host, "err", err)
}

func (e *Entry) linkConfig() bhlink.Config {
	settings := e.config.Settings
	return bhlink.Config{
		Self: bhwire.Hello{
			Host:        settings.Host,
			Role:        string(bhconf.RoleEntry),
			Centre:      settings.Centre,
			Incarnation: e.config.Incarnation,
		},
		Secrets: settings.Secrets,
	}
}

// Package bhentry implements the entry, the daemon that accepts the requests of
// callers, authenticates and rate-limits them, and routes them to upstreams
// through sidecars. The daemon command in bhcmd creates and runs it.
package bhentry

import (
	"context"
	"math"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhadmin"
	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhguard"
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
	"github.com/baobabhaven/baobabhaven/bhspool"
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
	// Limits bound what callers can make the process hold; the zero value means no bounds.
	Limits bhguard.Limits
	// Incarnation is a number that is higher at each start of the process, so that
	// peers ignore messages of earlier starts.
	Incarnation uint64
}

// Entry is the entry daemon of one host.
type Entry struct {
	config          Config
	logger          bhlog.Logger
	mesh            *bhmesh.Mesh
	configStore     *bhsync.Store
	runningRequests *bhsync.RunningRequests
	syncNode        *bhsync.Node
	fleet           *fleet
	retryBudgets    *bhroute.RetryBudgets
	quarantine      *quarantine
	prompts         *bhevidence.Registry
	limiter         *bhlimit.Limiter
	keyGuard        *bhkey.BadKeyLimiter
	idempotency     *bhonce.Claimer
	batches         *bhbatch.Handler
	metrics         requestMetrics
	inflight        bhdrain.Inflight
	readiness       readiness
	leaving         atomic.Bool
	departure       *bhdrain.Departure
	callers         *bhserve.CallerListener
	// bodies is what is held for the bodies of callers' requests.
	bodies *bhspool.Budget
	// answers is the memory for answers that are kept until they are whole.
	answers *bhspool.Pool
}

// New returns an entry. It serves nothing until Run is called.
func New(config Config) *Entry {
	logger := bhlog.With(config.Logger, "role", "entry", "host", config.Settings.Host)
	e := &Entry{readiness: readiness{startedAt: time.Now()}, config: config, logger: logger, metrics: newRequestMetrics(config.Metrics.Scope), departure: bhdrain.NewDeparture(config.Settings.DrainTimeout())}
	e.bodies = newBodies(config.Limits)
	e.answers = newAnswers(config.Limits)
	e.mesh = bhmesh.New(bhmesh.Config{Link: e.linkConfig(), Logger: logger})
	e.configStore = bhsync.NewStore(bhsync.StoreConfig{Logger: logger})
	e.runningRequests = bhsync.NewRunningRequests(e.configStore)
	e.syncNode = bhsync.NewNode(bhsync.NodeConfig{
		Host:     config.Settings.Host,
		Entry:    true,
		Store:    e.configStore,
		Platform: config.Platform,
		Logger:   logger,
	})
	e.syncNode.AttachMesh(e.mesh)
	e.fleet = newFleet(fleetConfig{SelfHost: config.Settings.Host, Link: e.linkConfig(), Mesh: e.mesh, Hosts: config.Platform.Hosts, Logger: logger})
	e.retryBudgets = bhroute.NewRetryBudgets()
	e.quarantine = newQuarantine(e.mesh, config.Platform.Table, logger)
	e.prompts = newPrompts(e.mesh, config.Metrics, logger)
	e.idempotency = bhonce.New(bhonce.Config{
		Table:   config.Platform.Table,
		Objects: config.Platform.Objects,
		Host:    config.Settings.Host,
		Logger:  logger,
	})
	e.keyGuard = bhkey.NewBadKeyLimiter(bhkey.BadKeyLimiterConfig{})
	e.limiter = newLimiter(config, e.mesh, e.configStore, logger)
	e.batches = bhbatch.NewHandler(bhbatch.HandlerConfig{
		Store:   bhbatch.NewStore(bhbatch.StoreConfig{Platform: config.Platform, Logger: logger}),
		Logger:  logger,
		Account: func(c echo.Context) (string, error) { return callerFrom(c).identity.Account, nil },
		Model:   checkModel,
	})
	return e
}

// newBodies returns the budget of callers' bodies, what answers leave of the memory for both. A
// single body is taken in any case.
func newBodies(limits bhguard.Limits) *bhspool.Budget {
	if limits.Bodies <= 0 {
		return bhspool.New(bhspool.Config{Total: math.MaxInt64})
	}
	total := (limits.Bodies - limits.Bodies/answerShare) / bodyCopies
	return bhspool.New(bhspool.Config{Total: max(maxBodyBytes, total)})
}

// newAnswers returns the memory for answers that are kept until they are whole; nil without a limit.
func newAnswers(limits bhguard.Limits) *bhspool.Pool {
	if limits.Answers <= 0 {
		return nil
	}
	return bhspool.NewPool(limits.Answers)
}

// Run serves until ctx is done, then stops gracefully: it stops accepting
// connections, waits for the requests in flight, answers those that can't end
// within the drain timeout, and closes its sessions. It returns an error if it can't listen on an address of
// the settings, or if one of its tasks fails for good.
func (e *Entry) Run(ctx context.Context) error {
	settings := e.config.Settings
	listeners, err := bhserve.Listen(settings.Listen, settings.Link, settings.Admin)
	if err != nil {
		return err
	}
	servingCtx, stop := context.WithCancel(context.Background())
	defer stop()
	ports := bhserve.NewPorts(bhserve.PortsConfig{Limits: e.config.Limits, Logger: e.logger, Scope: e.config.Metrics.Scope})
	callers := ports.Callers(bhserve.CallerListenerConfig{
		Listener: listeners[0], WriteBuffer: callerWriteBuffer, IdleTimeout: func() time.Duration { return callerIdleTimeout },
	}, e.callerHandler())
	e.callers = callers.Callers
	supervisor := bhtree.New(bhtree.Config{Name: "entry", Logger: e.logger})
	supervisor.Add("callers", callers.Run(servingCtx))
	supervisor.Add("link", ports.Links(listeners[1], http.HandlerFunc(e.acceptControl)).Run(servingCtx))
	supervisor.Add("admin", ports.Operators(listeners[2], e.adminHandler()).Run(servingCtx))
	supervisor.AddPersistent("ports", ports.Report)
	supervisor.AddRestarted("sync", e.syncNode.Run)
	supervisor.AddRestarted("running", e.runningRequests.Run)
	supervisor.AddRestarted("fleet", e.fleet.followHosts)
	supervisor.AddRestarted("limits", e.limiter.Run)
	supervisor.AddRestarted("claims", e.idempotency.SweepPeriodically)
	supervisor.AddRestarted("trials", e.quarantine.sweepTrials)
	supervisor.AddRestarted("gossip", e.prompts.Gossip)
	supervisor.AddRestarted("watch", e.fleet.watchSilence)
	supervisor.AddRestarted("announce", e.announce)
	supervisor.Add("drain", bhtree.StopWhenDone(ctx, func() {
		e.drain()
		stop()
	}))
	bhlog.Event(e.logger, "entry.serving", "listen", listeners[0].Addr(), "incarnation", e.config.Incarnation)
	return supervisor.Run(servingCtx)
}

// adminHandler serves the admin API, metrics, profiles and health checks.
func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.Handle("/admin/", bhadmin.NewServer(bhadmin.Config{
		Node:      e.syncNode,
		Operators: e.config.Settings.Operators,
		Secrets:   e.config.Settings.Secrets,
		Logger:    e.logger,
	}))
	mux.Handle("/metrics", e.config.Metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if e.configStore.Current() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/readyz", e.serveReadyz)
	mux.HandleFunc("/coverz", e.serveCoverz)
	return mux
}

// acceptControl serves a control session with another entry. It closes sessions
// of other classes.
func (e *Entry) acceptControl(w http.ResponseWriter, r *http.Request) {
	session, err := bhlink.Accept(w, r, e.linkConfig())
	if err != nil {
		bhlog.Event(e.logger, "link.refused", "err", err, "source", r.RemoteAddr)
		return
	}
	if session.Peer.Class != bhlink.ClassControl {
		_ = session.Close()
		return
	}
	bhserve.Keep(r.Context())
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

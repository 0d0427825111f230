package bhcmd

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhadmit"
	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhgate"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhhost"
	"github.com/baobabhaven/baobabhaven/bhjob"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhorigin"
	"github.com/baobabhaven/baobabhaven/bhpass"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhquota"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/platform"
)

const (
	// memoryShare is the part of the memory limit that the heap may take before
	// the collector runs more often; the rest is for stacks and socket buffers.
	memoryShare = 0.7
	// gatewayPolls and runnerPolls are the polls of the configuration and of the
	// upstreams within the time in which a change must be in force. A runner hears
	// from its engine itself that it is draining.
	gatewayPolls = 6
	runnerPolls  = 3
	// runnerStale is the age of the policy and of the open jobs above which no
	// items are started. Claimed items go on through short outages of the store,
	// in which no job can be ended either.
	runnerStale = 4 * time.Second
	// runnerStop bounds how long a stopping runner gives claims back.
	runnerStop = 4 * time.Second
)

// HostOptions are the flags of daemons that run on the platform's hosts.
type HostOptions struct {
	Settings  string
	Log       string
	AdminPort int
	// Admission names the gateway's admission policy.
	Admission string
}

// NewGateway returns the command that runs a gateway.
func NewGateway(factory *Factory) *cli.Command {
	options := &HostOptions{}
	return newHosted(factory, options, hostedRole{
		name:  "gateway",
		usage: "run a gateway, which routes requests to services by host and path",
		polls: gatewayPolls,
		build: (*hosted).gateway,
		flags: []cli.Flag{&cli.StringFlag{
			Name: "admission", Value: bhadmit.NameObjective, Destination: &options.Admission,
			Usage: "`POLICY` by which requests wait for full engines: objective (refuse what would miss its latency objective), deadline or always",
			Validator: func(name string) error {
				_, err := bhadmit.ByName(name)
				return err
			},
		}},
	})
}

// NewRunner returns the command that runs a runner.
func NewRunner(factory *Factory) *cli.Command {
	return newHosted(factory, &HostOptions{}, hostedRole{
		name:  "runner",
		usage: "run a runner, which runs batch items at the engine beside it",
		polls: runnerPolls,
		build: (*hosted).runner,
	})
}

// hostedRole is what distinguishes the daemons.
type hostedRole struct {
	name  string
	usage string
	// polls is the number of polls of the policy and the upstreams within the time
	// in which a change must be in force.
	polls int
	// flags are the flags of this daemon only.
	flags []cli.Flag
	// build adds the parts of the daemon to its tree.
	build func(*hosted, *bhtree.Tree)
}

func newHosted(factory *Factory, options *HostOptions, role hostedRole) *cli.Command {
	return &cli.Command{
		Name:  role.name,
		Usage: role.usage,
		Description: describe(
			"The settings file is the platform's. It is read again at SIGHUP and when it changes; a mistaken one is logged and ignored. SIGTERM stops gracefully. Logs go to the standard output.",
			"baobab "+role.name+" --settings settings.toml",
		),
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings", Sources: cli.EnvVars(platform.SettingsVariable), Required: true, Destination: &options.Settings},
			&cli.IntFlag{Name: "admin-port", Usage: "`PORT` of the admin address instead of the settings' one, for tools that need a fixed one", Destination: &options.AdminPort},
			&cli.StringFlag{Name: "log", Usage: "least `LEVEL` of log lines: debug, info, warn or error", Value: bhlog.Info, Destination: &options.Log},
		}, role.flags...),
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			if options.AdminPort < 0 || options.AdminPort > math.MaxUint16 {
				return &UsageError{Message: fmt.Sprintf("--admin-port %d is no port", options.AdminPort)}
			}
			return runHosted(ctx, factory, role, *options)
		},
	}
}

// hosted is a daemon on one of the platform's hosts.
type hosted struct {
	file    *bhhost.File
	store   *platform.Store
	watcher *bhwatch.Watcher
	pool    *bhforward.Pool
	metrics *bhmetric.Metrics
	logger  bhlog.Logger
	clock   bhclock.Clock
	// holder names this process and start.
	holder string
	// admission is the gateway's; nil in a runner.
	admission bhadmit.Decider
	// crashes is the registry of the requests that crash upstreams; nil before the
	// role's parts are built.
	crashes *bhevidence.Registry
	// limits bound what callers can make the process hold, at its ports.
	limits bhguard.Limits
	ports  *bhserve.Ports
	// answers is the memory for what upstreams have begun to answer.
	answers *bhspool.Pool
}

func runHosted(ctx context.Context, factory *Factory, role hostedRole, options HostOptions) error {
	file, err := bhhost.Open(options.Settings, platform.ParseSettings)
	if err != nil {
		return err
	}
	output := bhlog.NewAsyncWriter(factory.Streams.Out)
	defer func() { _ = output.Close() }()
	logger, err := bhlog.New(output, options.Log)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	settings := file.Current()
	limitResources(settings)
	metrics, err := bhmetric.New(role.name, settings.Host)
	if err != nil {
		return err
	}
	defer metrics.Close()
	h := newHost(file, settings.PollInterval(role.polls), metrics, logger)
	defer h.close()
	if options.Admission != "" {
		if h.admission, err = bhadmit.ByName(options.Admission); err != nil {
			return &UsageError{Message: err.Error()}
		}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	bhlog.Event(logger, "start", "role", role.name, "host", settings.Host, "centre", settings.Centre, "holder", h.holder, "version", Version)
	tree := bhtree.New(bhtree.Config{Name: role.name, Logger: logger})
	tree.AddPersistent("settings", func(ctx context.Context) error { return file.Run(ctx, reload, logger) })
	tree.AddPersistent("admin", h.admin(output, options.AdminPort))
	tree.AddPersistent("ports", h.ports.Report)
	tree.AddPersistent("pool", h.pool.Run)
	role.build(h, tree)
	err = tree.Run(ctx)
	bhlog.Event(logger, "stop", "role", role.name, "err", err, "lines_dropped", output.Dropped())
	return err
}

func newHost(file *bhhost.File, interval time.Duration, metrics *bhmetric.Metrics, logger bhlog.Logger) *hosted {
	limits := callerLimits(file.Current())
	answers := bhspool.NewPool(limits.Answers)
	store := platform.NewStore(platform.StoreConfig{Address: func() string { return file.Current().Platform }, Scope: metrics.Scope})
	clock := bhclock.Boot{}
	return &hosted{
		file:    file,
		store:   store,
		limits:  limits,
		ports:   bhserve.NewPorts(bhserve.PortsConfig{Limits: limits, Logger: logger, Scope: metrics.Scope}),
		metrics: metrics,
		logger:  logger,
		clock:   clock,
		answers: answers,
		pool:    bhforward.NewPoolOf(bhforward.PoolConfig{Answers: answers}),
		holder:  bhhost.NewHolder(file.Current().Host),
		watcher: bhwatch.New(bhwatch.Config{
			Source: &platform.Source{
				Store:    store,
				Logger:   logger,
				PeerPort: func() uint16 { return file.Current().Peer.Port() },
			},
			Clock:    clock,
			Logger:   logger,
			Scope:    metrics.Scope,
			Interval: interval,
		}),
	}
}

func (h *hosted) close() {
	if h.crashes != nil {
		_ = h.crashes.Close()
	}
	_ = h.pool.Close()
	_ = h.store.Close()
}

func limitResources(settings bhhost.Settings) {
	if settings.Cores > 0 {
		runtime.GOMAXPROCS(settings.Cores)
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	}
}

// callerLimits returns the bounds of what callers can make the process hold, by its settings
// where they name a limit.
func callerLimits(settings bhhost.Settings) bhguard.Limits {
	machine := processMachine()
	if settings.Memory > 0 {
		machine.Memory = settings.Memory
	}
	if settings.Descriptors > 0 {
		machine.Descriptors = min(machine.Descriptors, settings.Descriptors)
	}
	return machine.Limits()
}

// clientBudget returns the budget of bodies and unread answers, or nil if the settings don't
// limit the process's memory.
func clientBudget(settings bhhost.Settings, limits bhguard.Limits) *bhspool.Budget {
	if settings.Memory <= 0 {
		return nil
	}
	return bhspool.New(bhspool.Config{Total: limits.Bodies})
}

// gateway adds the parts of a gateway to the tree.
func (h *hosted) gateway(tree *bhtree.Tree) {
	settings := h.file.Current()
	socket := h.socket()
	directory := bhpeer.NewDirectory(bhpeer.DirectoryConfig{
		Store: h.store, Host: settings.Host, Address: settings.Peer, Clock: h.clock, Logger: h.logger,
	})
	limiter := bhquota.New(bhquota.Config{
		Store:  h.store,
		Holder: h.holder,
		Index:  h.index,
		Tolerance: func() bhquota.Tolerance {
			settings := h.file.Current()
			return bhquota.Tolerance{Over: settings.QuotaOver, Slack: settings.QuotaSlack, Window: settings.QuotaWindow}
		},
		Peers:  &bhquota.PeerGateways{Directory: directory, Socket: socket, Logger: h.logger},
		Clock:  h.clock,
		Logger: h.logger,
		Scope:  h.metrics.Scope,
	})
	limiter.RegisterHandler(socket)
	origins := bhorigin.NewRegistry(bhorigin.Config{
		Peers: bhorigin.PeerFleet{Directory: directory, Socket: socket, View: h.watcher.View}, Clock: h.clock, Logger: h.logger, Scope: h.metrics.Scope,
	})
	origins.RegisterHandlers(socket)
	h.crashes = h.newCrashes(socket, directory)
	h.crashes.RegisterHandlers(socket, true)
	limits := bhpass.New(bhpass.Config{
		Ledger: bhcap.NewLedger(bhcap.Config{LeastRate: bhcap.ProbeRate, Cold: coldTolerance(settings)}),
		Peers:  bhpass.PeerFleet{Directory: directory, Socket: socket}, Logger: h.logger, Scope: h.metrics.Scope,
	})
	limits.RegisterHandlers(socket)
	board := bhgate.NewBalancer(settings.Centre, h.logger)
	gate := bhgate.New(bhgate.Config{
		Dialect:     platform.Dialect(),
		Calls:       platform.JobCalls{},
		Policies:    h.watcher,
		Quota:       limiter,
		Jobs:        h.ledger(),
		Balancer:    board,
		Origins:     origins,
		Crashes:     h.crashes,
		Limits:      limits,
		Admission:   h.admission,
		Budget:      clientBudget(settings, h.limits),
		Answers:     h.answers,
		EngineLoads: &bhgate.PeerEngineLoads{Socket: socket, Logger: h.logger},
		Pool:        h.pool,
		Clock:       h.clock,
		Logger:      h.logger,
		Scope:       h.metrics.Scope,
		Revocation:  func() time.Duration { return h.file.Current().Revocation },
	})
	server := h.gateServer(gate)
	serving, served := context.WithCancel(context.Background())
	tree.Add("serve", func(ctx context.Context) error {
		defer served()
		return server.Run(ctx)
	})
	// What a gateway serves with outlives its last request.
	tree.AddPersistent("watch", outlive(serving, h.watcher.Run))
	tree.AddPersistent("quota", outlive(serving, limiter.Run))
	tree.AddPersistent("board", board.Run)
	tree.AddPersistent("peers", outlive(serving, socket.Run))
	tree.AddPersistent("directory", directory.Run)
	tree.AddPersistent("crashes", outlive(serving, h.crashes.Sync))
	tree.AddPersistent("gossip", outlive(serving, h.crashes.Gossip))
}

// gateServer returns the server of the gate at the addresses of the settings.
func (h *hosted) gateServer(gate *bhgate.Gate) *bhgate.Server {
	settings := h.file.Current()
	return bhgate.NewServer(bhgate.ServerConfig{
		Gate:   gate,
		Ports:  h.ports,
		Front:  settings.Front,
		Ready:  settings.Ready,
		Drain:  func() time.Duration { return h.file.Current().Drain },
		Index:  h.index,
		Logger: h.logger,
	})
}

// outlive runs a child until the other context is done, and holds the tree
// until then.
func outlive(other context.Context, child bhtree.Run) bhtree.Run {
	return func(ctx context.Context) error {
		err := child(other)
		if other.Err() != nil {
			<-ctx.Done()
		}
		return err
	}
}

func (h *hosted) index() *bhpolicy.Index { return h.watcher.View().Index }

// socket returns the socket to the fleet's other processes.
func (h *hosted) socket() *bhpeer.Socket {
	return bhpeer.NewSocket(bhpeer.Config{Address: h.file.Current().Peer, Logger: h.logger, Scope: h.metrics.Scope})
}

func coldTolerance(settings bhhost.Settings) bhcap.Tolerance {
	return bhcap.Tolerance{Over: settings.ColdOver, Slack: settings.ColdSlack}
}

// newCrashes returns the registry of the requests that crash upstreams.
func (h *hosted) newCrashes(socket *bhpeer.Socket, directory *bhpeer.Directory) *bhevidence.Registry {
	return bhevidence.New(bhevidence.Config{
		Peers:   &bhevidence.PeerFleet{Directory: directory, Socket: socket, Self: h.file.Current().Peer, View: h.watcher.View},
		Store:   h.store,
		Refuses: h.pool.Refuses,
		Listed:  h.listedStart,
		Logger:  h.logger,
		Scope:   h.metrics.Scope,
	})
}

// listedStart returns the start of an upstream that is listed at the address, or false if it
// isn't certain which one is there.
func (h *hosted) listedStart(address string) (bhcrash.Listed, bool) {
	view := h.watcher.View()
	if view.Contested[address] {
		return bhcrash.Listed{}, false
	}
	instance, ok := view.At(address)
	upstream := bhcrash.Source{Host: instance.ID, Incarnation: uint64(instance.Born)}
	return bhcrash.Listed{Upstream: upstream, Ready: !instance.Draining}, ok
}

// outputShare is the part of the memory for bodies, as its inverse, that a runner has for large
// outputs of items, which take as much again three times when they are recorded.
const outputShare = 4

func (h *hosted) ledger() *bhjob.JobStore {
	return bhjob.NewJobStore(bhjob.JobStoreConfig{Store: h.store, Objects: h.store, Logger: h.logger})
}

// runner adds the parts of a runner to the tree.
func (h *hosted) runner(tree *bhtree.Tree) {
	socket := h.socket()
	directory := bhpeer.NewDirectory(bhpeer.DirectoryConfig{
		Store: h.store, Host: h.file.Current().Host, Observer: true, Clock: h.clock, Logger: h.logger,
	})
	h.crashes = h.newCrashes(socket, directory)
	h.crashes.RegisterHandlers(socket, false)
	bhorigin.NewRegistry(bhorigin.Config{Clock: h.clock, Logger: h.logger, Scope: h.metrics.Scope}).RegisterHandlers(socket)
	// The engine's reports tell when a limit of 0 ends.
	limits := bhcap.NewLedger(bhcap.Config{Cold: coldTolerance(h.file.Current())})
	bhpass.New(bhpass.Config{
		Ledger: limits, Peers: bhpass.PeerFleet{Directory: directory, Socket: socket}, Runner: true, Logger: h.logger, Scope: h.metrics.Scope,
	}).RegisterHandlers(socket)
	runner := bhjob.NewRunner(bhjob.RunnerConfig{
		Holder:     h.holder,
		Jobs:       h.ledger(),
		Policies:   h.watcher,
		Engine:     &platform.Engine{Pool: h.pool},
		Pool:       h.pool,
		Crashes:    h.crashes,
		Limits:     limits,
		Outputs:    bhspool.NewPool(h.limits.Bodies / outputShare),
		Dialect:    platform.Dialect(),
		Clock:      h.clock,
		Logger:     h.logger,
		Scope:      h.metrics.Scope,
		Address:    func() string { return h.file.Current().Engine },
		StaleAfter: func() time.Duration { return runnerStale },
		Retention:  func() time.Duration { return h.file.Current().ResultRetention },
	})
	tree.AddPersistent("watch", h.watcher.Run)
	tree.AddPersistent("beat", runner.SendHeartbeats)
	tree.AddPersistent("observe", runner.ObserveRunners)
	tree.AddPersistent("look", runner.ReadJobs)
	tree.AddPersistent("claim", runner.ClaimItems)
	tree.AddPersistent("pace", runner.AdjustToLoad)
	runner.RegisterHandlers(socket)
	tree.AddPersistent("peers", socket.Run)
	tree.AddPersistent("directory", directory.Run)
	tree.AddPersistent("crashes", h.crashes.Sync)
	tree.AddPersistent("gossip", h.crashes.Gossip)
	tree.AddPersistent("save", runner.SaveCheckpoints)
	tree.AddPersistent("sweep", runner.Sweep)
	tree.Add("claims", func(ctx context.Context) error {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.Background(), runnerStop)
		defer cancel()
		return runner.Close(ctx)
	})
}

// admin serves the metrics, at the given port of the admin address unless it is zero.
func (h *hosted) admin(output *bhlog.AsyncWriter, port int) bhtree.Run {
	address := h.file.Current().Admin
	if host, _, err := net.SplitHostPort(address); err == nil && port != 0 {
		address = net.JoinHostPort(host, strconv.Itoa(port))
	}
	dropped := h.metrics.Scope.Gauge("log_lines_dropped")
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", func(c echo.Context) error {
		dropped.Update(float64(output.Dropped()))
		h.metrics.Handler().ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return func(ctx context.Context) error {
		listeners, err := bhserve.Listen(address)
		if err != nil {
			return errors.Wrap(err, "metrics")
		}
		return h.ports.Operators(listeners[0], e).Run(ctx)(ctx)
	}
}

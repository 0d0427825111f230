package bhcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

const (
	devPort         = 8080
	devEntries      = 2
	devSidecars     = 3
	devReadyTimeout = 20 * time.Second
	devReadyPoll    = 50 * time.Millisecond
	devSecret       = "dev-fleet-secret"
	loopback        = "127.0.0.1"
)

// DevOptions are the flags of the command dev.
type DevOptions struct {
	Port int
}

// DevReady is the line that dev prints once it serves.
type DevReady struct {
	URL   string            `json:"url"`
	Admin string            `json:"admin"`
	Keys  map[string]string `json:"keys"`
}

// NewDev returns the command that runs a whole fleet in one process.
func NewDev(factory *Factory) *cli.Command {
	var options DevOptions
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole fleet on loopback, with demo accounts",
		Description: describe(
			"Stand-ins, two entries and three sidecars run in this process and end with it. "+
				"One line of JSON says where it serves.",
			"baobab dev",
			"baobab dev --port 9000",
		),
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "port", Usage: "first `PORT` of those used", Value: devPort, Destination: &options.Port},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return runDev(ctx, factory, options)
		},
	}
}

// runDev runs the fleet until ctx is done.
func runDev(ctx context.Context, factory *Factory, options DevOptions) error {
	fleet, err := newDevFleet(options.Port)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	// Outside systems end after the daemons, which may need them to stop.
	outside, stop := context.WithCancel(context.Background())
	defer stop()
	for address, handler := range fleet.outside {
		if err := serveStandIn(outside, address, handler); err != nil {
			return err
		}
	}
	if err := fleet.push(ctx); err != nil {
		return err
	}
	machine := processMachine()
	share := bhguard.Machine{Memory: machine.Memory / int64(len(fleet.daemons)), Descriptors: machine.Descriptors / len(fleet.daemons)}
	for _, settings := range fleet.daemons {
		group.Go(func() error { return serveDaemon(ctx, settings, share.Limits(), factory.Streams.Err) })
	}
	group.Go(func() error {
		if err := fleet.await(ctx); err != nil {
			return err
		}
		return json.NewEncoder(factory.Streams.Out).Encode(fleet.ready)
	})
	return group.Wait()
}

// devFleet is the declaration of the fleet that dev runs.
type devFleet struct {
	ready   DevReady
	config  bhconf.Config
	daemons []bhconf.Settings
	outside map[string]http.Handler

	platform string
	next     int
}

func newDevFleet(port int) (*devFleet, error) {
	f := &devFleet{next: port, outside: make(map[string]http.Handler), ready: DevReady{Keys: make(map[string]string)}}
	entries := make([]bhconf.Settings, devEntries)
	for i := range entries {
		listen := f.address()
		entries[i] = f.daemon(bhconf.RoleEntry, i)
		entries[i].Listen = listen
	}
	f.ready.URL = "http://" + entries[0].Listen
	f.ready.Admin = "http://" + entries[0].Admin
	f.platform = f.address()
	f.outside[f.platform] = bhstand.NewPlatform(bhstand.PlatformConfig{})
	f.daemons = entries
	f.config = bhconf.Config{
		Format: bhconf.Format,
		Models: []bhconf.Model{{Name: "rota", Version: "1", Group: "rota"}},
		Groups: []bhconf.Group{{Name: "rota", Kind: bhconf.KindEngine}, {Name: "bookings", Kind: bhconf.KindPlain}},
		Routes: []bhconf.Route{
			{Prefix: "/bookings", Group: "bookings", Idempotent: []string{http.MethodGet, http.MethodHead}},
			{Prefix: "/public", Group: "bookings", Open: true, Idempotent: []string{http.MethodGet, http.MethodHead}},
		},
	}
	for i := range devSidecars {
		f.sidecar(i)
	}
	for i := range f.daemons {
		f.daemons[i].Platform = "http://" + f.platform
	}
	return f, errors.Wrap(f.accounts("taipei-zoo", "kyushu-weddings"), "demo accounts")
}

// address returns the next free place in the range of ports.
func (f *devFleet) address() string {
	address := net.JoinHostPort(loopback, strconv.Itoa(f.next))
	f.next++
	return address
}

func (f *devFleet) daemon(role bhconf.Role, i int) bhconf.Settings {
	return bhconf.Settings{
		Role:    role,
		Host:    fmt.Sprintf("%s-%d", role, i+1),
		Centre:  "dev",
		Link:    f.address(),
		Admin:   f.address(),
		Secrets: []string{devSecret},
	}
}

// sidecar adds a sidecar with an engine and a plain service.
func (f *devFleet) sidecar(i int) {
	settings := f.daemon(bhconf.RoleSidecar, i)
	f.daemons = append(f.daemons, settings)
	engine := bhstand.NewEngine(bhstand.EngineConfig{Name: fmt.Sprintf("rota-%d", i+1), Models: map[string]string{"rota": "1"}})
	plain := bhstand.NewPlain(bhstand.PlainConfig{Name: fmt.Sprintf("bookings-%d", i+1)})
	f.upstream(fmt.Sprintf("rota-%d", i+1), "rota", settings.Host, engine)
	f.upstream(fmt.Sprintf("bookings-%d", i+1), "bookings", settings.Host, plain)
}

func (f *devFleet) upstream(name, group, host string, handler http.Handler) {
	address := f.address()
	f.outside[address] = handler
	f.config.Upstreams = append(f.config.Upstreams, bhconf.Upstream{
		Name: name, Group: group, Host: host, Address: address, Slots: 8, State: bhconf.StateServe,
	})
}

func (f *devFleet) accounts(names ...string) error {
	for _, name := range names {
		key, digest, err := bhkey.Generate()
		if err != nil {
			return err
		}
		f.ready.Keys[name] = key
		f.config.Accounts = append(f.config.Accounts, bhconf.Account{
			Name: name, Rate: 50, Burst: 100, Keys: []bhconf.Key{{Name: "demo", Digest: digest}},
		})
	}
	return nil
}

// push puts the configuration into the platform's table.
func (f *devFleet) push(ctx context.Context) error {
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: "http://" + f.platform})
	defer client.Close()
	return bhsync.NewArchive(client.Platform()).PushFirst(ctx, f.config)
}

// await waits until the fleet answers a chat request.
func (f *devFleet) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	for {
		if f.answers(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the fleet did not become ready")
		case <-time.After(devReadyPoll):
		}
	}
}

// answers reports whether each entry serves a model request on an open route.
func (f *devFleet) answers(ctx context.Context) bool {
	for _, settings := range f.daemons {
		if settings.Role != bhconf.RoleEntry {
			continue
		}
		if !statusOK(ctx, "http://"+settings.Listen+"/public") || !statusOK(ctx, "http://"+settings.Admin+"/readyz") || !statusOK(ctx, "http://"+settings.Admin+"/coverz") {
			return false
		}
	}
	return true
}

func statusOK(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serveStandIn serves handler on address until ctx is done.
func serveStandIn(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

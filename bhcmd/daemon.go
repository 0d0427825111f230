package bhcmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhentry"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhsidecar"
)

// DaemonOptions are the flags of a daemon.
type DaemonOptions struct {
	Settings string
}

// NewEntry returns the command that runs an entry.
func NewEntry(factory *Factory) *cli.Command {
	return newDaemon(factory, bhconf.RoleEntry, "run an entry, which callers reach",
		"baobab entry --settings entry-1.json")
}

// NewSidecar returns the command that runs a sidecar.
func NewSidecar(factory *Factory) *cli.Command {
	return newDaemon(factory, bhconf.RoleSidecar, "run a sidecar, which stands before a host's upstreams",
		"baobab sidecar --settings sidecar-1.json")
}

func newDaemon(factory *Factory, role bhconf.Role, usage, example string) *cli.Command {
	var options DaemonOptions
	return &cli.Command{
		Name:  string(role),
		Usage: usage,
		Description: describe(
			"SIGTERM or SIGINT stops it gracefully. The settings are read at the start only, and SIGHUP is ignored. Logs go to the standard error output.",
			example,
		),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings", Required: true, Destination: &options.Settings},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runDaemon(ctx, factory, role, options)
		},
	}
}

func runDaemon(ctx context.Context, factory *Factory, role bhconf.Role, options DaemonOptions) error {
	signal.Ignore(syscall.SIGHUP) // it would end the process without a stop
	data, err := os.ReadFile(options.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	settings, err := bhconf.ParseSettings(data)
	if err != nil {
		return err
	}
	if settings.Role != role {
		return &UsageError{Message: "the settings are for the role " + string(settings.Role)}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serveDaemon(ctx, settings, processMachine().Limits(), factory.Streams.Err)
}

// serveDaemon runs the daemon that the settings describe until ctx is done.
func serveDaemon(ctx context.Context, settings bhconf.Settings, limits bhguard.Limits, logs io.Writer) error {
	output := bhlog.NewAsyncWriter(logs)
	defer func() { _ = output.Close() }()
	logger, err := bhlog.New(output, settings.Log)
	if err != nil {
		return err
	}
	metrics, err := bhmetric.New(string(settings.Role), settings.Host)
	if err != nil {
		return err
	}
	defer metrics.Close()
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: settings.Platform})
	defer client.Close()
	incarnation := uint64(time.Now().UnixNano())
	if settings.Role == bhconf.RoleSidecar {
		return bhsidecar.New(bhsidecar.Config{
			Settings:    settings,
			Logger:      logger,
			Metrics:     metrics,
			Platform:    client.Platform(),
			Limits:      limits,
			Incarnation: incarnation,
		}).Run(ctx)
	}
	return bhentry.New(bhentry.Config{
		Settings:    settings,
		Logger:      logger,
		Metrics:     metrics,
		Platform:    client.Platform(),
		Limits:      limits,
		Incarnation: incarnation,
	}).Run(ctx)
}

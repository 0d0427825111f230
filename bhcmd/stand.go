package bhcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhstand"
)

const standHeaderTimeout = 10 * time.Second

// StandOptions are the flags that all stand-ins share.
type StandOptions struct {
	Listen string
	JSON   bool
}

// StandReady is the line that a stand-in prints once it serves.
type StandReady struct {
	Kind string `json:"kind"`
	URL  string `json:"url"`
}

// NewStand returns the command that runs stand-ins.
func NewStand(factory *Factory) *cli.Command {
	return &cli.Command{
		Name:  "stand",
		Usage: "run a stand-in for a system outside the fleet",
		Description: describe(
			"Stand-ins serve tests and trials on one machine. They keep everything in memory.",
			"baobab stand platform --listen 127.0.0.1:7000",
			"baobab stand engine --listen 127.0.0.1:7101 --model rota=1",
		),
		Commands: []*cli.Command{
			newStandPlatform(factory),
			newStandEngine(factory),
			newStandPlain(factory),
			newStandWeights(factory),
		},
	}
}

func newStandPlatform(factory *Factory) *cli.Command {
	var options StandOptions
	var config bhstand.PlatformConfig
	return &cli.Command{
		Name:  "platform",
		Usage: "run a table, an object store and a host list",
		Description: describe(
			"POST /switch changes the faults it shows, GET /counts counts what it did.",
			"baobab stand platform --listen 127.0.0.1:7000 --lag 5s",
			`curl 127.0.0.1:7000/switch -d '{"outage":true}'`,
		),
		Flags: standFlags(&options,
			&cli.DurationFlag{Name: "lag", Usage: "delay of the host list", Destination: &config.Lag},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStand(ctx, command, factory, options, bhstand.NewPlatform(config))
		},
	}
}

func newStandEngine(factory *Factory) *cli.Command {
	var options StandOptions
	var config bhstand.EngineConfig
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Description: describe(
			"The engine answers chat requests with words made from the prompt. "+
				"A prompt with the word CRASH crashes it, one with REFUSE is refused.",
			"baobab stand engine --listen 127.0.0.1:7101 --model rota=1 --token 20ms --slots 8",
			"baobab stand engine --model rota=1 --fenced --restart 2s --json",
		),
		Flags: standFlags(&options, engineFlags(&config)...),
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStand(ctx, command, factory, options, bhstand.NewEngine(config))
		},
	}
}

func engineFlags(config *bhstand.EngineConfig) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Usage: "name of the engine", Destination: &config.Name},
		&cli.IntFlag{Name: "slots", Usage: "requests that run at once", Value: 8, Destination: &config.Slots},
		&cli.IntFlag{Name: "blocks", Usage: "prefix blocks that the cache holds", Value: 1024, Destination: &config.Blocks},
		&cli.DurationFlag{Name: "token", Usage: "time per token of a request that runs alone", Destination: &config.Token},
		&cli.FloatFlag{Name: "slowdown", Usage: "part of the token time that each further request adds", Destination: &config.Slowdown},
		&cli.DurationFlag{Name: "prompt", Usage: "time per prompt block that is not cached", Destination: &config.Prompt},
		&cli.DurationFlag{Name: "lag", Usage: "delay of load reports and cache events", Destination: &config.Lag},
		&cli.Uint64Flag{Name: "gap", Usage: "lose each N-th cache event", Destination: &config.Gap},
		&cli.BoolFlag{Name: "fenced", Usage: "refuse orders with an old fencing number", Destination: &config.Fenced},
		&cli.DurationFlag{Name: "restart", Usage: "time away after a crash", Destination: &config.Restart},
		&cli.DurationFlag{Name: "loading", Usage: "time to load a model without a weight store", Destination: &config.Loading},
		&cli.StringFlag{Name: "weights", Usage: "base `URL` of the weight store", Destination: &config.Weights},
		&cli.StringMapFlag{Name: "model", Usage: "`NAME=VERSION` loaded at the start; may be repeated", Destination: &config.Models},
	}
}

func newStandPlain(factory *Factory) *cli.Command {
	var options StandOptions
	var config bhstand.PlainConfig
	return &cli.Command{
		Name:  "plain",
		Usage: "run a plain service that counts what it ran",
		Description: describe(
			"GET /stats gives the runs by method, path and id, GET /seen the headers. "+
				"The query delay=200ms makes a request slow, drop=1 drops its answer.",
			"baobab stand plain --listen 127.0.0.1:7201",
			"curl '127.0.0.1:7201/pay?delay=200ms' -d 'notice 7'",
		),
		Flags: standFlags(&options,
			&cli.StringFlag{Name: "name", Usage: "name in the answers", Destination: &config.Name},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStand(ctx, command, factory, options, bhstand.NewPlain(config))
		},
	}
}

func newStandWeights(factory *Factory) *cli.Command {
	var options StandOptions
	var config bhstand.WeightsConfig
	return &cli.Command{
		Name:  "weights",
		Usage: "run a weight store with a limited rate",
		Description: describe(
			"GET /weights/MODEL/VERSION streams the weights. All downloads share the rate.",
			"baobab stand weights --listen 127.0.0.1:7301 --rate 1000000 --size 5000000",
		),
		Flags: standFlags(&options,
			&cli.IntFlag{Name: "rate", Usage: "bytes per second of all downloads; 0 means unlimited", Destination: &config.Rate},
			&cli.IntFlag{Name: "size", Usage: "bytes of each model", Value: 1 << 20, Destination: &config.Size},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStand(ctx, command, factory, options, bhstand.NewWeights(config))
		},
	}
}

func standFlags(options *StandOptions, flags ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve on", Value: "127.0.0.1:0", Destination: &options.Listen},
		&cli.BoolFlag{Name: "json", Usage: "print the ready line as JSON", Destination: &options.JSON},
	}, flags...)
}

// runStand serves handler until the process is told to stop.
func runStand(ctx context.Context, command *cli.Command, factory *Factory, options StandOptions, handler standHandler) error {
	if err := noArguments(command); err != nil {
		return err
	}
	defer handler.Close()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standHeaderTimeout}
	ready := StandReady{Kind: command.Name, URL: "http://" + listener.Addr().String()}
	if err := printReady(factory.Streams.Out, options.JSON, ready); err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

type standHandler interface {
	http.Handler
	io.Closer
}

func printReady(out io.Writer, asJSON bool, ready StandReady) error {
	if !asJSON {
		_, err := fmt.Fprintf(out, "%s serves on %s\n", ready.Kind, ready.URL)
		return errors.WithStack(err)
	}
	data, err := json.Marshal(ready)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return errors.WithStack(err)
}

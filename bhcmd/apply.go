package bhcmd

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhadmin"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

// ApplyOptions are the flags of the apply, diff and rollback commands.
type ApplyOptions struct {
	OperatorOptions
	File    string
	Base    int64
	ID      string
	Note    string
	Version int64
}

// NewApply returns the command that pushes a configuration.
func NewApply(factory *Factory) *cli.Command {
	var options ApplyOptions
	return &cli.Command{
		Name:      "apply",
		Usage:     "push a configuration",
		ArgsUsage: "FILE",
		Description: describe("Pushes FILE as the version after --base, and says accepted, conflict, refused or unknown. "+
			"After unknown, run it again with the same --id: it finds itself if it was accepted.",
			"baobab apply config.json --base 12 --note 'summer rates'", "go run ./examples/linrota | baobab apply - --base 0"),
		Flags: append(options.flags(),
			&cli.Int64Flag{Name: "base", Usage: "`VERSION` that the push changes; 0 for the first", Required: true, Destination: &options.Base},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the push, to send it again", Destination: &options.ID},
			&cli.StringFlag{Name: "note", Usage: "`TEXT` for the history", Destination: &options.Note}),
		Action: func(ctx context.Context, command *cli.Command) error {
			var err error
			if options.File, err = oneArgument(command, "file"); err != nil {
				return err
			}
			return runApply(ctx, factory, &options)
		},
	}
}

func runApply(ctx context.Context, factory *Factory, options *ApplyOptions) error {
	config, err := readConfig(factory, options.File)
	if err != nil {
		return err
	}
	client, err := options.client()
	if err != nil {
		return err
	}
	return push(ctx, factory, client, options, config)
}

// push pushes config and reports the outcome.
func push(ctx context.Context, factory *Factory, client *bhadmin.Client, options *ApplyOptions, config bhconf.Config) error {
	body, err := config.Canonical()
	if err != nil {
		return err
	}
	if options.ID == "" {
		options.ID = rand.Text()
	}
	reply, err := client.Push(ctx, bhadmin.PushRequest{ID: options.ID, Base: options.Base, Note: options.Note, Config: body})
	if err != nil {
		return errors.Wrap(err, "push "+options.ID)
	}
	err = options.print(factory.Streams.Out, reply, func() {
		fmt.Fprintf(factory.Streams.Out, "%s: version %d (push %s)\n", reply.Outcome, reply.Version, options.ID)
		if reply.Message != "" {
			fmt.Fprintln(factory.Streams.Out, reply.Message)
		}
		printChanges(factory.Streams.Out, reply.Changes)
	})
	if err == nil && reply.Outcome != bhsync.Accepted {
		return ErrSilent
	}
	return err
}

// NewDiff returns the command that shows what a configuration would change.
func NewDiff(factory *Factory) *cli.Command {
	var options ApplyOptions
	return &cli.Command{
		Name:        "diff",
		Usage:       "show what a configuration would change, and for whom",
		ArgsUsage:   "FILE",
		Description: describe("Compares FILE with the version in force.", "baobab diff config.json", "baobab diff config.json --json"),
		Flags:       options.flags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			var err error
			if options.File, err = oneArgument(command, "file"); err != nil {
				return err
			}
			return runDiff(ctx, factory, &options)
		},
	}
}

// DiffReply is the diff command's answer as JSON.
type DiffReply struct {
	Version int64               `json:"version"`
	Changes []bhsync.Difference `json:"changes"`
}

func runDiff(ctx context.Context, factory *Factory, options *ApplyOptions) error {
	config, err := readConfig(factory, options.File)
	if err != nil {
		return err
	}
	_, current, err := options.current(ctx)
	if err != nil {
		return err
	}
	reply := DiffReply{Version: current.Version, Changes: bhsync.Describe(current.Config, config)}
	return options.print(factory.Streams.Out, reply, func() {
		fmt.Fprintf(factory.Streams.Out, "against version %d\n", reply.Version)
		printChanges(factory.Streams.Out, reply.Changes)
	})
}

// NewRollback returns the command that pushes an old version's content.
func NewRollback(factory *Factory) *cli.Command {
	var options ApplyOptions
	return &cli.Command{
		Name:        "rollback",
		Usage:       "push the content of an old version as a new version",
		ArgsUsage:   "VERSION",
		Description: describe("Revoked keys stay revoked.", "baobab rollback 11", "baobab rollback 11 --json"),
		Flags:       options.flags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			argument, err := oneArgument(command, "version")
			if err != nil {
				return err
			}
			if options.Version, err = strconv.ParseInt(argument, 10, 64); err != nil {
				return &UsageError{Message: "the version must be a number"}
			}
			return runRollback(ctx, factory, &options)
		},
	}
}

func runRollback(ctx context.Context, factory *Factory, options *ApplyOptions) error {
	client, current, err := options.current(ctx)
	if err != nil {
		return err
	}
	old, err := client.Version(ctx, options.Version)
	if err != nil {
		return err
	}
	options.Base = current.Version
	options.Note = "rollback to version " + strconv.FormatInt(options.Version, 10)
	return push(ctx, factory, client, options, old.Config)
}

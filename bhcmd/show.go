package bhcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhadmin"
)

// ShowOptions are the flags of the show, history and status commands.
type ShowOptions struct {
	OperatorOptions
	Version int64
	Limit   int
}

// NewShow returns the command that prints the configuration in force.
func NewShow(factory *Factory) *cli.Command {
	var options ShowOptions
	return &cli.Command{
		Name:  "show",
		Usage: "print the configuration in force, or an old version",
		Description: describe("Prints exactly the bytes that run. With --json it adds the version and the digest.",
			"baobab show > config.json", "baobab show --version 11"),
		Flags: append(options.flags(),
			&cli.Int64Flag{Name: "version", Usage: "`VERSION` to print instead of the one in force", Destination: &options.Version}),
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runShow(ctx, factory, &options)
		},
	}
}

func runShow(ctx context.Context, factory *Factory, options *ShowOptions) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	var reply bhadmin.ConfigReply
	if options.Version > 0 {
		reply, err = client.Version(ctx, options.Version)
	} else {
		reply, err = client.Current(ctx)
	}
	if err != nil {
		return err
	}
	canonical, err := reply.Config.Canonical()
	if err != nil {
		return err
	}
	return options.print(factory.Streams.Out, reply, func() { fmt.Fprintf(factory.Streams.Out, "%s", canonical) })
}

// NewHistory returns the command that lists versions.
func NewHistory(factory *Factory) *cli.Command {
	var options ShowOptions
	return &cli.Command{
		Name:        "history",
		Usage:       "list the versions, newest first",
		Description: describe("Says who pushed each version, when and why.", "baobab history", "baobab history --limit 100 --json"),
		Flags: append(options.flags(),
			&cli.IntFlag{Name: "limit", Usage: "`NUMBER` of versions", Value: 20, Destination: &options.Limit}),
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			reply, err := client.History(ctx, options.Limit)
			if err != nil {
				return err
			}
			return options.print(factory.Streams.Out, reply, func() {
				for _, one := range reply.Versions {
					fmt.Fprintf(factory.Streams.Out, "%d\t%s\t%s\t%d changed\t%s\t%s\n",
						one.Version, one.Time.Format(time.RFC3339), one.Author, one.Size, one.ID, one.Note)
				}
			})
		},
	}
}

// NewStatus returns the command that says which host has which version.
func NewStatus(factory *Factory) *cli.Command {
	var options ShowOptions
	return &cli.Command{
		Name:        "status",
		Usage:       "say which host has which version in force",
		Description: describe("Lists the entry that is asked and the hosts that it is linked to.", "baobab status", "baobab status --json"),
		Flags:       options.flags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			reply, err := client.Status(ctx)
			if err != nil {
				return err
			}
			return options.print(factory.Streams.Out, reply, func() {
				fmt.Fprintf(factory.Streams.Out, "version %d, %d revoked keys not yet on the platform\n", reply.Version, reply.Pending)
				for _, host := range reply.Hosts {
					fmt.Fprintf(factory.Streams.Out, "%s\t%s\t%d\n", host.Host, host.Role, host.Version)
				}
			})
		},
	}
}

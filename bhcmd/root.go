// Package bhcmd is the command line of baobabhaven: one file or package per
// command, each with an options struct and a run function.
package bhcmd

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes of the program.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitCancelled = 130
)

// Main runs the command line args and returns the exit code.
func Main(ctx context.Context, args []string, streams Streams) int {
	root := NewRoot(&Factory{Streams: streams})
	err := root.Run(ctx, args)
	if err != nil && !errors.Is(err, ErrSilent) {
		fmt.Fprintln(streams.Err, err)
	}
	return exitCode(err)
}

// NewRoot returns the root command.
func NewRoot(factory *Factory) *cli.Command {
	root := &cli.Command{
		Name:                  "baobab",
		Usage:                 "serve online and batch inference on one fleet",
		Version:               Version,
		EnableShellCompletion: true,
		Writer:                factory.Streams.Out,
		ErrWriter:             factory.Streams.Err,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			NewApply(factory),
			NewCheck(factory),
			NewDiff(factory),
			NewHistory(factory),
			NewKey(factory),
			NewRollback(factory),
			NewShow(factory),
			NewStatus(factory),
			NewBatch(factory),
			NewDev(factory),
			NewEntry(factory),
			NewGateway(factory),
			NewLoad(factory),
			NewRunner(factory),
			NewSidecar(factory),
			NewStand(factory),
			NewStory(factory),
			NewVersion(factory),
		},
	}
	reportUsage(root)
	return root
}

func exitCode(err error) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrCancelled), errors.Is(err, context.Canceled):
		return ExitCancelled
	case errors.As(err, &usage):
		return ExitUsage
	}
	return ExitFailure
}

package bhcmd

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"
)

// describe returns a command's description with its examples.
func describe(text string, examples ...string) string {
	var b strings.Builder
	b.WriteString(text)
	b.WriteString("\n\nExamples:")
	for _, example := range examples {
		b.WriteString("\n  $ ")
		b.WriteString(example)
	}
	return b.String()
}

// reportUsage makes each command below root report a wrong command line as a
// UsageError.
func reportUsage(root *cli.Command) {
	root.OnUsageError = func(_ context.Context, command *cli.Command, err error, _ bool) error {
		return &UsageError{Message: err.Error() + "; see " + command.FullName() + " --help"}
	}
	if len(root.Commands) > 0 && root.Action == nil {
		root.Action = requireCommand
	}
	for _, command := range root.Commands {
		reportUsage(command)
	}
}

// requireCommand is the action of a command that only groups others.
func requireCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		name := command.Args().First()
		return &UsageError{Message: "unknown command " + name + "; see " + command.FullName() + " --help"}
	}
	return cli.ShowSubcommandHelp(command)
}

// noArguments reports arguments that the command doesn't take.
func noArguments(command *cli.Command) error {
	if command.Args().Present() {
		return &UsageError{Message: "unexpected argument " + command.Args().First()}
	}
	return nil
}

package bhcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// VersionReply is the version command's answer as JSON.
type VersionReply struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// NewVersion returns the command that prints the version.
func NewVersion(factory *Factory) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: describe("Prints the version of the program and of its compiler.", "baobab version", "baobab version --json"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &asJSON},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			reply := VersionReply{Version: Version, Go: runtime.Version()}
			if !asJSON {
				fmt.Fprintf(factory.Streams.Out, "baobab %s (%s)\n", reply.Version, reply.Go)
				return nil
			}
			data, err := json.Marshal(reply)
			if err != nil {
				return errors.WithStack(err)
			}
			fmt.Fprintf(factory.Streams.Out, "%s\n", data)
			return nil
		},
	}
}

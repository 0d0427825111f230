package bhcmd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// CheckOptions are the flags of the check command.
type CheckOptions struct {
	File string
	JSON bool
}

// CheckReply is the check command's answer as JSON.
type CheckReply struct {
	Valid    bool            `json:"valid"`
	Problems bhconf.Problems `json:"problems"`
}

// NewCheck returns the command that checks settings and configurations.
func NewCheck(factory *Factory) *cli.Command {
	var options CheckOptions
	return &cli.Command{
		Name:      "check",
		Usage:     "report every mistake in a settings file or a configuration",
		ArgsUsage: "FILE",
		Description: describe("Prints each mistake with its place. A document with a role is a settings file. FILE may be - for the standard input.",
			"baobab check entry-1.json", "go run ./examples/linrota | baobab check -"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &options.JSON},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			var err error
			if options.File, err = oneArgument(command, "file"); err != nil {
				return err
			}
			return runCheck(factory, options)
		},
	}
}

func runCheck(factory *Factory, options CheckOptions) error {
	data, err := readFile(factory, options.File)
	if err != nil {
		return err
	}
	if isSettings(data) {
		_, err = bhconf.ParseSettings(data)
	} else {
		_, err = bhconf.ParseConfig(data)
	}
	reply := CheckReply{Valid: err == nil, Problems: bhconf.Problems{}}
	if err != nil && !errors.As(err, &reply.Problems) {
		reply.Problems = bhconf.Problems{{Path: "document", Message: err.Error()}}
	}
	if options.JSON {
		if err := printJSON(factory.Streams.Out, reply); err != nil {
			return err
		}
	} else {
		for _, problem := range reply.Problems {
			fmt.Fprintln(factory.Streams.Out, problem)
		}
	}
	if !reply.Valid {
		return ErrSilent
	}
	return nil
}

// isSettings reports whether the document is a settings file.
func isSettings(data []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return false
	}
	_, role := fields["role"]
	_, secrets := fields["secrets"]
	return role || secrets
}

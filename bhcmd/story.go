package bhcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhstory"
)

// defaultAround covers the seconds for which proofs and tokens hold.
const defaultAround = 5 * time.Second

// StoryOptions are the flags of the story command.
type StoryOptions struct {
	JSON   bool
	Around time.Duration
}

// NewStory returns the command that tells what became of a request.
func NewStory(factory *Factory) *cli.Command {
	var options StoryOptions
	return &cli.Command{
		Name:      "story",
		Usage:     "tell from logs what became of a request, a job or an item",
		ArgsUsage: "ID [FILE ...]",
		Description: describe(
			"Reads the logs of all processes, or the standard input without a FILE, and prints the lines about the ID in "+
				"order of time. Marked with a dot is what the same processes saw shortly before: a lost store, an upstream "+
				"that rested, a refused account. A file's name without its ending names the process, unless the lines "+
				"begin with a name. Clocks of hosts differ a little, so lines of two processes may be out of order.",
			"baobab story f520bbcb52114480 logs/*.log",
			"baobab story --json e5b2907c14da6f38 < all.log",
		),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the lines as JSON", Destination: &options.JSON},
			&cli.DurationFlag{Name: "around", Usage: "`TIME` before the first line from which on other events are told", Value: defaultAround, Destination: &options.Around},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if !command.Args().Present() {
				return &UsageError{Message: "story takes an ID; see " + command.FullName() + " --help"}
			}
			if options.Around < 0 {
				return &UsageError{Message: "--around is negative"}
			}
			return runStory(factory, options, command.Args().First(), command.Args().Tail())
		},
	}
}

func runStory(factory *Factory, options StoryOptions, id string, files []string) error {
	lines, skipped, err := readLogs(factory.Streams.In, files)
	if err != nil {
		return err
	}
	told := bhstory.Tell(lines, id, options.Around)
	if skipped > 0 {
		fmt.Fprintf(factory.Streams.Err, "%d lines hold no event\n", skipped)
	}
	if len(told) == 0 {
		return errors.Errorf("none of %d lines names %q", len(lines), id)
	}
	if options.JSON {
		return printJSON(factory.Streams.Out, told)
	}
	return printStory(factory.Streams.Out, told)
}

func readLogs(input io.Reader, files []string) ([]bhstory.Line, int, error) {
	if len(files) == 0 {
		return bhstory.Read(input, "-")
	}
	var all []bhstory.Line
	skipped := 0
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, errors.WithStack(err)
		}
		process := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		lines, ignored, err := bhstory.Read(file, process)
		_ = file.Close()
		if err != nil {
			return nil, 0, err
		}
		all, skipped = append(all, lines...), skipped+ignored
	}
	return all, skipped, nil
}

func printStory(output io.Writer, told []bhstory.Line) error {
	for _, line := range told {
		mark := " "
		if !line.Own {
			mark = "."
		}
		var pairs strings.Builder
		for _, pair := range line.Pairs {
			if pair.Key != "level" && pair.Value != "" {
				fmt.Fprintf(&pairs, " %s=%s", pair.Key, pair.Value)
			}
		}
		if _, err := fmt.Fprintf(output, "%s %s %s %s%s\n", mark, line.Time.Format("15:04:05.000"), line.Process, line.Event, pairs.String()); err != nil {
			return errors.Wrap(err, "printing")
		}
	}
	return nil
}

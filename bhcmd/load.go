package bhcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhload"
)

const columnGap = 2

// LoadOptions are the flags of the load command.
type LoadOptions struct {
	URLs   []string
	Ready  []string
	JSON   bool
	Strict bool
}

// NewLoad returns the command that puts a load on an entry.
func NewLoad(factory *Factory) *cli.Command {
	var options LoadOptions
	return &cli.Command{
		Name:      "load",
		Usage:     "put a load on an entry and check the answers",
		ArgsUsage: "FILE",
		Description: describe(
			"Sends the requests that the JSON file describes, whatever becomes of earlier ones, and checks "+
				"that each answer is whole and belongs to its request. The upstreams must be stand-ins. "+
				"Fails if an answer is wrong or ends early unseen.",
			"baobab load --url http://127.0.0.1:8080 load.json",
			"baobab load --url http://127.0.0.1:8080 --ready http://127.0.0.1:8082/readyz --json --strict load.json",
			`cat load.json
    {"seed": 1, "duration": "10s",
     "accounts": [{"name": "zoo", "key": "...", "rate": 20}],
     "mix": [{"class": "stream", "model": "rota", "tokens": 64, "prompt": 500, "prefixes": 4, "shared": 2000},
             {"class": "plain", "path": "/roster", "method": "GET", "weight": 0.2}]}`,
		),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Usage: "base `URL` of an entry; may be repeated", Required: true, Destination: &options.URLs},
			&cli.StringSliceFlag{Name: "ready", Usage: "`URL` that answers 200 while the entry should get requests, for each --url in turn", Destination: &options.Ready},
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON", Destination: &options.JSON},
			&cli.BoolFlag{Name: "strict", Usage: "fail also if a request is refused or fails", Destination: &options.Strict},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return &UsageError{Message: "load takes one FILE; see " + command.FullName() + " --help"}
			}
			return runLoad(ctx, factory, options, command.Args().First())
		},
	}
}

func runLoad(ctx context.Context, factory *Factory, options LoadOptions, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	config, err := bhload.Parse(data)
	if err != nil {
		return err
	}
	targets := make([]bhload.Target, len(options.URLs))
	for i, url := range options.URLs {
		targets[i].URL = url
		if i < len(options.Ready) {
			targets[i].Ready = options.Ready[i]
		}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	sent := func() { fmt.Fprintln(factory.Streams.Err, "every request is sent") }
	result := bhload.Run(ctx, targets, config, sent)
	if err := printLoad(factory.Streams.Out, options.JSON, result); err != nil {
		return err
	}
	if !result.Correct() || (options.Strict && !result.Clean()) {
		return ErrSilent
	}
	return nil
}

func printLoad(out io.Writer, asJSON bool, result bhload.Result) error {
	if asJSON {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return errors.WithStack(err)
		}
		_, err = fmt.Fprintf(out, "%s\n", data)
		return errors.WithStack(err)
	}
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "ACCOUNT\tCLASS\tSENT\tGOOD\tOTHER\tCODES\tFIRST P50\tP99\tBETWEEN P50\tP99")
	for _, row := range append(result.Rows, result.All) {
		account := row.Account
		if account == "" {
			account = "all"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			account, row.Class, row.Sent, row.Verdicts[bhload.Good], others(row), tally(row.Codes),
			span(row.First.P50), span(row.First.P99), span(row.Between.P50), span(row.Between.P99))
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for _, message := range result.Messages {
		fmt.Fprintln(out, message)
	}
	return nil
}

func others(row bhload.Row) string {
	counts := make(map[string]int)
	for verdict, count := range row.Verdicts {
		if verdict != bhload.Good {
			counts[string(verdict)] = count
		}
	}
	return tally(counts)
}

// tally returns counts as "name=1,other=2", or "-" if there are none.
func tally(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(parts, ",")
}

func span(d bhconf.Duration) string { return time.Duration(d).String() }

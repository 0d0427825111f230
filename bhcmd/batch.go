package bhcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhbatch"
)

const (
	batchTime = "2006-01-02 15:04:05"
	listLimit = 20
)

// BatchOptions are the flags that all batch commands share.
type BatchOptions struct {
	URL  string
	Key  string
	JSON bool
}

// NewBatch returns the command that groups the batch commands.
func NewBatch(factory *Factory) *cli.Command {
	return &cli.Command{
		Name:  "batch",
		Usage: "submit batches and follow them",
		Description: describe(
			"A batch is a file of requests, one JSON object a line, that are answered by a deadline.",
			"baobab batch submit --url http://127.0.0.1:8080 week.jsonl",
			"baobab batch list --url http://127.0.0.1:8080",
		),
		Commands: []*cli.Command{
			newBatchSubmit(factory),
			newBatchStatus(factory),
			newBatchResults(factory),
			newBatchCancel(factory),
			newBatchList(factory),
		},
	}
}

// batchFlags returns the shared flags and others.
func batchFlags(options *BatchOptions, others ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "url", Usage: "base `URL` of an entry", Required: true,
			Sources: cli.EnvVars("BAOBAB_URL"), Destination: &options.URL,
		},
		&cli.StringFlag{
			Name: "key", Usage: "`KEY` of the client account", Required: true,
			Sources: cli.EnvVars("BAOBAB_KEY"), Destination: &options.Key,
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &options.JSON},
	}, others...)
}

func (o BatchOptions) client() *bhbatch.Client {
	return bhbatch.NewClient(bhbatch.ClientConfig{URL: o.URL, Key: o.Key})
}

// oneArgument returns the only argument, which the usage calls name.
func oneArgument(command *cli.Command, name string) (string, error) {
	if command.Args().Len() != 1 {
		return "", &UsageError{Message: command.Name + " takes one " + name + "; see " + command.FullName() + " --help"}
	}
	return command.Args().First(), nil
}

// SubmitOptions are the flags of batch submit.
type SubmitOptions struct {
	BatchOptions
	ID     string
	Window time.Duration
}

func newBatchSubmit(factory *Factory) *cli.Command {
	var options SubmitOptions
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a file as a batch",
		ArgsUsage: "FILE",
		Description: describe(
			"Every line of the file is checked first; if any is bad, all bad lines are named and nothing is kept. "+
				"A second submission with the same id finds the same batch. Without --id the id is the "+
				"digest of the file's content.",
			"baobab batch submit --url http://127.0.0.1:8080 week.jsonl",
			"baobab batch submit --url http://127.0.0.1:8080 --id week-49 --window 12h week.jsonl",
		),
		Flags: batchFlags(&options.BatchOptions,
			&cli.StringFlag{Name: "id", Usage: "`ID` by which a resend is recognised", Destination: &options.ID},
			&cli.DurationFlag{Name: "window", Usage: "`TIME` until the deadline", Destination: &options.Window},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			path, err := oneArgument(command, "FILE")
			if err != nil {
				return err
			}
			return runBatchSubmit(ctx, factory, options, path)
		},
	}
}

func runBatchSubmit(ctx context.Context, factory *Factory, options SubmitOptions, path string) error {
	input, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = input.Close() }()
	client := options.client()
	defer client.Close()
	file, err := client.Upload(ctx, filepath.Base(path), input)
	var invalid *bhbatch.InvalidError
	if errors.As(err, &invalid) {
		return printInvalid(factory, options.JSON, path, invalid)
	}
	if err != nil {
		return err
	}
	id := options.ID
	if id == "" {
		id = file.Digest
	}
	batch, err := client.Create(ctx, file.ID, id, options.Window)
	if err != nil {
		return err
	}
	return printBatch(factory.Streams.Out, options.JSON, batch)
}

// printInvalid names the bad lines of a file, as compilers do.
func printInvalid(factory *Factory, asJSON bool, path string, invalid *bhbatch.InvalidError) error {
	if asJSON {
		if err := printJSON(factory.Streams.Out, invalid); err != nil {
			return err
		}
		return ErrSilent
	}
	for _, problem := range invalid.Problems {
		fmt.Fprintf(factory.Streams.Err, "%s:%d: %s\n", path, problem.Line, problem.Reason)
	}
	return errors.Errorf("%d bad lines; nothing was kept", invalid.Total)
}

func newBatchCancel(factory *Factory) *cli.Command {
	var options BatchOptions
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a batch",
		ArgsUsage: "ID",
		Description: describe(
			"Items that have not completed never will; results that are there stay readable.",
			"baobab batch cancel --url http://127.0.0.1:8080 batch_2f9c",
		),
		Flags: batchFlags(&options),
		Action: func(ctx context.Context, command *cli.Command) error {
			id, err := oneArgument(command, "ID")
			if err != nil {
				return err
			}
			client := options.client()
			defer client.Close()
			batch, err := client.Cancel(ctx, id)
			if err != nil {
				return err
			}
			return printBatch(factory.Streams.Out, options.JSON, batch)
		},
	}
}

// ListOptions are the flags of batch list.
type ListOptions struct {
	BatchOptions
	After string
	Limit int
}

func newBatchList(factory *Factory) *cli.Command {
	var options ListOptions
	return &cli.Command{
		Name:  "list",
		Usage: "list the client account's batches",
		Description: describe(
			"Batches come in the order of their ids.",
			"baobab batch list --url http://127.0.0.1:8080",
			"baobab batch list --url http://127.0.0.1:8080 --limit 50 --after batch_2f9c --json",
		),
		Flags: batchFlags(&options.BatchOptions,
			&cli.StringFlag{Name: "after", Usage: "start after the batch `ID`", Destination: &options.After},
			&cli.IntFlag{Name: "limit", Usage: "list at most `N`", Value: listLimit, Destination: &options.Limit},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			client := options.client()
			defer client.Close()
			list, err := client.List(ctx, options.After, options.Limit)
			if err != nil {
				return err
			}
			return printBatches(factory.Streams.Out, options.JSON, list)
		},
	}
}

func printBatch(out io.Writer, asJSON bool, batch bhbatch.BatchReply) error {
	if asJSON {
		return printJSON(out, batch)
	}
	return printBatches(out, false, bhbatch.ListReply{Data: []bhbatch.BatchReply{batch}})
}

func printBatches(out io.Writer, asJSON bool, list bhbatch.ListReply) error {
	if asJSON {
		return printJSON(out, list)
	}
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "ID\tSTATUS\tCOMPLETED\tFAILED\tREMAINING\tDEADLINE\tEXPECTED\tHOLDS")
	for _, batch := range list.Data {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%t\n",
			batch.ID, batch.Status, batch.Counts.Completed, batch.Counts.Failed, batch.Counts.Remaining,
			time.Unix(batch.Deadline, 0).Format(batchTime), expected(batch), batch.MeetsDeadline)
	}
	return errors.WithStack(table.Flush())
}

func expected(batch bhbatch.BatchReply) string {
	if batch.ExpectedEnd == nil {
		return "-"
	}
	return time.Unix(*batch.ExpectedEnd, 0).Format(batchTime)
}

func printJSON(out io.Writer, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return errors.WithStack(err)
}

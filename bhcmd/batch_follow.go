package bhcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhbatch"
)

const watchInterval = time.Second

// StatusOptions are the flags of batch status.
type StatusOptions struct {
	BatchOptions
	Watch bool
}

func newBatchStatus(factory *Factory) *cli.Command {
	var options StatusOptions
	return &cli.Command{
		Name:      "status",
		Usage:     "show the progress of a batch",
		ArgsUsage: "ID",
		Description: describe(
			"With --watch it follows the batch until it ends, with a progress bar on a terminal, and fails "+
				"unless the batch completed.",
			"baobab batch status --url http://127.0.0.1:8080 batch_2f9c",
			"baobab batch status --url http://127.0.0.1:8080 --watch batch_2f9c",
		),
		Flags: batchFlags(&options.BatchOptions,
			&cli.BoolFlag{Name: "watch", Usage: "follow the batch until it ends", Destination: &options.Watch},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			id, err := oneArgument(command, "ID")
			if err != nil {
				return err
			}
			return runBatchStatus(ctx, factory, options, id)
		},
	}
}

func runBatchStatus(ctx context.Context, factory *Factory, options StatusOptions, id string) error {
	client := options.client()
	defer client.Close()
	if !options.Watch {
		batch, err := client.Get(ctx, id)
		if err != nil {
			return err
		}
		return printBatch(factory.Streams.Out, options.JSON, batch)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	batch, err := watchBatch(ctx, client, id, newProgress(factory.Streams.Err))
	if err != nil {
		return err
	}
	if err := printBatch(factory.Streams.Out, options.JSON, batch); err != nil {
		return err
	}
	if batch.Status != bhbatch.Completed {
		return ErrSilent
	}
	return nil
}

// watchBatch reports a batch's progress until it has ended.
func watchBatch(ctx context.Context, client *bhbatch.Client, id string, progress *progress) (bhbatch.BatchReply, error) {
	for {
		batch, err := client.Get(ctx, id)
		if err != nil {
			return batch, err
		}
		progress.show(batch)
		if batch.Status != bhbatch.Running {
			return batch, nil
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return batch, ErrCancelled
		}
	}
}

// progress shows a batch's progress: as a bar on a terminal, else as a line for
// each change.
type progress struct {
	out  io.Writer
	bar  *progressbar.ProgressBar
	last bhbatch.RequestCounts
}

func newProgress(out io.Writer) *progress { return &progress{out: out} }

func (p *progress) show(batch bhbatch.BatchReply) {
	counts := batch.Counts
	text := fmt.Sprintf("%d completed, %d failed, %d remaining, expected %s, deadline holds: %t",
		counts.Completed, counts.Failed, counts.Remaining, expected(batch), batch.MeetsDeadline)
	if !isTerminal(p.out) {
		if counts != p.last {
			fmt.Fprintln(p.out, text)
		}
		p.last = counts
		return
	}
	if p.bar == nil {
		p.bar = progressbar.NewOptions(counts.Total,
			progressbar.OptionSetWriter(p.out), progressbar.OptionShowCount(),
			progressbar.OptionOnCompletion(func() { fmt.Fprintln(p.out) }))
	}
	p.bar.Describe(text)
	// A bar that can't be drawn is no reason to stop following the batch.
	_ = p.bar.Set(counts.Completed + counts.Failed)
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// ResultsOptions are the flags of batch results.
type ResultsOptions struct {
	BatchOptions
	Errors bool
	Output string
}

func newBatchResults(factory *Factory) *cli.Command {
	var options ResultsOptions
	return &cli.Command{
		Name:      "results",
		Usage:     "print the results of a batch, one JSON object a line",
		ArgsUsage: "ID",
		Description: describe(
			"The results of a batch that still runs are those of its completed chunks.",
			"baobab batch results --url http://127.0.0.1:8080 batch_2f9c",
			"baobab batch results --url http://127.0.0.1:8080 --errors batch_2f9c",
			"baobab batch results --url http://127.0.0.1:8080 --output week-49.jsonl batch_2f9c",
		),
		Flags: batchFlags(&options.BatchOptions,
			&cli.BoolFlag{Name: "errors", Usage: "print the items that failed instead", Destination: &options.Errors},
			&cli.StringFlag{Name: "output", Usage: "write to `FILE`", Destination: &options.Output},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			id, err := oneArgument(command, "ID")
			if err != nil {
				return err
			}
			return runBatchResults(ctx, factory, options, id)
		},
	}
}

func runBatchResults(ctx context.Context, factory *Factory, options ResultsOptions, id string) error {
	client := options.client()
	defer client.Close()
	body, err := client.Content(ctx, bhbatch.ResultFileID(id, options.Errors))
	if err != nil {
		return err
	}
	defer body.Close()
	out := factory.Streams.Out
	if options.Output != "" {
		file, err := os.Create(options.Output)
		if err != nil {
			return errors.WithStack(err)
		}
		if _, err := io.Copy(file, body); err != nil {
			return errors.Wrap(err, "the results are not whole")
		}
		return errors.WithStack(file.Close())
	}
	_, err = io.Copy(out, body)
	return errors.Wrap(err, "the results are not whole")
}

package bhjob

import (
	"io"
	"strings"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// maxOutputBytes bounds the output of an item, which is kept in memory. Outputs
	// have some kilobytes; an engine in trouble may send events without end.
	maxOutputBytes = 4 << 20
	// ownOutputBytes is what the output of each item may take, whatever others take.
	ownOutputBytes = 256 << 10
	// defaultOutputsBytes is RunnerConfig.Outputs of a process without a limit of its memory.
	defaultOutputsBytes = 64 << 20
)

// bindOutput prepares the output for events of the instance. It drops what can't be
// resumed, and what an upstream of another software version wrote, since the two don't
// fit together.
func (ir *itemRun) bindOutput(instance bhwatch.Instance) {
	ir.runner.mu.Lock()
	defer ir.runner.mu.Unlock()
	if ir.unplaced || !ir.checkpoint.fits(instance) {
		bhlog.Event(ir.runner.config.Logger, "item.restarted", "item", ir.item.ID, "job", ir.job.ID, "after", ir.checkpoint.LastEvent,
			"service", ir.checkpoint.Service, "version", ir.checkpoint.Version, "upstream", instance.ID, "upstream_version", instance.Version)
		ir.dropOutput()
	}
	ir.checkpoint.Service, ir.checkpoint.Version = instance.Service, instance.Version
}

// dropOutput has the item start anew. The caller holds the runner's mutex.
func (ir *itemRun) dropOutput() {
	ir.checkpoint = Checkpoint{}
	ir.freeOutput()
	ir.savedEvent, ir.text, ir.textBytes, ir.events, ir.runTime, ir.resumed, ir.unplaced = "", nil, 0, 0, 0, false, false
}

// holdOutput takes the memory for the output so far. It reports false if there is none left.
func (ir *itemRun) holdOutput() bool {
	if ir.memory == nil {
		ir.memory = ir.runner.config.Outputs.Open(ownOutputBytes)
	}
	return ir.memory.Resize(int64(ir.textBytes))
}

// freeOutput returns the memory of the output.
func (ir *itemRun) freeOutput() {
	ir.memory.Close()
}

// currentCheckpoint returns the checkpoint of the output so far, which is empty if the
// output can't be resumed.
func (ir *itemRun) currentCheckpoint() Checkpoint {
	if ir.unplaced {
		return Checkpoint{}
	}
	checkpoint := ir.checkpoint
	checkpoint.Text = ir.output()
	return checkpoint
}

// output returns the text received so far, including that of the loaded
// checkpoint.
func (ir *itemRun) output() string {
	if len(ir.text) == 0 {
		return ir.checkpoint.Text
	}
	return strings.Join(ir.text, "\n")
}

// receiveEvents receives events until the stream ends. It restarts the stall
// timer whenever events arrive. An event that isn't UTF-8 ends the stream as one that broke
// off: clients get the output as JSON text, which can't hold it.
func (ir *itemRun) receiveEvents(answer *bhforward.Answer, stall *time.Timer, answered func()) error {
	progress := &bhevent.Progress{Last: ir.checkpoint.LastEvent}
	if progress.Last != "" {
		progress.Resume()
	}
	reader := bhevent.NewReader(bhevent.ReaderConfig{
		Source: answer.Body, Progress: progress, EndsWithConnection: answer.Framing == bhforward.FramedByClose, Text: true,
	})
	for {
		events, err := reader.Next()
		if len(events) > 0 {
			stall.Reset(stallTimeout) // bytes that become no event are a stall
		}
		if failure := ir.addEvents(events, progress); failure != nil {
			return failure
		}
		if len(events) > 0 && progress.Resumable() {
			answered()
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return bhcode.Wrap(err, bhcode.AnswerIncomplete, "stream of an item").WithRan(bhcode.RanYes)
		}
	}
}

// addEvents adds data, a sequence of complete events that the progress ends with. It
// drops the output and returns an error if that gets too large, or finds no memory beside those of
// other items.
func (ir *itemRun) addEvents(data []byte, progress *bhevent.Progress) error {
	if len(data) == 0 {
		return nil
	}
	ir.runner.mu.Lock()
	defer ir.runner.mu.Unlock()
	if len(ir.text) == 0 && ir.checkpoint.Text != "" {
		ir.text, ir.textBytes = []string{ir.checkpoint.Text}, len(ir.checkpoint.Text)
		ir.checkpoint.Text = ""
	}
	if ir.textBytes += len(data); ir.textBytes > maxOutputBytes || !ir.holdOutput() {
		size := ir.textBytes
		ir.dropOutput()
		return bhcode.New(bhcode.AnswerIncomplete, "an item has %d bytes of output, of which there is no memory or more than %d", size, maxOutputBytes).WithRan(bhcode.RanYes)
	}
	for _, event := range bhevent.Parse(data) {
		if event.IsComment() {
			continue
		}
		ir.text = append(ir.text, strings.Join(event.Data, "\n"))
		ir.events++
	}
	ir.checkpoint.LastEvent, ir.unplaced = progress.Last, !progress.Resumable()
	ir.streaming = true
	return nil
}

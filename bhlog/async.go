package bhlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is how many lines may wait for a slow output.
	asyncLines = 4096
	// reportInterval is how often dropped lines are told.
	reportInterval = time.Second
)

// AsyncWriter passes lines on to a writer without ever blocking. Lines that
// find its queue full are dropped, counted, and told of in a line of its own.
type AsyncWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	closing sync.Once
	closed  chan struct{}
}

// NewAsyncWriter returns a writer that passes lines on to output.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{output: output, lines: make(chan []byte, asyncLines), closed: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write queues one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued and waits for it.
func (w *AsyncWriter) Close() error {
	w.closing.Do(func() { close(w.closed) })
	w.done.Wait()
	return nil
}

func (w *AsyncWriter) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-ticker.C:
			if dropped := w.Dropped(); dropped != reported {
				w.pass(fmt.Appendf(nil, "ts=%s level=warn event=log.dropped lines=%d total=%d\n",
					time.Now().UTC().Format(time.RFC3339Nano), dropped-reported, dropped))
				reported = dropped
			}
		case <-w.closed:
			w.flush()
			return
		}
	}
}

func (w *AsyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		default:
			return
		}
	}
}

// pass writes a line. A failing output has nowhere to be reported to, so the
// line counts as dropped.
func (w *AsyncWriter) pass(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

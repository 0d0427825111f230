package bhlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the queue size: how many lines may wait for a slow output.
	asyncQueueLines = 4096
	// asyncQueueBytes bounds the memory of these lines.
	asyncQueueBytes = 4 << 20
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// AsyncWriter queues lines for another writer and never blocks the caller.
// Lines that arrive while the queue is full are dropped and counted, and a
// log.dropped line reports their number.
type AsyncWriter struct {
	output    io.Writer
	lines     chan []byte
	queued    atomic.Int64 // bytes
	dropped   atomic.Int64
	wg        sync.WaitGroup
	closeOnce sync.Once
	closed    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter and starts its goroutine, which writes
// the queued lines to output until Close.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{output: output, lines: make(chan []byte, asyncQueueLines), closed: make(chan struct{})}
	w.wg.Go(w.writeLines)
	return w
}

// Write queues a copy of one line, or drops the line if the queue is full. It
// always returns len(line) and no error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > asyncQueueBytes {
		w.queued.Add(-size)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start, including lines
// that output failed to write.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, waits until they are written and returns nil.
// It may be called more than once. Lines written after Close are lost.
func (w *AsyncWriter) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	w.wg.Wait()
	return nil
}

// writeLines writes queued lines and reports dropped lines until Close.
func (w *AsyncWriter) writeLines() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeQueued(line)
		case <-ticker.C:
			if dropped := w.Dropped(); dropped != reported {
				w.writeLine(fmt.Appendf(nil, "ts=%s level=warn event=log.dropped lines=%d total=%d\n",
					time.Now().UTC().Format(time.RFC3339Nano), dropped-reported, dropped))
				reported = dropped
			}
		case <-w.closed:
			w.drain()
			return
		}
	}
}

// drain writes the lines that are queued now.
func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeQueued(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) writeQueued(line []byte) {
	w.writeLine(line)
	w.queued.Add(-int64(len(line)))
}

// writeLine writes a line to the output. A write error can't be logged, because
// the output is the log itself, so the line counts as dropped.
func (w *AsyncWriter) writeLine(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

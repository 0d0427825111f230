package bhlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is how many lines may wait for a slow output.
const asyncLines = 4096

// AsyncWriter passes lines on to a writer without ever blocking. Lines that
// find its queue full are dropped and counted.
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
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
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

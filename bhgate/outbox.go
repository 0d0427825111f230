package bhgate

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhspool"
)

// errReaderStalled ends a call whose client doesn't read its answer, or had to yield the
// memory that was held for it. The answer breaks off visibly.
var errReaderStalled = errors.New("the client reads its answer too slowly")

// isReaderError reports whether err is about the client's end of an answer, so that
// another upstream is of no use.
func isReaderError(err error) bool {
	return errors.Is(err, errClientGone) || errors.Is(err, errReaderStalled)
}

// outbox holds the part of an answer that the client hasn't read yet, and writes it as
// the client reads, so that the upstream is read on meanwhile. Use newOutbox to create
// one.
type outbox struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	holding    *bhspool.Holding

	mu      sync.Mutex
	changed sync.Cond
	// pending are the pieces to write, each of bhspool.LeastProgress bytes at most.
	pending [][]byte
	// started is set while a goroutine writes; it ends when closing is set and all is
	// written, or with err.
	started bool
	closing bool
	yielded bool
	err     error
	written int64
}

// newOutbox returns an outbox for the answer that is written to w.
func newOutbox(w http.ResponseWriter, budget *bhspool.Budget) *outbox {
	o := &outbox{w: w, controller: http.NewResponseController(w)}
	o.changed.L = &o.mu
	o.holding = budget.Open(o.yield)
	return o
}

// yield breaks off the answer, because the memory is needed for others.
func (o *outbox) yield() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.yielded = true
	_ = o.controller.SetWriteDeadline(time.Unix(1, 0))
	o.changed.Broadcast()
}

// push adds a copy of data to what is written. While the budget has no room, it waits
// until the client has read some. Its errors are errClientGone and errReaderStalled.
func (o *outbox) push(data []byte) error {
	for len(data) > 0 {
		piece := data[:min(len(data), bhspool.LeastProgress)]
		data = data[len(piece):]
		if err := o.reserve(int64(len(piece))); err != nil {
			return err
		}
		o.mu.Lock()
		if o.err == nil {
			o.pending = append(o.pending, append([]byte(nil), piece...))
			if !o.started {
				o.started = true
				go o.run()
			}
			o.changed.Broadcast()
		}
		err := o.err
		o.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// reserve takes the bytes from the budget. What is pending grants a wait an end.
func (o *outbox) reserve(bytes int64) error {
	for {
		written := o.progress()
		switch o.holding.Grow(bytes) {
		case bhspool.Granted:
			o.holding.Offer()
			return nil
		case bhspool.Yielded:
			return errReaderStalled
		}
		o.mu.Lock()
		for o.err == nil && !o.yielded && o.written == written {
			o.changed.Wait()
		}
		err := o.err
		o.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

func (o *outbox) progress() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written
}

// run writes what is pending until close is called and all is written.
func (o *outbox) run() {
	defer func() {
		if reason := recover(); reason != nil {
			o.end(errors.Errorf("writing the answer: %v", reason))
		}
	}()
	for {
		piece, more := o.next()
		if piece == nil {
			o.end(nil)
			return
		}
		err := o.writePiece(piece)
		if err == nil && !more {
			err = o.controller.Flush()
			if errors.Is(err, http.ErrNotSupported) {
				err = nil
			}
		}
		if err != nil {
			o.end(o.writeError(err))
			return
		}
	}
}

// next returns the next piece, and whether more are pending, or nil if there will be none.
func (o *outbox) next() (piece []byte, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.pending) == 0 && !o.closing && !o.yielded {
		o.changed.Wait()
	}
	if len(o.pending) == 0 || o.yielded {
		return nil, false
	}
	piece = o.pending[0]
	o.pending[0] = nil
	o.pending = o.pending[1:]
	return piece, len(o.pending) > 0
}

// writePiece writes one piece and frees it.
func (o *outbox) writePiece(piece []byte) error {
	deadline := o.holding.Deadline()
	o.mu.Lock()
	if !o.yielded {
		_ = o.controller.SetWriteDeadline(deadline)
	}
	o.mu.Unlock()
	n, err := o.w.Write(piece)
	o.holding.Read(int64(len(piece)))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.written += int64(n)
	o.changed.Broadcast()
	return err
}

// writeError returns the error of a call whose answer couldn't be written for err.
func (o *outbox) writeError(err error) error {
	if o.holding.Yielded() || isTimeout(err) {
		return errReaderStalled
	}
	return errClientGone
}

// end records that nothing is written any more.
func (o *outbox) end(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil && o.yielded {
		err = errReaderStalled
	}
	o.err, o.started, o.pending = err, false, nil
	o.changed.Broadcast()
}

// write writes data, to which the caller has the only reference, before it returns, or
// pushes it if the budget has no room for it at once. Nothing may have been pushed before.
func (o *outbox) write(data []byte) error {
	if o.holding.Grow(int64(len(data))) == bhspool.Granted {
		o.holding.Offer()
		for len(data) > 0 {
			piece := data[:min(len(data), bhspool.LeastProgress)]
			data = data[len(piece):]
			if err := o.writePiece(piece); err != nil {
				return o.writeError(err)
			}
		}
		return nil
	}
	return o.push(data)
}

// close waits until all is written, or drops the rest if discard is set. It returns the
// error with which writing ended.
func (o *outbox) close(discard bool) error {
	defer o.holding.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	if discard && o.started {
		o.yielded = true
		_ = o.controller.SetWriteDeadline(time.Unix(1, 0))
	}
	o.changed.Broadcast()
	for o.started {
		o.changed.Wait()
	}
	if o.err == nil && !o.yielded {
		_ = o.controller.SetWriteDeadline(time.Time{})
	}
	return o.err
}

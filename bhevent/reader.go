package bhevent

import (
	"io"
	"slices"

	"github.com/pkg/errors"
)

const (
	// readBufferSize is the number of bytes that one read returns at most.
	readBufferSize = 8 << 10
	// usualBufferSize is the largest buffer that is kept from one event to the next.
	usualBufferSize = 2 * readBufferSize
	// maxEventBytes bounds an event. Events hold some tokens; bytes that never become
	// an event would fill the memory.
	maxEventBytes = 256 << 10
)

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	// Source returns io.EOF at the end of the stream.
	Source io.Reader
	// Progress records the events. It outlives the reader and is used again for the
	// resumed stream.
	Progress *Progress
	// EndsWithConnection says that io.EOF means no more than that the connection was
	// closed. The stream must then have at least one event.
	EndsWithConnection bool
	// Resize asks for memory of the bytes for an event that has begun, in place of what it asked
	// for before, or returns what exceeds them. The stream fails if it reports false. Nil allows
	// any.
	Resize func(bytes int64) bool
	// Text says that the IDs and the data of events must be UTF-8, as they are kept as text. An
	// event of which they aren't is no event.
	Text bool
}

// Reader reads complete events from a stream that may break off in the middle of
// an event.
type Reader struct {
	config ReaderConfig
	buffer []byte
	// pending holds the bytes that were read, from the start of an event on.
	pending []byte
	// returned is the length of the events at the start of pending that the last
	// Next returned.
	returned int
	// received reports whether an event that is no comment was returned. It is kept only for
	// streams that end with their connection.
	received bool
}

// NewReader returns a reader of the stream.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{config: config, buffer: make([]byte, readBufferSize)}
}

// Next reads the stream once and returns the complete events that are now
// available, if any. The bytes are valid until the next call.
//
// At the end of the stream, it returns the last events with io.EOF. A stream that
// ends inside an event has broken off, whatever its source says: the incomplete
// event is dropped and the error is io.ErrUnexpectedEOF. Next also fails after the events
// before bytes that are no event, if an event is too large, or if a resumed stream doesn't
// continue after the last event (see Progress). Any error ends the stream.
func (r *Reader) Next() ([]byte, error) {
	r.dropReturned()
	n, err := r.config.Source.Read(r.buffer)
	if !r.grow(n) {
		return nil, errors.Errorf("no memory for an event of more than %d bytes", len(r.pending))
	}
	r.pending = append(r.pending, r.buffer[:n]...)
	r.returned = CompleteLength(r.pending)
	sound, soundErr := soundLength(r.pending[:r.returned], r.config.Text)
	events := r.pending[:sound]
	if progressErr := r.config.Progress.Advance(events); progressErr != nil {
		return nil, progressErr
	}
	if soundErr != nil {
		return events, soundErr
	}
	if r.config.EndsWithConnection && !r.received {
		r.received = slices.ContainsFunc(Parse(events), func(event Event) bool { return !event.IsComment() })
	}
	if partial := len(r.pending) - r.returned; partial > maxEventBytes {
		return events, errors.Errorf("an event has more than %d bytes", maxEventBytes)
	}
	if err == io.EOF {
		return events, r.checkEnd()
	}
	return events, err
}

// dropReturned removes the events that the last Next returned, and gives up a large buffer that is
// no longer needed.
func (r *Reader) dropReturned() {
	rest := r.pending[r.returned:]
	r.returned = 0
	if cap(r.pending) <= usualBufferSize || len(rest) > readBufferSize {
		r.pending = append(r.pending[:0], rest...)
		return
	}
	r.pending = append(make([]byte, 0, usualBufferSize), rest...)
	if r.config.Resize != nil {
		r.config.Resize(usualBufferSize)
	}
}

// grow makes room for more bytes. It reports false if there is no memory for them.
func (r *Reader) grow(bytes int) bool {
	if len(r.pending)+bytes <= cap(r.pending) {
		return true
	}
	size := max(2*cap(r.pending), len(r.pending)+bytes, readBufferSize)
	if r.config.Resize != nil && !r.config.Resize(int64(size)) {
		return false
	}
	r.pending = append(make([]byte, 0, size), r.pending...)
	return true
}

// checkEnd returns io.EOF if the stream may end here, otherwise an error that wraps
// io.ErrUnexpectedEOF.
func (r *Reader) checkEnd() error {
	switch partial := len(r.pending) - r.returned; {
	case partial > 0:
		return errors.Wrapf(io.ErrUnexpectedEOF, "the stream ended %d bytes into an event", partial)
	case r.config.EndsWithConnection && !r.received:
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the first event")
	}
	return io.EOF
}

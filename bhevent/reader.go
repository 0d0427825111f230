package bhevent

import "io"

// readBufferSize is the number of bytes that one read returns at most.
const readBufferSize = 8 << 10

// Reader reads complete events from a stream that may break off in the middle of
// an event.
type Reader struct {
	source   io.Reader
	progress *Progress
	buffer   []byte
	// pending holds the bytes that were read, from the start of an event on.
	pending []byte
	// returned is the length of the events at the start of pending that the last
	// Next returned.
	returned int
}

// NewReader returns a reader of the stream. It records the events in progress,
// which outlives the reader and is used again for the resumed stream.
func NewReader(source io.Reader, progress *Progress) *Reader {
	return &Reader{source: source, progress: progress, buffer: make([]byte, readBufferSize)}
}

// Next reads the stream once and returns the complete events that are now
// available, if any. The bytes are valid until the next call.
//
// At the regular end of the stream, it returns the remaining bytes, complete
// event or not, with io.EOF. If the stream breaks, an incomplete last event is
// dropped. Next also fails if a resumed stream doesn't continue after the last
// event (see Progress). Any error ends the stream.
func (r *Reader) Next() ([]byte, error) {
	r.pending = append(r.pending[:0], r.pending[r.returned:]...)
	n, err := r.source.Read(r.buffer)
	r.pending = append(r.pending, r.buffer[:n]...)
	r.returned = CompleteLength(r.pending)
	if err == io.EOF {
		r.returned = len(r.pending)
	}
	events := r.pending[:r.returned]
	if progressErr := r.progress.Advance(events); progressErr != nil {
		return nil, progressErr
	}
	return events, err
}

package bhevent

import "io"

const readBuffer = 8 << 10

// Reader takes whole events from a stream that may break off in the middle of one.
type Reader struct {
	source   io.Reader
	progress *Progress
	buffer   []byte
	pending  []byte
	// taken is the length of the events at the start of pending that the last
	// Next returned.
	taken int
}

// NewReader returns a reader of the stream. Progress follows the events read
// and outlives the reader.
func NewReader(source io.Reader, progress *Progress) *Reader {
	return &Reader{source: source, progress: progress, buffer: make([]byte, readBuffer)}
}

// Next returns the whole events that one read of the stream brought, which may
// be none. They are valid until the next call. With io.EOF, at the orderly end
// of the stream, it returns what followed the last event too; what a broken
// stream leaves is dropped. Any error ends the stream.
func (r *Reader) Next() ([]byte, error) {
	r.pending = append(r.pending[:0], r.pending[r.taken:]...)
	n, err := r.source.Read(r.buffer)
	r.pending = append(r.pending, r.buffer[:n]...)
	r.taken = CompleteLength(r.pending)
	if err == io.EOF {
		r.taken = len(r.pending)
	}
	events := r.pending[:r.taken]
	if failure := r.progress.Advance(events); failure != nil {
		return nil, failure
	}
	return events, err
}

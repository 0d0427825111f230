package bhevent

import (
	"io"

	"github.com/pkg/errors"
)

// maxSeparator is the length in bytes of the longest end of an event.
const maxSeparator = len("\r\n\r\n")

// CheckedReader passes on the bytes of a stream of events as they arrive. It turns
// io.EOF into an error that wraps io.ErrUnexpectedEOF if the stream ends inside an
// event.
type CheckedReader struct {
	source io.Reader
	// endsWithConnection is as in ReaderConfig.
	endsWithConnection bool
	received           bool
	// tail holds the last bytes that were read, up to maxSeparator.
	tail []byte
}

// NewCheckedReader returns a reader of the source. See ReaderConfig for
// endsWithConnection.
func NewCheckedReader(source io.Reader, endsWithConnection bool) *CheckedReader {
	return &CheckedReader{source: source, endsWithConnection: endsWithConnection}
}

// Read implements io.Reader.
func (c *CheckedReader) Read(buffer []byte) (int, error) {
	n, err := c.source.Read(buffer)
	c.received = c.received || n > 0
	c.tail = append(c.tail, buffer[max(0, n-maxSeparator):n]...)
	c.tail = c.tail[max(0, len(c.tail)-maxSeparator):]
	switch {
	case err != io.EOF:
		return n, err
	case CompleteLength(c.tail) < len(c.tail):
		return n, errors.Wrap(io.ErrUnexpectedEOF, "the stream ended inside an event")
	case c.endsWithConnection && !c.received:
		return n, errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the first event")
	}
	return n, err
}

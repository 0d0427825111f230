package bhserve

import (
	"context"
	"io"
)

// bodyPiece is by how many bytes what is held for a body of unknown length grows.
const bodyPiece = 32 << 10

// Body is the body of a request that is read as a whole.
type Body struct {
	// Source is read to its end.
	Source io.Reader
	// Length is that of the body in bytes; negative if it isn't known.
	Length int64
	// Hold takes memory for more of the body, in bytes, before that is read. Its error ends the
	// reading.
	Hold func(bytes int64) error
}

// Read returns the body of the request whose context is given, or the error of the source or of
// Hold.
func (b Body) Read(ctx context.Context) ([]byte, error) {
	if b.Length >= 0 {
		if err := b.Hold(b.Length); err != nil {
			return nil, err
		}
		ExpectBody(ctx, b.Length)
		body := make([]byte, b.Length)
		_, err := io.ReadFull(b.Source, body)
		return body, err
	}
	var pieces [][]byte
	size := 0
	for {
		if err := b.Hold(bodyPiece); err != nil {
			return nil, err
		}
		piece := make([]byte, bodyPiece)
		n, err := fill(b.Source, piece)
		pieces, size = append(pieces, piece[:n]), size+n
		switch {
		case err == io.EOF:
			return join(pieces, size), nil
		case err != nil:
			return nil, err
		}
	}
}

// join returns the pieces, of size bytes in sum, as one.
func join(pieces [][]byte, size int) []byte {
	body := make([]byte, 0, size)
	for i, piece := range pieces {
		body = append(body, piece...)
		pieces[i] = nil
	}
	return body
}

// fill reads until the piece is full or the source fails. Unlike io.ReadFull it returns the
// source's own error, which tells a body that was broken off from a whole one.
func fill(source io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		read, err := source.Read(piece[n:])
		if n += read; err != nil {
			return n, err
		}
	}
	return n, nil
}

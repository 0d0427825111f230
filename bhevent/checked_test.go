package bhevent

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCheckedReaderFailsInsideAnEvent(t *testing.T) {
	for _, c := range []struct {
		parts    []string
		unframed bool
		whole    bool
	}{
		{nil, false, true},
		{nil, true, false},
		{[]string{"id: 1\ndata: a\n\n"}, true, true},
		{[]string{"id: 1\ndata: a\n", "\n"}, true, true},
		{[]string{"id: 1\r\ndata: a\r\n", "\r", "\n"}, true, true},
		{[]string{"id: 1\ndata: a\n\n", "id: 2"}, false, false},
		{[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: b", "\n"}, false, false},
		{[]string{"i", "d"}, false, false},
	} {
		data, err := io.ReadAll(NewCheckedReader(&chunkReader{parts: c.parts, err: io.EOF}, c.unframed))
		want := ""
		for _, part := range c.parts {
			want += part
		}
		assert.Equal(t, want, string(data))
		if c.whole {
			require.NoError(t, err, "%q", c.parts)
		} else {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", c.parts)
		}
	}
}

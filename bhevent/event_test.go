package bhevent

import (
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWhole(t *testing.T) {
	for _, c := range []struct {
		data string
		want int
	}{
		{"", 0},
		{"id: 1\ndata: a", 0},
		{"id: 1\ndata: a\n\n", 15},
		{"id: 1\ndata: a\n\nid: 2", 15},
		{"id: 1\r\ndata: a\r\n\r\nid", 18},
	} {
		assert.Equal(t, c.want, CompleteLength([]byte(c.data)), "%q", c.data)
	}
}

func TestParse(t *testing.T) {
	events := Parse([]byte("x-weight-versions: 3\nid: 7\ndata: a b\ndata: c\n\n: comment\n\nid:8\r\ndata:d\r\n\r\n"))
	require.Len(t, events, 3)
	assert.Equal(t, Event{ID: "7", Data: []string{"a b", "c"}}, events[0])
	assert.Equal(t, Event{}, events[1])
	assert.Equal(t, Event{ID: "8", Data: []string{"d"}}, events[2])
}

func TestProgressChecksTheFirstEventAfterResuming(t *testing.T) {
	progress := &Progress{}
	require.NoError(t, progress.Advance([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")))
	assert.Equal(t, "2", progress.Last)
	progress.Resume()
	require.Error(t, progress.Advance([]byte("id: 2\ndata: b\n\n")), "repeated")
	require.Error(t, progress.Advance([]byte("id: 4\ndata: d\n\n")), "one is missing")
	require.NoError(t, progress.Advance([]byte("id: 3\ndata: c\n\n")))
	assert.Equal(t, "3", progress.Last)
}

// chunks yields its parts one read each, then its error.
type chunks struct {
	parts []string
	err   error
}

// Read implements io.Reader.
func (c *chunks) Read(buffer []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, c.err
	}
	n := copy(buffer, c.parts[0])
	c.parts = c.parts[1:]
	return n, nil
}

func TestReaderReturnsWholeEvents(t *testing.T) {
	broken := errors.New("broken")
	for _, c := range []struct {
		err  error
		want string
		last string
	}{
		{io.EOF, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c", "3"},
		{broken, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2"},
	} {
		progress := &Progress{}
		reader := NewReader(&chunks{parts: []string{"id: 1\nda", "ta: a\n\nid: 2\ndata: b\n\nid", ": 3\ndata: c"}, err: c.err}, progress)
		var got string
		for {
			events, err := reader.Next()
			got += string(events)
			if err != nil {
				require.ErrorIs(t, err, c.err)
				break
			}
		}
		assert.Equal(t, c.want, got)
		assert.Equal(t, c.last, progress.Last)
	}
}

func FuzzWhole(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n", 5)
	f.Add("a\r\n\r\nb\n\n", 2)
	f.Fuzz(func(t *testing.T, data string, cut int) {
		if cut < 0 || cut > len(data) {
			return
		}
		// Events that were whole before more data came stay whole.
		before := CompleteLength([]byte(data[:cut]))
		assert.LessOrEqual(t, before, CompleteLength([]byte(data)))
		assert.LessOrEqual(t, before, cut)
	})
}

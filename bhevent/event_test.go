package bhevent

import (
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCompleteLength(t *testing.T) {
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
	assert.Equal(t, []Event{{ID: "1", Data: []string{"a"}}}, Parse([]byte("\ufeffid: 1\ndata: a\n\n")), "a stream may begin with a byte order mark")
}

// A resumed stream that repeats or skips an event must not reach the client.
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

// Guards against bytes that are no event and that a caller reads between the events of its stream.
func TestReaderRefusesWhatIsNoEvent(t *testing.T) {
	const before = "id: 1\ndata: a\n\n"
	for text, sound := range map[string]bool{
		"id: 2\ndata: b\n\n":                                    true,
		"id: 2\r\ndata: b\r\n\r\n":                              true,
		"\n\n\r\n\r\nid: 2\ndata\n\n":                           true,
		"x-weight-versions: 3\nid: 2\ndata: b\n\n":              true,
		": still there\n\nevent: ping\n\nretry: 5\n\n":          true,
		"\ufeffid: 2\ndata: b\n\n":                              true,
		"data: HTTP/1.1 500 is a status line\nid: 2\n\n":        true,
		"id: 2\ndata: GET / HTTP/1.1\nx-weight-versions: 3\n\n": true,
		"out of memory\n\n":                                     false,
		"overloaded\n\n":                                        false,
		`{"error": "out of memory"}` + "\n\n":                   false,
		"<html>\n\n":                                            false,
		"HTTP/1.1 500 Internal Server Error\r\nA: b\r\n\r\n":    false,
		"Content-Type: text/plain\r\n\r\n":                      false,
		"id: 2\nout of memory\n\n":                              false,
		"id: 2\ndata: bHTTP/1.1 500 Error\r\nA: b\r\n\r\n":      false,
	} {
		progress := &Progress{}
		source := &chunkReader{parts: []string{before + text + "id: 3\ndata: c\n\n"}, err: io.EOF}
		got, err := readEvents(NewReader(ReaderConfig{Source: source, Progress: progress}))
		if sound {
			require.ErrorIs(t, err, io.EOF, "%q", text)
			assert.Equal(t, before+text+"id: 3\ndata: c\n\n", got)
			continue
		}
		require.NotErrorIs(t, err, io.EOF, "%q", text)
		assert.Equal(t, before, got, "%q: the events before it are sound", text)
		assert.Equal(t, "1", progress.Last, "%q", text)
	}
}

// chunkReader returns one of its parts at each read, then its error.
type chunkReader struct {
	parts []string
	err   error
}

// Read implements io.Reader.
func (c *chunkReader) Read(buffer []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, c.err
	}
	n := copy(buffer, c.parts[0])
	c.parts = c.parts[1:]
	return n, nil
}

// A read of a stream may end in the middle of an event. An incomplete event is
// never passed on: the resumed stream would repeat it.
func TestReaderReturnsCompleteEvents(t *testing.T) {
	broken := errors.New("broken")
	for _, c := range []struct {
		rest string
		err  error
		want error
	}{
		{"", io.EOF, io.EOF},
		{"id: 3\ndata: c", io.EOF, io.ErrUnexpectedEOF},
		{"id: 3\ndata: c\n", io.EOF, io.ErrUnexpectedEOF},
		{"id: 3\ndata: c", broken, broken},
	} {
		progress := &Progress{}
		source := &chunkReader{parts: []string{"id: 1\nda", "ta: a\n\nid: 2\ndata: b\n\n" + c.rest}, err: c.err}
		got, err := readEvents(NewReader(ReaderConfig{Source: source, Progress: progress}))
		require.ErrorIs(t, err, c.want, "%q", c.rest)
		assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got)
		assert.Equal(t, "2", progress.Last)
	}
}

// The end of a connection proves nothing about a stream without any event.
func TestReaderOfUnframedStreamNeedsAnEvent(t *testing.T) {
	for unframed, want := range map[bool]error{false: io.EOF, true: io.ErrUnexpectedEOF} {
		for _, parts := range [][]string{nil, {": still there\n\n"}} {
			_, err := readEvents(NewReader(ReaderConfig{Source: &chunkReader{parts: parts, err: io.EOF}, Progress: &Progress{}, EndsWithConnection: unframed}))
			require.ErrorIs(t, err, want)
		}
	}
}

// Guards against an upstream whose bytes never become an event and fill the memory.
func TestReaderRefusesEndlessEvent(t *testing.T) {
	const enough = 16 << 20
	for _, line := range []string{"x", "data: more\n"} {
		source := &countingReader{source: io.LimitReader(&repeatingReader{text: line}, enough)}
		got, err := readEvents(NewReader(ReaderConfig{Source: source, Progress: &Progress{}}))
		require.Error(t, err)
		assert.Empty(t, got)
		assert.Less(t, source.bytes, enough/8, "%q", line)
	}
}

// repeatingReader returns its text again and again.
type repeatingReader struct {
	text string
	next int
}

// Read implements io.Reader.
func (r *repeatingReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = r.text[r.next]
		r.next = (r.next + 1) % len(r.text)
	}
	return len(buffer), nil
}

// countingReader counts the bytes that were read.
type countingReader struct {
	source io.Reader
	bytes  int
}

// Read implements io.Reader.
func (r *countingReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.bytes += n
	return n, err
}

// readEvents returns the events up to the first error.
func readEvents(reader *Reader) (string, error) {
	var got string
	for {
		events, err := reader.Next()
		got += string(events)
		if err != nil {
			return got, err
		}
	}
}

func FuzzCompleteLength(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n", 5)
	f.Add("a\r\n\r\nb\n\n", 2)
	f.Fuzz(func(t *testing.T, data string, cut int) {
		if cut < 0 || cut > len(data) {
			return
		}
		// More data must not make a complete event incomplete.
		before := CompleteLength([]byte(data[:cut]))
		assert.LessOrEqual(t, before, CompleteLength([]byte(data)))
		assert.LessOrEqual(t, before, cut)
	})
}

func FuzzSoundLength(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\ufeffid: 1\r\n\r\nout of memory\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		data := []byte(text)[:CompleteLength([]byte(text))]
		length, err := soundLength(data, false)
		assert.Equal(t, err == nil, length == len(data))
		again, err := soundLength(data[:length], false)
		require.NoError(t, err)
		assert.Equal(t, length, again)
	})
}

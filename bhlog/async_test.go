package bhlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// gatedWriter blocks until it is opened.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *gatedWriter) Write(data []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(data)
}

func TestAsyncWriterNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	output := &gatedWriter{open: make(chan struct{})}
	w := NewAsyncWriter(output)
	for range 2 * asyncLines {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	close(output.open)
	require.NoError(t, w.Close())
	written := strings.Count(output.text.String(), "line\n")
	assert.Equal(t, 2*asyncLines, written+int(w.Dropped()))
	assert.GreaterOrEqual(t, written, asyncLines)
	assert.Positive(t, w.Dropped())
}

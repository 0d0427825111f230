package bhlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// gatedWriter blocks each write until open is closed.
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

func TestAsyncWriterNeverBlocksAndCountsDroppedLines(t *testing.T) {
	output := &gatedWriter{open: make(chan struct{})}
	w := NewAsyncWriter(output)
	for range 2 * asyncQueueLines {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	close(output.open)
	require.NoError(t, w.Close())
	written := strings.Count(output.text.String(), "line\n")
	assert.Equal(t, 2*asyncQueueLines, written+int(w.Dropped()))
	assert.GreaterOrEqual(t, written, asyncQueueLines)
	assert.Positive(t, w.Dropped())
}

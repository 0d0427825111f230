package bhbatch

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// discard is an object store that keeps only the number and the largest size.
type discard struct {
	bhplatform.Objects
	puts    int
	largest int64
	heap    uint64
}

func (d *discard) Put(_ context.Context, _ string, body io.Reader) error {
	size, err := io.Copy(io.Discard, body)
	d.puts++
	d.largest = max(d.largest, size)
	if d.puts%500 == 0 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		d.heap = max(d.heap, stats.HeapAlloc)
	}
	return err
}

func (d *discard) Delete(context.Context, string) error { return nil }

// lines is a file of a number of items that is made while it is read.
type lines struct {
	items, next int
	rest        []byte
}

func (l *lines) Read(data []byte) (int, error) {
	if len(l.rest) == 0 {
		if l.next == l.items {
			return 0, io.EOF
		}
		l.rest = fmt.Appendf(nil, "%s\n", itemLine(l.next))
		l.next++
	}
	n := copy(data, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// TestLargeFileIsTakenInSegments reads a large file, or with BAOBAB_MEASURE=1
// the largest one, and one with an item too many.
func TestLargeFileIsTakenInSegments(t *testing.T) {
	items := 50_000
	if os.Getenv("BAOBAB_MEASURE") != "" {
		items = MaxItems
	}
	objects := &discard{}
	fake := newFakePlatform(1)
	store := NewStore(StoreConfig{Platform: bhplatform.Platform{Table: fake, Objects: objects}})
	file, err := store.SaveFile(context.Background(), account, "f", &lines{items: items})
	require.NoError(t, err)
	assert.Equal(t, items, file.Items)
	assert.Equal(t, items/DefaultChunkItems, file.Chunks)
	assert.Less(t, objects.largest, int64(64<<10))
	t.Logf("largest heap %d KB for %d bytes", objects.heap>>10, file.Bytes)
	assert.Less(t, objects.heap, uint64(64<<20))
	if items < MaxItems {
		return
	}
	_, err = store.SaveFile(context.Background(), account, "f", &lines{items: MaxItems + 1})
	assert.True(t, bhcode.Is(err, bhcode.BatchInvalid))
}

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

// countingObjects is an object store that discards its data. It records the
// number and largest size of the objects, and the largest heap during puts.
type countingObjects struct {
	bhplatform.Objects
	puts         int
	largest      int64
	maxHeapBytes uint64
}

func (o *countingObjects) Put(_ context.Context, _ string, body io.Reader) error {
	size, err := io.Copy(io.Discard, body)
	o.puts++
	o.largest = max(o.largest, size)
	if o.puts%500 == 0 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		o.maxHeapBytes = max(o.maxHeapBytes, stats.HeapAlloc)
	}
	return err
}

func (o *countingObjects) Delete(context.Context, string) error { return nil }

// generatedFile is an input file that is generated while it is read.
type generatedFile struct {
	items, nextItem int
	unread          []byte
}

func (f *generatedFile) Read(data []byte) (int, error) {
	if len(f.unread) == 0 {
		if f.nextItem == f.items {
			return 0, io.EOF
		}
		f.unread = fmt.Appendf(nil, "%s\n", itemLine(f.nextItem))
		f.nextItem++
	}
	n := copy(data, f.unread)
	f.unread = f.unread[n:]
	return n, nil
}

// TestLargeFileIsStoredInSegments checks that a large file is read with bounded
// memory. With BAOBAB_MEASURE=1 it reads the largest allowed file, and one with
// one item too many.
func TestLargeFileIsStoredInSegments(t *testing.T) {
	items := 50_000
	if os.Getenv("BAOBAB_MEASURE") != "" {
		items = MaxItems
	}
	objects := &countingObjects{}
	fake := newFakePlatform(1)
	store := NewStore(StoreConfig{Platform: bhplatform.Platform{Table: fake, Objects: objects}})
	file, err := store.SaveFile(context.Background(), testAccount, "f", &generatedFile{items: items})
	require.NoError(t, err)
	assert.Equal(t, items, file.Items)
	assert.Equal(t, items/DefaultChunkItems, file.Chunks)
	assert.Less(t, objects.largest, int64(64<<10))
	t.Logf("largest heap %d KB for %d bytes", objects.maxHeapBytes>>10, file.Bytes)
	assert.Less(t, objects.maxHeapBytes, uint64(64<<20))
	if items < MaxItems {
		return
	}
	_, err = store.SaveFile(context.Background(), testAccount, "f", &generatedFile{items: MaxItems + 1})
	assert.True(t, bhcode.Is(err, bhcode.BatchInvalid))
}

package bhbatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// partID names a part in memory.
type partID struct {
	job  string
	part int
}

// partRun is a part in which the runner holds leases.
type partRun struct {
	id   partID
	lead Lead
	// turn serialises the changes of the part's row.
	turn chan struct{}
	// chunks holds the leases by chunk number; guarded by the runner's mutex.
	chunks map[int]*chunkRun
	// full is set once all chunks of the part are done; guarded likewise.
	full bool
}

// chunkRun is a leased chunk. Its fields are guarded by the runner's mutex.
type chunkRun struct {
	part  *partRun
	grant Grant
	// sent is when the write that granted or last renewed the lease was sent.
	sent time.Time
	// gone is set once the lease is lost or the job has ended.
	gone bool
	// left is the number of items that have not ended.
	left   int
	lines  []Line
	counts Counts
	// cancels stops the items that run, by their number.
	cancels map[int]context.CancelFunc
	// done is set once all items have ended.
	done bool
}

func newChunkRun(part *partRun, grant Grant, sent time.Time) *chunkRun {
	return &chunkRun{part: part, grant: grant, sent: sent, cancels: map[int]context.CancelFunc{}}
}

// held reports whether the holder may act on the lease.
func (c *chunkRun) held(now time.Time) bool {
	return !c.gone && now.Sub(c.sent) < LeaseDuration
}

// stop cancels the items that run.
func (c *chunkRun) stop() {
	for _, cancel := range c.cancels {
		cancel()
	}
}

// lineID returns the id of a result.
func (c *chunkRun) lineID(number int) string {
	return fmt.Sprintf("%s_%d_%d", c.part.lead.ID, c.grant.Chunk, number)
}

// load prepares the chunk's items.
func (c *chunkRun) load(items []Item) []*itemRun {
	c.left = len(items)
	c.lines = make([]Line, len(items))
	runs := make([]*itemRun, len(items))
	for i, item := range items {
		runs[i] = &itemRun{chunk: c, number: i, item: item}
	}
	return runs
}

// end notes the result of an item and reports whether it was the last one.
func (c *chunkRun) end(number int, line Line, tokens int) bool {
	c.lines[number] = line
	c.counts.Tokens += tokens
	if line.Error != nil {
		c.counts.Failed++
	} else {
		c.counts.Completed++
	}
	c.left--
	c.done = c.left == 0
	return c.done
}

// encodeLines returns the result object.
func encodeLines(lines []Line) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return out.Bytes(), nil
}

package bhbatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// partID identifies a part in the memory of a runner.
type partID struct {
	jobKey string
	part   int
}

// heldPart is a part in which the runner holds leases.
type heldPart struct {
	id  partID
	job OpenJob
	// writeLock serializes the writes of the part's row. A goroutine locks it
	// by sending and unlocks it by receiving.
	writeLock chan struct{}
	// chunks holds the leased chunks by chunk number; guarded by Runner.mu.
	chunks map[int]*heldChunk
	// allDone is set once all chunks of the part are done; guarded by
	// Runner.mu.
	allDone bool
}

// heldChunk is a chunk that the runner has leased. Its fields are guarded by
// Runner.mu.
type heldChunk struct {
	part  *heldPart
	grant Grant
	// leaseStart is when the write that granted or last renewed the lease was
	// sent.
	leaseStart time.Time
	// dropped is set once the runner has discarded the chunk, for example
	// because the lease was lost or the job has ended.
	dropped bool
	// remaining is the number of items that have not ended.
	remaining int
	lines     []ResultLine
	counts    Counts
	// cancels holds the cancel functions of the running items, by item number.
	cancels map[int]context.CancelFunc
	// done is set once all items have ended.
	done bool
}

func newHeldChunk(part *heldPart, grant Grant, leaseStart time.Time) *heldChunk {
	return &heldChunk{part: part, grant: grant, leaseStart: leaseStart, cancels: map[int]context.CancelFunc{}}
}

// leaseValid reports whether the runner may act on the lease.
func (c *heldChunk) leaseValid(now time.Time) bool {
	return !c.dropped && now.Sub(c.leaseStart) < LeaseDuration
}

// cancelItems cancels the running items.
func (c *heldChunk) cancelItems() {
	for _, cancel := range c.cancels {
		cancel()
	}
}

// resultID returns the id of the result line of an item.
func (c *heldChunk) resultID(number int) string {
	return fmt.Sprintf("%s_%d_%d", c.part.job.ID, c.grant.Chunk, number)
}

// setItems prepares the chunk for its items and returns them ready to run.
func (c *heldChunk) setItems(items []Item) []*heldItem {
	c.remaining = len(items)
	c.lines = make([]ResultLine, len(items))
	heldItems := make([]*heldItem, len(items))
	for i, item := range items {
		heldItems[i] = &heldItem{chunk: c, number: i, item: item}
	}
	return heldItems
}

// recordResult stores the result of an item and reports whether it was the last
// item of the chunk to end.
func (c *heldChunk) recordResult(number int, line ResultLine, tokens int) bool {
	c.lines[number] = line
	c.counts.Tokens += tokens
	if line.Error != nil {
		c.counts.Failed++
	} else {
		c.counts.Completed++
	}
	c.remaining--
	c.done = c.remaining == 0
	return c.done
}

// encodeResults returns the content of a result object: one JSON object per
// line.
func encodeResults(lines []ResultLine) ([]byte, error) {
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

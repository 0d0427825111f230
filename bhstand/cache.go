package bhstand

import (
	"container/list"
	"time"
)

// Kinds of cache events.
const (
	EventStore = "store"
	EventEvict = "evict"
)

const eventsKept = 8192

// Event says that a prefix block entered or left an engine's cache.
type Event struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
}

// Events are the cache events after a number. Epoch counts the engine's starts;
// numbers begin anew with each.
type Events struct {
	Epoch  int     `json:"epoch"`
	Events []Event `json:"events"`
}

// cache is a prefix cache that evicts the blocks used least recently. It isn't
// safe for concurrent use.
type cache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recent   *list.List
	events   []dated[Event]
	seq      uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// use enters the blocks of a prompt and returns how many of them were missing.
func (c *cache) use(blocks []uint64) int {
	hit := 0
	for hit < len(blocks) && c.blocks[blocks[hit]] != nil {
		hit++
	}
	for _, block := range blocks {
		c.touch(block)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.recent.Back()
		block, _ := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.record(EventEvict, block)
	}
	return len(blocks) - hit
}

func (c *cache) touch(block uint64) {
	if element, ok := c.blocks[block]; ok {
		c.recent.MoveToFront(element)
		return
	}
	c.blocks[block] = c.recent.PushFront(block)
	c.record(EventStore, block)
}

func (c *cache) record(kind string, block uint64) {
	c.seq++
	event := Event{Seq: c.seq, Kind: kind, Block: block}
	c.events = append(c.events, dated[Event]{at: time.Now(), value: event})
	if len(c.events) > eventsKept {
		c.events = c.events[1:]
	}
}

// after returns the events with higher numbers that are at least as old as lag.
// Each event whose number is a multiple of gap is left out; zero means none.
func (c *cache) after(seq uint64, lag time.Duration, gap uint64) []Event {
	limit := time.Now().Add(-lag)
	events := []Event{}
	for _, event := range c.events {
		if event.at.After(limit) {
			break
		}
		lost := gap > 0 && event.value.Seq%gap == 0
		if event.value.Seq > seq && !lost {
			events = append(events, event.value)
		}
	}
	return events
}

package bhbatch

import (
	"context"
	"encoding/json"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Tries of an item.
const (
	// MaxTries bounds the runs of an item that fail by its own fault.
	MaxTries = 3
	// MaxCrashes bounds the runs in which an item alone crashed its engine.
	MaxCrashes = 2
	// MaxRefusals bounds how often an item is offered to an engine that takes
	// none before its chunk is given back.
	MaxRefusals = 8
)

// Resume is what an interrupted run of an item produced.
type Resume struct {
	Text   string
	Tokens int
}

// Result is the whole answer to an item.
type Result struct {
	// Body is the response body.
	Body json.RawMessage
	// Tokens is the number of tokens generated in all.
	Tokens int
}

// Engine runs items. Its errors carry a code, which decides what happens:
//
//   - BadRequest, TooLarge, NotFound, Quarantined and ItemFailed: the item ends
//     with the error.
//   - NoUpstream, Overloaded, QueueTimeout, Leaving and BreakerOpen: the item
//     did not run and is offered again later.
//   - UpstreamLost: the engine crashed. An item that ran alone is charged; one
//     that shared the engine is run again alone.
//   - Any other: the item is charged one of MaxTries.
type Engine interface {
	// Run produces the answer to item. It goes on from resume and calls emit
	// for each piece produced after it. The result holds the whole answer.
	Run(ctx context.Context, item Item, resume Resume, emit func(text string, tokens int)) (Result, error)
}

// Gate decides when a batch item may run beside live traffic.
type Gate interface {
	// Acquire waits for a place.
	Acquire(ctx context.Context) (Place, error)
}

// Place is permission to run one item on one engine.
type Place interface {
	// Engine returns the engine that has the place.
	Engine() Engine
	// Preempted is closed when the item must stop at once.
	Preempted() <-chan struct{}
	// Release gives the place back.
	Release()
}

// verdict is what becomes of an item after a run.
type verdict int

const (
	verdictDone verdict = iota
	verdictFailed
	verdictAgain
	verdictAlone
	verdictAbandon
	// verdictLast says that the chunk's last item has ended.
	verdictLast
)

// itemRun is one item of a held chunk.
type itemRun struct {
	chunk    *chunkRun
	number   int
	item     Item
	resume   Resume
	tries    int
	crashes  int
	refusals int
	// alone requires that no other item runs on the engine meanwhile.
	alone bool
}

// judge decides what becomes of the item after a run that gave err. shared
// reports whether other items ran at some time during the run.
func (i *itemRun) judge(err error, shared bool) verdict {
	if err == nil {
		return verdictDone
	}
	switch bhcode.From(err).Code {
	case bhcode.BadRequest, bhcode.TooLarge, bhcode.NotFound, bhcode.Quarantined, bhcode.ItemFailed:
		return verdictFailed
	case bhcode.NoUpstream, bhcode.Overloaded, bhcode.QueueTimeout, bhcode.Leaving, bhcode.BreakerOpen:
		i.refusals++
		if i.refusals >= MaxRefusals {
			return verdictAbandon
		}
		return verdictAgain
	case bhcode.UpstreamLost:
		return i.crashed(shared)
	}
	i.tries++
	if i.tries >= MaxTries {
		return verdictFailed
	}
	return verdictAgain
}

func (i *itemRun) crashed(shared bool) verdict {
	if shared {
		return verdictAlone
	}
	i.crashes++
	if i.crashes >= MaxCrashes {
		return verdictFailed
	}
	return verdictAlone
}

// failure returns the error that the item ends with.
func (i *itemRun) failure(err error) *bhcode.Error {
	if i.crashes >= MaxCrashes {
		return bhcode.New(bhcode.ItemCrashed, "crashed its engine %d times while it ran alone", i.crashes)
	}
	return bhcode.From(err)
}

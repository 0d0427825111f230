package bhbatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Limits on the runs of an item.
const (
	// MaxTries limits the failed runs that are charged to the item.
	MaxTries = 3
	// MaxCrashes limits the runs in which an item crashed its engine while it
	// ran alone. Engines also crash in bursts that have nothing to do with the item,
	// so crashDelay passes after the first one, and three times as long after each
	// further one.
	MaxCrashes = 3
	crashDelay = 10 * time.Second
	// MaxRefusals limits how often an item is refused by engines before its
	// chunk is released.
	MaxRefusals = 8
)

// ResumePoint is the output of the interrupted runs of an item, from which the
// next run resumes.
type ResumePoint struct {
	// Text is the text generated so far and Tokens the number of its tokens.
	Text   string
	Tokens int
	// Version is that of the engine that wrote the text; empty if it didn't tell.
	Version string
}

// Piece is a part of an answer as an engine generates it.
type Piece struct {
	Text   string
	Tokens int
	// Version is that of the engine; empty if it doesn't tell.
	Version string
}

// Result is the complete answer to an item.
type Result struct {
	// Body is the response body.
	Body json.RawMessage
	// Tokens is the number of tokens generated, including those of interrupted
	// runs.
	Tokens int
}

// Engine runs items. The code of its error decides what happens to the item:
//
//   - BadRequest, TooLarge, NotFound, Quarantined and ItemFailed: the item fails
//     with the error.
//   - NoUpstream, Overloaded, QueueTimeout, Leaving and BreakerOpen: the item
//     did not run and is retried later.
//   - UpstreamLost: the engine crashed. The crash is charged to an item that ran
//     alone; an item that shared the engine is run again alone.
//   - VersionDiffers: the engine isn't of the version that wrote the text to resume
//     from. The item is run from the start.
//   - Any other: the run counts as one of MaxTries.
type Engine interface {
	// Run generates the answer to item. It continues from resume and calls emit
	// for each piece of text generated after it. The result holds the whole
	// answer.
	Run(ctx context.Context, item Item, resume ResumePoint, emit func(piece Piece)) (Result, error)
}

// Gate decides when a batch item may run beside live traffic.
type Gate interface {
	// Acquire waits until an item may run. After an error the runner starts no
	// more items.
	Acquire(ctx context.Context) (Slot, error)
}

// Slot is permission to run one item on one engine.
type Slot interface {
	// Engine returns the engine on which the item may run.
	Engine() Engine
	// Preempted is closed when the item must stop at once.
	Preempted() <-chan struct{}
	// Release returns the permission.
	Release()
}

// itemAction is what happens to an item after a run.
type itemAction int

const (
	actionComplete itemAction = iota
	actionFail
	actionRetry
	actionRetryAlone
	actionReleaseChunk
	// actionCompleteChunk means that the last item of the chunk has ended.
	actionCompleteChunk
)

// heldItem is one item of a held chunk.
type heldItem struct {
	chunk    *heldChunk
	number   int
	item     Item
	resume   ResumePoint
	tries    int
	crashes  int
	refusals int
	// alone requires that no other item of the runner runs at the same time.
	alone bool
}

// decideAction returns what happens to the item after a run that ended with
// err. shared reports whether other items may have run at the same time.
func (i *heldItem) decideAction(err error, shared bool) itemAction {
	if err == nil {
		return actionComplete
	}
	switch bhcode.From(err).Code {
	case bhcode.BadRequest, bhcode.TooLarge, bhcode.NotFound, bhcode.Quarantined, bhcode.ItemFailed:
		return actionFail
	case bhcode.NoUpstream, bhcode.Overloaded, bhcode.QueueTimeout, bhcode.Leaving, bhcode.BreakerOpen:
		i.refusals++
		if i.refusals >= MaxRefusals {
			return actionReleaseChunk
		}
		return actionRetry
	case bhcode.VersionDiffers:
		i.resume = ResumePoint{}
		return actionRetry
	case bhcode.UpstreamLost:
		return i.actionAfterCrash(shared)
	}
	i.tries++
	if i.tries >= MaxTries {
		return actionFail
	}
	return actionRetry
}

// actionAfterCrash returns what happens to the item after its engine crashed.
// Only a crash during which no other item ran is charged to the item.
func (i *heldItem) actionAfterCrash(shared bool) itemAction {
	if shared {
		return actionRetryAlone
	}
	i.crashes++
	if i.crashes >= MaxCrashes {
		return actionFail
	}
	return actionRetryAlone
}

// retryDelay returns the time until the item may run again.
func (i *heldItem) retryDelay() time.Duration {
	if i.crashes > 0 {
		delay := crashDelay
		for range i.crashes - 1 {
			delay *= 3
		}
		return delay
	}
	return itemRetryDelay << min(i.refusals+i.tries, 4)
}

// failure returns the error with which the item fails.
func (i *heldItem) failure(err error) *bhcode.Error {
	if i.crashes >= MaxCrashes {
		return bhcode.New(bhcode.ItemCrashed, "crashed its engine %d times while it ran alone", i.crashes)
	}
	return bhcode.From(err)
}

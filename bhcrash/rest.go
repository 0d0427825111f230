package bhcrash

import "time"

const (
	// itemThreshold is the number of upstreams that must have ended under the content or prompt of
	// an item for it to run as a trial. Several items have the same prompt, and would end
	// several upstreams more before all runners know of the third.
	itemThreshold = 2
	// itemRest is the time between two trials under which an item has crashed. Whoever
	// submitted it may expect a try in any 20 s; the rest is left for the wait for an
	// engine.
	itemRest = 17 * time.Second
	// turnStep is how much earlier the trial of an item comes for each trial of its prompt or
	// part that another item ran since its own, of turnSteps at most. Items that never ran come
	// first.
	turnStep  = 500 * time.Millisecond
	turnSteps = 3
	// maxItemRest keeps the evidence from lapsing between two trials.
	maxItemRest = Window / 4
)

// threshold returns the number of upstreams that must have ended under the digest for the
// request to run as a trial.
func (t Traits) threshold(digest string) int {
	if t.Until.IsZero() || isPart(digest) {
		return threshold(digest)
	}
	return itemThreshold
}

// itemDelay returns the time from the last crash under a digest until the next trial of an
// item that may be given up after the time left, if that many trials ended in a crash, at
// least one. The trials are spread evenly over the time left if that is long.
func itemDelay(trials int, left time.Duration) time.Duration {
	even := left / time.Duration(len(trialDelays)-trials+1)
	if even < 2*itemRest {
		return itemRest
	}
	return min(even, maxItemRest)
}

// turn returns how much earlier the trial of the content comes than that of one that ran
// in the last trial, by the sources that ended under what it shares with others.
func (l *Ledger) turn(content string, shared map[Source]sourceCrashes, now time.Time) time.Duration {
	var last time.Time
	if history := l.histories[content]; history != nil {
		for _, recorded := range history.liveSources(now) {
			last = later(last, recorded.lastAt)
		}
	}
	missed := 0
	for _, recorded := range shared {
		if recorded.lastAt.After(last) {
			missed++
		}
	}
	return turnStep * time.Duration(min(missed, turnSteps))
}

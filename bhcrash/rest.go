package bhcrash

import (
	"slices"
	"time"
)

const (
	// itemThreshold is the number of upstreams that must have ended under the content or prompt of
	// an item for it to run as a trial. Several items have the same prompt, and would end
	// several upstreams more before all runners know of the third.
	itemThreshold = 2
	// trialRest is the time between two trials under which an item has crashed. Whoever
	// submitted it may expect a try in any 20 s; the rest is left for the wait for an
	// engine.
	trialRest = 17 * time.Second
	// turnStep is how much earlier the trial of an item comes for each trial of its prompt or
	// part that another item ran since its own, of turnSteps at most. Items that never ran come
	// first.
	turnStep  = 500 * time.Millisecond
	turnSteps = 3
	// maxLastRest keeps the evidence from lapsing between two trials.
	maxLastRest = Window / 4
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
// least one. The last trial comes halfway if the time left is long.
func itemDelay(trials int, left time.Duration) time.Duration {
	if halfway := left / 2; trials == len(trialDelays)-1 && halfway >= 2*trialRest {
		return min(halfway, maxLastRest)
	}
	return trialRest
}

// itemRest returns the time from the last crash under a digest until the next trial of an item
// with it, of which trials ended in a crash. It is short after a crash that something
// else may have caused; who grants a trial doesn't know that.
func (l *Ledger) itemRest(digest string, live map[Source]sourceCrashes, trials trialTally, traits Traits) time.Duration {
	now := time.Now()
	rest := itemDelay(trials.count-trials.excused, traits.Until.Sub(trials.lastAt)) - l.turn(traits.Content, live, now)
	if traits.Content == "" || l.likelierBeside(traits, live, now) {
		return min(rest, spread(trialDelays[1], digest))
	}
	return rest
}

// likelierBeside reports whether the last of the sources also ended under something that isn't
// among the traits and under which more ended, together with several others, or long after the
// request was sent. The trial there tells little then.
func (l *Ledger) likelierBeside(traits Traits, live map[Source]sourceCrashes, now time.Time) bool {
	var last Source
	for source, recorded := range live {
		if recorded.lastAt.After(live[last].lastAt) {
			last = source
		}
	}
	if live[last].early && !live[last].alone || l.endedBeside(live[last].lastAt, live) >= burstUpstreams-1 {
		return true
	}
	own := traits.All()
	for digest, history := range l.histories {
		if _, ended := history.bySource[last]; ended && !slices.Contains(own, digest) && len(history.bySource) > len(live) && len(history.liveSources(now)) > len(live) {
			return true
		}
	}
	return false
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

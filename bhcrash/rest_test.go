package bhcrash

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestItemDelayLeavesNoItemLying checks that an item that may be given up after a minute is tried
// again within 20 s for as long as its trials last, and that the last one comes halfway in a
// long time left.
func TestItemDelayLeavesNoItemLying(t *testing.T) {
	const tryWithin = 20 * time.Second
	for _, left := range []time.Duration{time.Second, 10 * time.Second, 50 * time.Second, time.Minute} {
		for trials := 1; trials < len(trialDelays); trials++ {
			assert.Less(t, itemDelay(trials, left), tryWithin, "%s left after %d trials", left, trials)
		}
	}
	assert.Less(t, itemDelay(1, 3*time.Minute), tryWithin)
	assert.Equal(t, time.Minute, itemDelay(2, 2*time.Minute))
	assert.Less(t, itemDelay(2, 24*time.Hour), Window, "the evidence lasts until the next trial")
}

// TestItemBesideAnotherCrashIsTriedSoon guards against a sound item that waits long for its second
// trial, since the first one ran beside something that crashes upstreams.
func TestItemBesideAnotherCrashIsTriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger()
		other := Traits{Content: digest(kindContent, "other")}
		item := Traits{Content: digest(kindContent, "item"), Until: time.Now().Add(5 * time.Minute)}
		end := func(upstream string) {
			decision := l.Decide(item)
			l.RecordLoss(Source{Host: upstream}, other.Content, NotTested)
			l.RecordLoss(Source{Host: upstream}, item.Content, decision.TestOf(item.Content))
		}
		l.RecordLoss(Source{Host: "i-other"}, other.Content, NotTested)
		for i := range contentThreshold {
			end(fmt.Sprint("i-", i))
		}
		began := time.Now()
		for l.Decide(item).Status == Quarantined {
			time.Sleep(100 * time.Millisecond)
		}
		assert.LessOrEqual(t, time.Since(began), spread(trialDelays[1], item.Content)+maxCalmWait)
	})
}

// TestLateEndTellsLittle checks that a trial that ended long after the send is followed by the
// next one soon, and counts all the same.
func TestLateEndTellsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger()
		item := Traits{Content: digest(kindContent, "item"), Prompt: digest(kindPrompt, "p"), Until: time.Now().Add(time.Minute)}
		for i := range itemThreshold + len(trialDelays) {
			waited := time.Now()
			decision := l.Decide(item)
			for ; decision.Status == Quarantined; decision = l.Decide(item) {
				time.Sleep(50 * time.Millisecond)
			}
			assert.LessOrEqual(t, time.Since(waited), spread(trialDelays[1], item.Prompt)+maxCalmWait)
			for _, d := range item.All() {
				l.RecordLoss(Source{Host: fmt.Sprint("i-", i)}, d, decision.TestOfRun(d, 2*soonTime))
			}
		}
		assert.Greater(t, l.Decide(item).RetryAfter, time.Minute, "no trial is left")
	})
}

// TestItemsWithACrashingPromptTakeTurns guards against an item with a crashing prompt that is never
// tried, since another one with the prompt runs all trials.
func TestItemsWithACrashingPromptTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger()
		prompt := digest(kindPrompt, "p")
		began := time.Now()
		var items []Traits
		for i := range 3 {
			items = append(items, Traits{Content: digest(kindContent, fmt.Sprint(i)), Prompt: prompt, Until: began.Add(time.Minute + time.Duration(i)*10*time.Second)})
		}
		ends := 0
		end := func(item Traits, decision Decision) {
			ends++
			for _, d := range item.All() {
				l.RecordLoss(Source{Host: fmt.Sprint("i-", ends)}, d, decision.TestOf(d))
			}
		}
		for range contentThreshold {
			end(items[0], Decision{})
		}
		var order []int
		for ; time.Since(began) < time.Minute; time.Sleep(100 * time.Millisecond) {
			for i, item := range items {
				if decision := l.Decide(item); decision.Status == Suspect {
					order = append(order, i)
					end(item, decision)
				}
			}
		}
		assert.Len(t, order, len(trialDelays))
		assert.ElementsMatch(t, []int{1, 2}, order[1:], "those that haven't run yet come first")
	})
}

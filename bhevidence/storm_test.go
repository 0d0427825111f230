package bhevidence

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// stormItemDays are days on which engines end one after the other for reasons of their own, while
// items take about as long as an engine lives.
var stormItemDays = []itemDay{
	{name: "prompts of their own", storm: 30 * time.Second, engineLife: 3 * time.Second},
	{name: "shared prompts", soundPrompts: 10, storm: 30 * time.Second, engineLife: 3 * time.Second},
	{name: "shared parts", soundParts: 10, storm: 30 * time.Second, engineLife: 3 * time.Second},
	{name: "shared parts, a crashing prompt", prompts: 1, items: 1, soundParts: 10, storm: 30 * time.Second, engineLife: 3 * time.Second},
}

// TestSoundItemsAreRunAfterAStorm guards against items on which nothing works: engines ended under
// their trials for other reasons, and the items were withheld until long after the storm.
func TestSoundItemsAreRunAfterAStorm(t *testing.T) {
	const seeds = 8
	for _, day := range stormItemDays {
		t.Run(day.name, func(t *testing.T) {
			var worst, sum itemFigures
			days := 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					figures := playItems(t, day, true, seed)
					sum.soundLying += figures.soundLying
					sum.ends += figures.ends
					sum.lying += figures.lying
					worst.late = max(worst.late, figures.late)
					worst.slowest = max(worst.slowest, figures.slowest)
					if figures.soundLying > 0 {
						days++
					}
				})
			}
			t.Logf("late %d, engines ended %d, slowest sound item %s, %d sound items left lying on %d of %d days, crashing ones %s",
				worst.late, sum.ends/seeds, worst.slowest, sum.soundLying, days, seeds, sum.lying/seeds)
			assert.Zero(t, sum.soundLying)
		})
	}
}

// lateItemDays are days with items that end engines in the middle of their output.
var lateItemDays = []itemDay{
	{name: "one late prompt", prompts: 1, items: 1, crashAfter: 1500 * time.Millisecond, canRest: true},
	{name: "one late prompt in five items", prompts: 1, items: 5, apart: 4 * time.Second, crashAfter: 1500 * time.Millisecond},
}

// TestLateCrashingPromptIsNotSentForever guards against a prompt that ends engines in the middle of its
// output, and is sent again and again because each item with it is answered first.
func TestLateCrashingPromptIsNotSentForever(t *testing.T) {
	for _, day := range lateItemDays {
		t.Run(day.name, func(t *testing.T) { measureItems(t, []itemDay{day}) })
	}
}

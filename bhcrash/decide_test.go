package bhcrash

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTrialsWithTheCrashingPartDontCondemnTheOther guards against sound requests that are
// refused for ten minutes because their account's own part died in more crashes than
// the crashing part beside it, and was tried by requests with both.
func TestTrialsWithTheCrashingPartDontCondemnTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger()
		own, crashing := digest(kindPart, "zoo", "own"), digest(kindPart, "zoo", "crashing")
		both, sound := Traits{Content: digest(kindContent, "1"), Parts: []string{own, crashing}}, Traits{Content: digest(kindContent, "2"), Parts: []string{own}}
		ends := 0
		end := func(decision Decision, digests ...string) {
			ends++
			for _, d := range digests {
				l.RecordLoss(Source{Host: fmt.Sprint("i-", ends)}, d, decision.TestOf(d))
			}
		}
		for range 3 {
			end(Decision{}, own)
			end(Decision{}, own, crashing)
		}
		for trials := 0; trials < len(trialDelays); {
			decision := l.Decide(both)
			if decision.Status == Suspect {
				trials++
				end(decision, both.All()...)
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, Quarantined, l.Decide(both).Status)
		time.Sleep(maxCalmWait)
		assert.Equal(t, Suspect, l.Decide(sound).Status)
		l.Clear(own)
		assert.Equal(t, Clear, l.Decide(sound).Status)
		assert.Equal(t, Quarantined, l.Decide(both).Status, "the trials count against the crashing part alone now")
	})
}

// TestTrialsOfACrashingPromptDontCondemnItsPart guards against sound requests that are refused
// for ten minutes because trials of a crashing prompt counted against the part that they
// share with it.
func TestTrialsOfACrashingPromptDontCondemnItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger()
		own := digest(kindPart, "zoo", "own")
		crashing := Traits{Content: digest(kindContent, "1"), Prompt: digest(kindPrompt, "p"), Parts: []string{own}}
		sound := Traits{Content: digest(kindContent, "2"), Prompt: digest(kindPrompt, "q"), Parts: []string{own}}
		ends := 0
		end := func(decision Decision) {
			ends++
			for _, d := range crashing.All() {
				l.RecordLoss(Source{Host: fmt.Sprint("i-", ends)}, d, decision.TestOf(d))
			}
		}
		for range partThreshold {
			end(Decision{})
		}
		for trials := 0; trials < len(trialDelays); {
			if decision := l.Decide(crashing); decision.Status == Suspect {
				trials++
				end(decision)
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, Quarantined, l.Decide(crashing).Status)
		time.Sleep(maxCalmWait)
		assert.Equal(t, Suspect, l.Decide(sound).Status)
		l.Clear(own)
		assert.Equal(t, Clear, l.Decide(sound).Status)
		assert.Equal(t, Quarantined, l.Decide(crashing).Status)
	})
}

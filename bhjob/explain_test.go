package bhjob

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// withholdsAll withholds all items.
type withholdsAll struct{ Crashes }

func (withholdsAll) Withheld(bhcrash.Traits) error {
	return bhcode.New(bhcode.Withheld, "").WithRetryAfter(9 * time.Minute)
}

// TestLogTellsWhyAnItemWaits guards against an item without a result of which no log tells who has it
// and why it isn't claimed.
func TestLogTellsWhyAnItemWaits(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(t *testing.T, runner *Runner, policies *fixedPolicies, jobs *JobStore)
		want    []string
	}{
		"no free slot": {func(*testing.T, *Runner, *fixedPolicies, *JobStore) {}, []string{`reason="the engine has no free slot"`, "holder= "}},
		"claimed elsewhere": {func(t *testing.T, runner *Runner, _ *fixedPolicies, jobs *JobStore) {
			claimAll(t, jobs, "j", "other.1")
			_, err := jobs.config.Store.Apply(t.Context(), bhplatform.Transaction{Puts: []bhplatform.Put{{Key: heartbeatKey("other.1"), Value: []byte("other.1")}}})
			require.NoError(t, err)
		}, []string{`reason="claimed by another runner"`, "holder=other.1", "claimed=11s", "heartbeat=0s"}},
		"not listed": {func(_ *testing.T, _ *Runner, policies *fixedPolicies, _ *JobStore) {
			policies.set(func(view *bhwatch.View) { view.Fleet = nil })
		}, []string{`reason="the engine is not listed"`}},
		"draining": {func(_ *testing.T, _ *Runner, policies *fixedPolicies, _ *JobStore) {
			policies.MarkLeaving(policies.View().Fleet["llm"][0])
		}, []string{`reason="the engine is leaving"`}},
		"withheld": {func(_ *testing.T, runner *Runner, _ *fixedPolicies, _ *JobStore) {
			traits := bhcrash.Traits{Content: "c", Until: time.Now().Add(time.Minute)}
			runner.config.Crashes = withholdsAll{runner.config.Crashes}
			runner.hold(itemRef{"zoo", "j", "j-0"}, traits, 0)
		}, []string{`reason="engines ended under it"`, "withheld=9m0s"}},
		"the last run": {func(_ *testing.T, runner *Runner, _ *fixedPolicies, _ *JobStore) {
			runner.note(itemRef{"zoo", "j", "j-0"}, "the engine failed")
		}, []string{`last="the engine failed"`, "ended=11s"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := bhstand.NewStore(bhstand.StoreConfig{})
				jobs := newTestJobStore(store)
				runner, policies := newIdleRunner(t, store, store, "a")
				var log bytes.Buffer
				logger, err := bhlog.New(&log, bhlog.Info)
				require.NoError(t, err)
				runner.config.Logger = logger
				require.NoError(t, jobs.Submit(t.Context(), sampleJob("j", 1)))
				c.prepare(t, runner, policies, jobs)
				require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
				assert.NotContains(t, log.String(), "item.waiting", "it may still be on its way")
				time.Sleep(explainAfter + time.Second)
				require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
				for _, want := range append(c.want, "event=item.waiting item=j-0 job=j account=zoo age=11s") {
					assert.Contains(t, log.String(), want)
				}
				log.Reset()
				require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
				assert.Empty(t, log.String(), "once in a while")
			})
		})
	}
}

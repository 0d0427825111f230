package bhgate

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhjob"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// busyJobs refuses submissions until a time.
type busyJobs struct {
	fakeJobs

	mu        sync.Mutex
	busyUntil time.Time
	attempts  int
}

// Submit implements Jobs.
func (j *busyJobs) Submit(context.Context, bhjob.Submission) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts++
	if time.Now().Before(j.busyUntil) {
		return bhcode.New(bhcode.PlatformUnavailable, "busy")
	}
	return nil
}

func newJobsGate(t *testing.T, jobs Jobs) *testGate {
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Batch, LatencyObjective: 600 * time.Millisecond})
	g.gate.config.Jobs, g.gate.config.Calls = jobs, fakeJobCalls{}
	return g
}

func TestJobIsRefusedWithTimeToComeBackWhileTheStoreIsAway(t *testing.T) {
	for name, silent := range map[string]bool{"busy": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			jobs := &busyJobs{busyUntil: time.Now().Add(time.Hour)}
			g := newJobsGate(t, jobs)
			if silent {
				g.policies.update(func(p *fakePolicies) { p.silent, p.view.ProvenAt = true, p.view.ProvenAt-platformSilentAfter })
			}
			started := time.Now()
			response, _, err := g.do(g.request("/a/x"))
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.Less(t, time.Since(started), 150*time.Millisecond, "a quarter of the latency objective: another gateway may have the store")
			retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			assert.GreaterOrEqual(t, retryAfter, 0.4, "the client has 3 s left, and will wait for a third of it")
			assert.LessOrEqual(t, retryAfter, 1.0)
			if silent {
				assert.Zero(t, jobs.attempts, "calls would only wait for their timeout")
			}
		})
	}
}

// targetJobCalls gives the item of a job a path.
type targetJobCalls struct{ fakeJobCalls }

// Items implements JobCalls.
func (targetJobCalls) Items(body []byte) ([]bhjob.Item, error) {
	return []bhjob.Item{{ID: "i", Target: "/a/i", Body: body}}, nil
}

// Guards against jobs that get a 202 although none of their items can be sent: a
// configuration may name an account in a way that no header can.
func TestJobOfAnAccountThatCannotBeNamedGets400(t *testing.T) {
	for name, want := range map[string]int{"zoo\r\nDeadline: 1": http.StatusBadRequest, "zoo of the north": http.StatusAccepted} {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		g := newJobsGate(t, bhjob.NewJobStore(bhjob.JobStoreConfig{Store: store, Objects: store, Logger: bhlog.Nop()}))
		g.gate.config.Calls = targetJobCalls{}
		g.policies.update(func(p *fakePolicies) {
			policy := *p.view.Index.Policy
			policy.Accounts = []bhpolicy.Account{{Name: name, Keys: []string{"k1"}, Rate: 5}}
			p.view.Index = bhpolicy.NewIndex(&policy)
		})
		response, body, err := g.do(g.request("/a/x"))
		require.NoError(t, err)
		assert.Equal(t, want, response.StatusCode, "%q: %s", name, body)
		if want != http.StatusAccepted {
			assert.Contains(t, body, `the account's name: value "zoo\r\nDeadline: 1" must hold no control characters`)
			assert.Empty(t, store.Records("jobitem"))
		}
	}
}

package bhjob

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// TestAnswerOfAnotherEndsNoItem guards against an item that is given up for an answer that
// isn't its run's: of another or no request, to a request that wasn't run, or cut inside its
// head.
func TestAnswerOfAnotherEndsNoItem(t *testing.T) {
	id := func(value string) string { return dialect.RequestID + ": " + value + "\r\n" }
	const noBody = "Content-Length: 0\r\n\r\n"
	for _, status := range []string{"500 Internal Server Error", "422 Unprocessable Entity"} {
		t.Run(status, func(t *testing.T) {
			line := "HTTP/1.1 " + status + "\r\n"
			answers := []string{
				line + id("j-1") + noBody, line + noBody, line + id("j-0") + dialect.NotRun + ": 1\r\n" + noBody,
				line + id("j-0"), line + dialect.RequestID + ": j-0", "HTTP/1.1 " + status,
			}
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) { e.next = writeEach(e, answers) })
			submission := sampleJob("j", 1)
			submission.Attempts = 1
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
			results := r.waitResults("j", 1)
			assert.Equal(t, Completed, results[0].Status)
			assert.Equal(t, expectedOutput("j-0", 5), results[0].Text)
			assert.Len(t, r.engine.requestHeaders(), len(answers)+1)
		})
	}
}

// writeEach returns a handler for the next request that writes the first of the answers and
// closes the connection. The others answer the requests after it.
func writeEach(engine *fakeEngine, answers []string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if rest := answers[1:]; len(rest) > 0 {
			engine.set(func(e *fakeEngine) { e.next = writeEach(e, rest) })
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answers[0])
	}
}

// TestRunWithoutClaimEndsNoItem guards against a runner that was held up, lost its claim to
// another one, and then gives the item up or counts a failure for it.
func TestRunWithoutClaimEndsNoItem(t *testing.T) {
	for name, end := range map[string]func(run *itemRun){
		"the last failure": func(run *itemRun) { run.handle(context.Background(), errFailed) },
		"a failure": func(run *itemRun) {
			run.job.Attempts = 2
			run.handle(context.Background(), errFailed)
		},
		"a rejection":      func(run *itemRun) { run.handle(context.Background(), errRejected) },
		"a removed route":  func(run *itemRun) { run.handle(context.Background(), errNoRoute) },
		"an item too old":  func(run *itemRun) { run.expire(run.job.Expires + 1) },
		"a returned claim": func(run *itemRun) { run.release("held up") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := bhstand.NewStore(bhstand.StoreConfig{})
				slow, _ := newIdleRunner(t, store, store, "a.1")
				other, _ := newIdleRunner(t, store, store, "b.1")
				submission := sampleJob("j", 1)
				submission.Attempts = 1
				require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
				claimIdle(t, slow, "j", "j-0")
				claimIdle(t, other, "j", "j-0") // the first has sent no heartbeat
				end(onlyRun(t, slow))
				synctest.Wait()
				assert.Equal(t, ItemState{ID: "j-0", Tokens: 100, Status: Claimed, Holder: "b.1", SavedBy: "a.1"}, stateOf(t, store, "j", "j-0"))
			})
		})
	}
}

// slowReads is a store whose reads take some time before they are made.
type slowReads struct {
	*bhstand.Store
	delay time.Duration
}

// Scan implements bhplatform.Store.
func (s *slowReads) Scan(ctx context.Context, scan bhplatform.Range) (bhplatform.Page, error) {
	time.Sleep(s.delay)
	return s.Store.Scan(ctx, scan)
}

// TestItemsExpireByTheStoresClock guards against an item that is given up before its
// retention is over, since reads of the store are slow or the runner stood still during one.
func TestItemsExpireByTheStoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowReads{Store: bhstand.NewStore(bhstand.StoreConfig{})}
		runner, _ := newIdleRunner(t, store, store, "a.1")
		submission := sampleJob("j", 2)
		submission.Retention = 30 * time.Second
		require.NoError(t, newTestJobStore(store.Store).Submit(t.Context(), submission))
		claimIdle(t, runner, "j", "j-0")
		time.Sleep(15 * time.Second)
		store.delay = 10 * time.Second
		require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
		time.Sleep(4 * time.Second)
		assert.True(t, expired(runner), "the runner's reading is late, so it sends nothing")
		assert.Equal(t, Claimed, stateOf(t, store.Store, "j", "j-0").Status, "1 s is left")
		store.delay = 0
		require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
		synctest.Wait()
		assert.Equal(t, Claimed, stateOf(t, store.Store, "j", "j-0").Status, "1 s is left")
		time.Sleep(time.Second + time.Millisecond)
		require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
		synctest.Wait()
		assert.Equal(t, Dead, stateOf(t, store.Store, "j", "j-0").Status)
	})
}

// expired reports whether the runner sends its only run's item no more.
func expired(runner *Runner) bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for _, run := range runner.runs {
		return runner.expired(run.job)
	}
	return false
}

// TestItemsHaveWhatALaterPolicyAllows guards against items that are given up by the attempts
// and the retention of an older policy, which was replaced before or after their job was taken.
func TestItemsHaveWhatALaterPolicyAllows(t *testing.T) {
	later := batchRoute("/drafts/", "llm")
	later.MaxAttempts, later.Retention = 2, 30*time.Second
	submission := sampleJob("j", 2)
	submission.Attempts, submission.Retention = 1, 5*time.Second
	start := func(t *testing.T) (*Runner, *bhstand.Store) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		runner, policies := newIdleRunner(t, store, store, "a.1")
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
		policies.set(func(view *bhwatch.View) {
			view.Index = bhpolicy.NewIndex(&bhpolicy.Policy{Routes: []bhpolicy.Route{later}, Services: engineServices})
		})
		claimIdle(t, runner, "j", "j-0")
		return runner, store
	}
	t.Run("attempts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			runner, store := start(t)
			for _, want := range []Status{Waiting, Dead} {
				onlyRun(t, runner).handle(t.Context(), errFailed)
				synctest.Wait()
				require.Equal(t, want, stateOf(t, store, "j", "j-0").Status)
				if want == Waiting {
					claimIdle(t, runner, "j", "j-0")
				}
			}
		})
	})
	t.Run("retention", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			runner, store := start(t)
			for _, step := range []struct {
				after time.Duration
				want  Status
			}{{6 * time.Second, Claimed}, {23 * time.Second, Claimed}, {2 * time.Second, Dead}} {
				time.Sleep(step.after)
				require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
				synctest.Wait()
				require.Equal(t, step.want, stateOf(t, store, "j", "j-0").Status)
				assert.Equal(t, step.want == Dead, len(runner.runs) == 0)
			}
		})
	})
}

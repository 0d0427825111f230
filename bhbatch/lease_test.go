package bhbatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

func TestPartGrantsEachFenceOnceAndNeverChangesDoneChunks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const chunks = 4
		part := Part{Chunks: make([]Chunk, chunks)}
		granted := map[Grant]string{}
		done := map[int]Chunk{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			holder := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "holder")
			change := PartChange{
				Holder: holder, Claim: rapid.IntRange(0, 2).Draw(r, "claim"),
				Expired: func(int, Chunk) bool { return rapid.Bool().Draw(r, "lapsed") },
			}
			for grant, owner := range granted {
				if owner != holder {
					continue
				}
				switch rapid.IntRange(0, 2).Draw(r, "act") {
				case 0:
					change.Finish = append(change.Finish, FinishedChunk{Grant: grant, Counts: Counts{Tokens: int(grant.Fence)}})
				case 1:
					change.Renew = append(change.Renew, grant)
				}
			}
			out := part.Apply(0, change)
			for _, grant := range out.Granted {
				require.NotContains(r, granted, grant, "a fencing token is granted only once")
				granted[grant] = holder
			}
			for number, chunk := range done {
				require.Equal(r, chunk, out.Part.Chunks[number], "a done chunk never changes")
			}
			for number, chunk := range out.Part.Chunks {
				require.GreaterOrEqual(r, chunk.Fence, part.Chunks[number].Fence)
				if chunk.State == ChunkDone {
					done[number] = chunk
					require.Equal(r, int(chunk.Fence), chunk.Counts.Tokens, "the counts are those of the lease")
				}
			}
			part = out.Part
		}
	})
}

func TestRunnersHoldingTheSameChunkCompleteEachItemOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 10)
		job := submitBatch(t, store, 60, "a")
		engine := newFakeEngine()
		var stops []func()
		for i := range 3 {
			gate := newFakeGate(4)
			gate.engine = engine
			runner := NewRunner(RunnerConfig{Store: store, Gate: gate, Name: fmt.Sprint(i)})
			runner.leaseMonitor.takeoverDelay = 0
			stops = append(stops, startRunner(runner))
		}
		observer := &resultObserver{store: store, id: job.ID}
		for range 200 {
			time.Sleep(500 * time.Millisecond)
			observer.observe(t)
		}
		// Runners that take over leases at once may keep doing so and never
		// complete a chunk. A runner that waits for leases to expire completes
		// the job.
		for _, stop := range stops {
			stop()
		}
		_, stop := startNewRunner(store, engine, newFakeGate(4), "last")
		defer stop()
		status := awaitEnd(t, store, job.ID, time.Hour)
		assert.Equal(t, 60, status.Counts.Completed)
		requireAnswers(t, readResults(t, store, job.ID), 60, nil)
		assert.Greater(t, len(engine.starts), 60, "the runners held the same chunks")
	})
}

func TestPausedRunnerStartsNoItemOnceItsLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform(1)
		job := submitBatch(t, newStore(fake, 5), 200, "a")
		first := startHost(fake, "first", nil)
		defer first.stop()
		time.Sleep(10 * time.Second)
		first.access.pause()
		pausedAt := time.Now()
		second := startHost(fake, "second", nil)
		defer second.stop()
		time.Sleep(5 * time.Minute)
		first.engine.mu.Lock()
		for _, started := range first.engine.starts {
			assert.Less(t, started.Sub(pausedAt), LeaseDuration)
		}
		first.engine.mu.Unlock()
		first.access.resume()
		status := awaitEnd(t, newStore(fake, 5), job.ID, time.Hour)
		assert.Equal(t, 200, status.Counts.Completed)
	})
}

// TestLateResultObjectDoesNotReplaceCompletedResult delays the result object of
// one runner until another runner has taken over and completed the chunk.
func TestLateResultObjectDoesNotReplaceCompletedResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform(1)
		store := newStore(fake, 5)
		job := submitBatch(t, store, 5, "a")
		access := &hostAccess{fake: fake}
		delayedStore := NewStore(StoreConfig{Platform: bhplatform.Platform{Table: access, Objects: hostObjects{access}}, ChunkItems: 5})
		_, stop := startNewRunner(delayedStore, newFakeEngine(), newFakeGate(5), "late")
		defer stop()
		time.Sleep(300 * time.Millisecond)
		access.pause()
		_, stopOther := startNewRunner(store, newFakeEngine(), newFakeGate(5), "other")
		defer stopOther()
		awaitEnd(t, store, job.ID, time.Hour)
		before := readResults(t, store, job.ID)
		access.resume()
		time.Sleep(time.Minute)
		assert.Equal(t, before, readResults(t, store, job.ID))
		assert.Len(t, fake.objects, 3, "the late result is stored under another name")
	})
}

// TestExpiredLeaseStopsItemsAndRenewalResumesThem pauses a holder's access to
// the table while its items run. The items must stop when the lease expires and
// resume after a renewal, because no other runner took the lease over.
func TestExpiredLeaseStopsItemsAndRenewalResumesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform(1)
		job := submitBatch(t, newStore(fake, 4), 4, "a")
		access := &hostAccess{fake: fake}
		pausedStore := newStore(fake, 4)
		pausedStore.rows.table = access
		engine := newFakeEngine()
		engine.pieceDelay = 10 * time.Second
		runner, stop := startNewRunner(pausedStore, engine, newFakeGate(4), "s1")
		defer stop()
		time.Sleep(15 * time.Second)
		access.pause()
		time.Sleep(LeaseDuration)
		engine.mu.Lock()
		assert.Empty(t, engine.active)
		engine.mu.Unlock()
		time.Sleep(time.Minute)
		access.resume()
		status := awaitEnd(t, newStore(fake, 4), job.ID, time.Hour)
		assert.Equal(t, 4, status.Counts.Completed)
		totals := runner.Totals()
		assert.Equal(t, 40, totals.Generated, "no token is generated twice")
	})
}

// TestHolderCutOffFromTableStartsNoItemAfterCancelDelay pauses a holder's
// access to the table before the cancellation. The holder cannot learn of the
// cancellation, so it must stop starting items by itself.
func TestHolderCutOffFromTableStartsNoItemAfterCancelDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform(1)
		store := newStore(fake, 50)
		job := submitBatch(t, store, 500, "a")
		access := &hostAccess{fake: fake}
		pausedStore := newStore(fake, 50)
		pausedStore.rows.table = access
		engine := newFakeEngine()
		_, stop := startNewRunner(pausedStore, engine, newFakeGate(4), "s1")
		defer stop()
		time.Sleep(10 * time.Second)
		access.pause()
		_, err := store.Cancel(context.Background(), testAccount, job.ID)
		require.NoError(t, err)
		acknowledged := time.Now()
		time.Sleep(time.Minute)
		access.resume()
		time.Sleep(time.Minute)
		engine.mu.Lock()
		defer engine.mu.Unlock()
		for _, started := range engine.starts {
			assert.LessOrEqual(t, started.Sub(acknowledged), CancelDelay)
		}
	})
}

func TestGracefulStopReleasesLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 10)
		job := submitBatch(t, store, 100, "a")
		_, stop := startNewRunner(store, newFakeEngine(), newFakeGate(4), "s1")
		time.Sleep(10 * time.Second)
		stop()
		begin := time.Now()
		_, stopOther := startNewRunner(store, newFakeEngine(), newFakeGate(50), "s2")
		awaitEnd(t, store, job.ID, time.Hour)
		stopOther()
		assert.Less(t, time.Since(begin), LeaseDuration, "no runner waited for a lease to expire")
	})
}

// leaseInput and leaseOutput describe one operation on a chunk for porcupine.
type leaseInput struct {
	holder string
	// fence is the fencing token of the lease to finish; zero means a claim.
	fence int64
}

type leaseOutput struct {
	// fence is the fencing token granted to a claim; zero means none.
	fence   int64
	lost    bool
	unknown bool
}

type leaseState struct {
	fence  int64
	holder string
	done   bool
}

// leaseModel models a chunk whose lease may be taken over at any time. A change
// that does not keep the holder's own lease releases it.
var leaseModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, output any) []any {
		before, in, out := state.(leaseState), input.(leaseInput), output.(leaseOutput)
		if out.unknown {
			return []any{before, before.attempt(in)}
		}
		if in.fence == 0 {
			return before.claim(in, out)
		}
		after := before.attempt(in)
		if out.lost == (after.done && after.fence == in.fence) {
			return nil
		}
		return []any{after}
	},
}).ToModel()

// attempt returns the state after one write of the operation took effect.
func (s leaseState) attempt(in leaseInput) leaseState {
	switch {
	case s.done:
		return s
	case in.fence == 0:
		return leaseState{fence: s.fence + 1, holder: in.holder}
	case s.holder == in.holder:
		return leaseState{fence: s.fence, done: s.fence == in.fence}
	}
	return s
}

func (s leaseState) claim(in leaseInput, out leaseOutput) []any {
	if s.done {
		if out.fence != 0 {
			return nil
		}
		return []any{s}
	}
	if out.fence != s.fence+1 {
		return nil
	}
	return []any{s.attempt(in)}
}

// TestLeaseHistoriesAreLinearizable lets holders claim and finish one chunk
// while replies are lost and writes take effect late.
func TestLeaseHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			history := recordLeaseHistory(t, seed)
			require.NotEqual(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(leaseModel, history, 20*time.Second), "seed %d", seed)
		})
	}
}

func recordLeaseHistory(t *testing.T, seed uint64) []porcupine.Operation {
	fake := newFakePlatform(seed)
	store := newStore(fake, 10)
	submitBatch(t, store, 5, "a")
	openJobs, err := store.OpenJobs(context.Background())
	require.NoError(t, err)
	fake.lostReplyShare, fake.lateWriteShare, fake.refusedShare, fake.delay = 0.2, 0.2, 0.1, 5*time.Millisecond
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	begin := time.Now()
	for client := range 4 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			c := &leaseClient{store: store, job: openJobs[0], holder: fmt.Sprint(client)}
			for range 6 {
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				operation := c.randomOperation(random, client, begin)
				mu.Lock()
				history = append(history, operation)
				history = append(history, takenOverClaim(operation)...)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Minute)
	return history
}

// takenOverClaim returns an additional operation for a claim, and none for
// other operations. An earlier write of the claim may have taken effect with an
// unknown outcome, and its lease may have been taken over before the claim read
// the row again and retried.
func takenOverClaim(operation porcupine.Operation) []porcupine.Operation {
	if operation.Input.(leaseInput).fence != 0 {
		return nil
	}
	operation.Output = leaseOutput{unknown: true}
	return []porcupine.Operation{operation}
}

type leaseClient struct {
	store  *Store
	job    OpenJob
	holder string
	held   int64
}

func (c *leaseClient) randomOperation(random *rand.Rand, client int, begin time.Time) porcupine.Operation {
	input := leaseInput{holder: c.holder}
	change := PartChange{Holder: c.holder, Claim: 1, Expired: func(int, Chunk) bool { return true }}
	if c.held != 0 && random.IntN(3) > 0 {
		input.fence = c.held
		change = PartChange{Holder: c.holder, Finish: []FinishedChunk{{Grant: Grant{Fence: c.held}}}}
	}
	operation := porcupine.Operation{ClientId: client, Input: input, Call: int64(time.Since(begin))}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(2000))*time.Millisecond)
	defer cancel()
	granted, err := c.store.ChangePart(ctx, c.job, 0, change)
	operation.Return = int64(time.Since(begin))
	output := leaseOutput{unknown: err != nil, lost: len(granted.Lost) > 0}
	if err != nil {
		operation.Return = int64(time.Hour)
	} else if len(granted.Granted) > 0 {
		output.fence = granted.Granted[0].Fence
	}
	c.held = output.fence
	operation.Output = output
	return operation
}

func TestChangeFailsOnceJobHasEnded(t *testing.T) {
	store := newStore(newFakePlatform(1), 10)
	job := submitBatch(t, store, 5, "a")
	ctx := context.Background()
	openJobs, err := store.OpenJobs(ctx)
	require.NoError(t, err)
	granted, err := store.ChangePart(ctx, openJobs[0], 0, PartChange{Holder: "a", Claim: 1})
	require.NoError(t, err)
	_, err = store.Cancel(ctx, testAccount, job.ID)
	require.NoError(t, err)
	_, err = store.ChangePart(ctx, openJobs[0], 0, PartChange{Holder: "a", Finish: []FinishedChunk{{Grant: granted.Granted[0]}}})
	assert.True(t, bhcode.Is(err, bhcode.BatchCancelled))
}

func TestClaimWithLostReplyIsRecoveredByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform(1)
		store := newStore(fake, 10)
		submitBatch(t, store, 25, "a")
		openJobs, err := store.OpenJobs(context.Background())
		require.NoError(t, err)
		fake.lostReplyShare = 1
		time.AfterFunc(time.Millisecond, func() { fake.update(func(f *fakePlatform) { f.lostReplyShare = 0 }) })
		granted, err := store.ChangePart(context.Background(), openJobs[0], 0, PartChange{Holder: "a", Claim: 2})
		require.NoError(t, err)
		assert.Equal(t, []Grant{{Chunk: 0, Fence: 1}, {Chunk: 1, Fence: 1}}, granted.Granted)
		assert.Equal(t, ChunkOpen, granted.Part.Chunks[2].State)
	})
}

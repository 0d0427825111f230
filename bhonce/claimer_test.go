package bhonce

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

var ctx = context.Background()

// keyedRequest returns a request with a fixed key whose deadline is in 30
// seconds.
func keyedRequest(digest string) Request {
	return Request{Account: "agency", Key: "k1", Digest: digest, Deadline: time.Now().Add(30 * time.Second)}
}

// failNextWrite returns a chooseFault function that gives the next write the
// fault. All other operations succeed.
func failNextWrite(f fault) func(bool) fault {
	return func(write bool) fault {
		if !write {
			return faultNone
		}
		current := f
		f = faultNone
		return current
	}
}

func TestResendGetsFirstAnswer(t *testing.T) {
	for _, size := range []int{10, MaxRowBodyBytes + 1} {
		table := newFakeTable()
		claim, _, err := table.newClaimer("a").Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		first := Answer{Status: 201, Header: map[string][]string{"X": {"1"}}, Body: bytes.Repeat([]byte("x"), size)}
		require.NoError(t, claim.Finish(ctx, first))
		require.Equal(t, 2, table.writes, "writes for a keyed request")
		second, answer, err := table.newClaimer("b").Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		require.Nil(t, second)
		require.Equal(t, first, *answer)
	}
}

func TestResendErrorsWithoutStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		claimer := table.newClaimer("a")
		claim, _, err := claimer.Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		claimError := func(digest string) *bhcode.Error {
			second, answer, err := claimer.Claim(ctx, keyedRequest(digest))
			require.Nil(t, second)
			require.Nil(t, answer)
			return bhcode.From(err)
		}
		require.Equal(t, bhcode.KeyReused, claimError("other").Code)
		running := claimError("d")
		require.Equal(t, bhcode.StillRunning, running.Code)
		require.Equal(t, bhcode.RanUnknown, running.Ran)
		require.Positive(t, running.RetryAfter)
		time.Sleep(time.Minute)
		require.Equal(t, bhcode.OutcomeUnknown, claimError("d").Code, "the deadline has passed without an outcome")
		require.NoError(t, claim.MarkUnknown(ctx))
		require.Equal(t, bhcode.OutcomeUnknown, claimError("d").Code)
	})
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	table := newFakeTable()
	claim, _, err := table.newClaimer("a").Claim(ctx, keyedRequest("d"))
	require.NoError(t, err)
	require.NoError(t, claim.Release(ctx))
	claim, _, err = table.newClaimer("b").Claim(ctx, keyedRequest("e"))
	require.NoError(t, err)
	require.NotNil(t, claim)
}

// TestUnknownWriteOutcomesAreReadBack guards against a claim or an answer that
// is lost, or refused by the claim's own row, because the table doesn't report
// whether the write took effect.
func TestUnknownWriteOutcomesAreReadBack(t *testing.T) {
	for _, f := range []fault{faultLostReply, faultLostWrite, faultDelayed} {
		synctest.Test(t, func(t *testing.T) {
			table := newFakeTable()
			table.chooseFault = failNextWrite(f)
			claim, _, err := table.newClaimer("a").Claim(ctx, keyedRequest("d"))
			require.NoError(t, err, "fault %d", f)
			table.applyDelayed()
			table.chooseFault = failNextWrite(f)
			require.NoError(t, claim.Finish(ctx, Answer{Status: 200}))
			table.applyDelayed()
			_, answer, err := table.newClaimer("b").Claim(ctx, keyedRequest("d"))
			require.NoError(t, err)
			require.Equal(t, 200, answer.Status)
		})
	}
}

func TestTableOutageRefusesWithRanNo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.chooseFault = func(bool) fault { return faultDown }
		claimer := table.newClaimer("a")
		claim, answer, err := claimer.Claim(ctx, keyedRequest("d"))
		require.Nil(t, claim)
		require.Nil(t, answer)
		refusal := bhcode.From(err)
		require.Equal(t, bhcode.PlatformUnavailable, refusal.Code)
		require.Equal(t, bhcode.RanNo, refusal.Ran)
		require.Positive(t, refusal.RetryAfter)
		require.NoError(t, claimer.Close(ctx))
	})
}

// TestUnconfirmedClaimIsRemovedAfterOutage guards against a key that stays
// claimed by a refused request: the reply to the claim's write is lost, and the
// table is unavailable when the row is read back. The key must be free once the
// table is back.
func TestUnconfirmedClaimIsRemovedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		down := true
		table.chooseFault = func(write bool) fault {
			if write && down {
				return faultLostReply
			}
			if down {
				return faultDown
			}
			return faultNone
		}
		claimer := table.newClaimer("a")
		_, _, err := claimer.Claim(ctx, keyedRequest("d"))
		require.True(t, bhcode.Is(err, bhcode.PlatformUnavailable))
		table.mutex.Lock()
		require.Len(t, table.rows, 1)
		down = false
		table.mutex.Unlock()
		require.NoError(t, claimer.Close(ctx))
		claim, _, err := claimer.Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		require.NotNil(t, claim)
	})
}

func TestFinishIsRetriedThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		claimer := table.newClaimer("a")
		claim, _, err := claimer.Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		table.chooseFault = func(bool) fault { return faultDown }
		shortCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		require.Error(t, claim.Finish(shortCtx, Answer{Status: 200}))
		time.Sleep(10 * time.Second)
		table.mutex.Lock()
		table.chooseFault = nil
		table.mutex.Unlock()
		require.NoError(t, claimer.Close(ctx))
		_, answer, err := claimer.Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		require.Equal(t, 200, answer.Status)
	})
}

func TestSweepKeepsClaimsForADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		claimer := table.newClaimer("a")
		claim, _, err := claimer.Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		require.NoError(t, claim.Finish(ctx, Answer{Status: 200, Body: make([]byte, MaxRowBodyBytes+1)}))
		time.Sleep(Retention - time.Minute)
		removed, err := claimer.Sweep(ctx)
		require.NoError(t, err)
		require.Zero(t, removed)
		_, answer, err := claimer.Claim(ctx, keyedRequest("d"))
		require.NoError(t, err)
		require.NotNil(t, answer)
		time.Sleep(2 * time.Minute)
		removed, err = claimer.Sweep(ctx)
		require.NoError(t, err)
		require.Equal(t, 1, removed)
		require.Empty(t, table.rows)
		require.Empty(t, table.objects)
	})
}

// claimModel runs keyed requests on several entries with random faults of the
// table, and with crashes of the entries that hold claims.
type claimModel struct {
	table    *fakeTable
	claimers []*Claimer
	// openClaims are the claims that have not ended.
	openClaims []*Claim
	// ran holds the claims whose request has run.
	ran map[*Claim]bool
	// runs is the number of runs by row key.
	runs map[string]int
	// firstStatus is the status of the stored answer by row key.
	firstStatus map[string]int
}

// randomStep makes a claim, applies a delayed write, or runs, ends or abandons
// the request of an open claim.
func (m *claimModel) randomStep(t *rapid.T, id int) {
	event := rapid.IntRange(0, 6).Draw(t, "event")
	if event <= 1 {
		m.randomClaim(t)
		return
	}
	if event == 2 {
		m.table.applyDelayed()
		return
	}
	if len(m.openClaims) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.openClaims)-1).Draw(t, "claim")
	claim := m.openClaims[i]
	shortCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	switch event {
	case 3:
		if !m.ran[claim] {
			m.ran[claim] = true
			m.runs[claim.key]++
		}
		return
	case 4:
		if !m.ran[claim] {
			return
		}
		if claim.Finish(shortCtx, Answer{Status: 1000 + id}) == nil {
			m.firstStatus[claim.key] = 1000 + id
		}
	case 5:
		if m.ran[claim] {
			_ = claim.MarkUnknown(shortCtx)
		} else {
			_ = claim.Release(shortCtx)
		}
	}
	// Event 6 is a crash of the entry: the claim is never ended.
	m.openClaims = append(m.openClaims[:i], m.openClaims[i+1:]...)
}

// randomClaim claims one of two keys on a random entry and checks the result
// against the runs so far.
func (m *claimModel) randomClaim(t *rapid.T) {
	claimer := rapid.SampledFrom(m.claimers).Draw(t, "entry")
	request := keyedRequest("d")
	request.Key = fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "key"))
	claim, answer, err := claimer.Claim(ctx, request)
	key := rowKey(request.Account, request.Key)
	switch {
	case err != nil:
		require.Contains(t, []bhcode.Code{bhcode.StillRunning, bhcode.OutcomeUnknown, bhcode.PlatformUnavailable}, bhcode.From(err).Code)
	case answer != nil:
		require.Equal(t, 1, m.runs[key], "an answer needs exactly one run")
		require.True(t, m.firstStatus[key] == 0 || m.firstStatus[key] == answer.Status)
	default:
		m.openClaims = append(m.openClaims, claim)
	}
}

// TestKeyRunsAtMostOnce guards against a second run of a key under random table
// faults and entry crashes.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			m := &claimModel{table: newFakeTable(), ran: map[*Claim]bool{}, runs: map[string]int{}, firstStatus: map[string]int{}}
			m.claimers = []*Claimer{m.table.newClaimer("a"), m.table.newClaimer("b")}
			faults := rapid.SliceOfN(rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultDown, faultLostReply, faultLostWrite, faultDelayed}), 1, 40).Draw(rt, "faults")
			drawn := 0
			m.table.chooseFault = func(bool) fault {
				drawn++
				return faults[drawn%len(faults)]
			}
			for id := range rapid.IntRange(1, 60).Draw(rt, "steps") {
				m.randomStep(rt, id)
				for key, runs := range m.runs {
					require.LessOrEqual(rt, runs, 1, key)
				}
			}
			m.table.mutex.Lock()
			m.table.chooseFault = nil
			m.table.mutex.Unlock()
			for _, claimer := range m.claimers {
				require.NoError(rt, claimer.Close(ctx))
			}
		})
	})
}

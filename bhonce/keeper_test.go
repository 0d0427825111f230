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

func deposit(digest string) Request {
	return Request{Account: "agency", Key: "k1", Digest: digest, Deadline: time.Now().Add(30 * time.Second)}
}

// once makes the next write fail with the fault and all later ones succeed.
func once(f fault) func(bool) fault {
	return func(write bool) fault {
		if !write {
			return faultNone
		}
		now := f
		f = faultNone
		return now
	}
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	for _, size := range []int{10, MaxRowBody + 1} {
		table := newFakeTable()
		claim, _, err := table.keeper("a").Claim(ctx, deposit("d"))
		require.NoError(t, err)
		first := Answer{Status: 201, Header: map[string][]string{"X": {"1"}}, Body: bytes.Repeat([]byte("x"), size)}
		require.NoError(t, claim.Finish(ctx, first))
		require.Equal(t, 2, table.writes, "writes for a keyed request")
		again, answer, err := table.keeper("b").Claim(ctx, deposit("d"))
		require.NoError(t, err)
		require.Nil(t, again)
		require.Equal(t, first, *answer)
	}
}

func TestResendWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		keeper := table.keeper("a")
		claim, _, err := keeper.Claim(ctx, deposit("d"))
		require.NoError(t, err)
		refused := func(digest string) *bhcode.Error {
			again, answer, err := keeper.Claim(ctx, deposit(digest))
			require.Nil(t, again)
			require.Nil(t, answer)
			return bhcode.From(err)
		}
		require.Equal(t, bhcode.KeyReused, refused("other").Code)
		still := refused("d")
		require.Equal(t, bhcode.StillRunning, still.Code)
		require.Equal(t, bhcode.RanUnknown, still.Ran)
		require.Positive(t, still.RetryAfter)
		time.Sleep(time.Minute)
		require.Equal(t, bhcode.OutcomeUnknown, refused("d").Code, "the holder is gone")
		require.NoError(t, claim.Lose(ctx))
		require.Equal(t, bhcode.OutcomeUnknown, refused("d").Code)
	})
}

func TestReleasedKeyMayRun(t *testing.T) {
	table := newFakeTable()
	claim, _, err := table.keeper("a").Claim(ctx, deposit("d"))
	require.NoError(t, err)
	require.NoError(t, claim.Release(ctx))
	claim, _, err = table.keeper("b").Claim(ctx, deposit("e"))
	require.NoError(t, err)
	require.NotNil(t, claim)
}

func TestLostRepliesAreSettledByReadingBack(t *testing.T) {
	for _, f := range []fault{faultLostReply, faultLostWrite, faultLate} {
		synctest.Test(t, func(t *testing.T) {
			table := newFakeTable()
			table.next = once(f)
			claim, _, err := table.keeper("a").Claim(ctx, deposit("d"))
			require.NoError(t, err, "fault %d", f)
			table.flush()
			table.next = once(f)
			require.NoError(t, claim.Finish(ctx, Answer{Status: 200}))
			table.flush()
			_, answer, err := table.keeper("b").Claim(ctx, deposit("d"))
			require.NoError(t, err)
			require.Equal(t, 200, answer.Status)
		})
	}
}

func TestTableDownRefusesTruthfully(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.next = func(bool) fault { return faultDown }
		keeper := table.keeper("a")
		claim, answer, err := keeper.Claim(ctx, deposit("d"))
		require.Nil(t, claim)
		require.Nil(t, answer)
		refusal := bhcode.From(err)
		require.Equal(t, bhcode.PlatformUnavailable, refusal.Code)
		require.Equal(t, bhcode.RanNo, refusal.Ran)
		require.Positive(t, refusal.RetryAfter)
		require.NoError(t, keeper.Close(ctx))
	})
}

// TestUnreadableClaimIsTakenBack loses the reply of the claim and then the
// table: the request is refused, and the key is free once the table is back.
func TestUnreadableClaimIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		down := true
		table.next = func(write bool) fault {
			if write && down {
				return faultLostReply
			}
			if down {
				return faultDown
			}
			return faultNone
		}
		keeper := table.keeper("a")
		_, _, err := keeper.Claim(ctx, deposit("d"))
		require.True(t, bhcode.Is(err, bhcode.PlatformUnavailable))
		table.mutex.Lock()
		require.Len(t, table.rows, 1)
		down = false
		table.mutex.Unlock()
		require.NoError(t, keeper.Close(ctx))
		claim, _, err := keeper.Claim(ctx, deposit("d"))
		require.NoError(t, err)
		require.NotNil(t, claim)
	})
}

func TestFinishGoesOnThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		keeper := table.keeper("a")
		claim, _, err := keeper.Claim(ctx, deposit("d"))
		require.NoError(t, err)
		table.next = func(bool) fault { return faultDown }
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		require.Error(t, claim.Finish(short, Answer{Status: 200}))
		time.Sleep(10 * time.Second)
		table.mutex.Lock()
		table.next = nil
		table.mutex.Unlock()
		require.NoError(t, keeper.Close(ctx))
		_, answer, err := keeper.Claim(ctx, deposit("d"))
		require.NoError(t, err)
		require.Equal(t, 200, answer.Status)
	})
}

func TestClaimsAreKeptForADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		keeper := table.keeper("a")
		claim, _, err := keeper.Claim(ctx, deposit("d"))
		require.NoError(t, err)
		require.NoError(t, claim.Finish(ctx, Answer{Status: 200, Body: make([]byte, MaxRowBody+1)}))
		time.Sleep(Keep - time.Minute)
		removed, err := keeper.Sweep(ctx)
		require.NoError(t, err)
		require.Zero(t, removed)
		_, answer, err := keeper.Claim(ctx, deposit("d"))
		require.NoError(t, err)
		require.NotNil(t, answer)
		time.Sleep(2 * time.Minute)
		removed, err = keeper.Sweep(ctx)
		require.NoError(t, err)
		require.Equal(t, 1, removed)
		require.Empty(t, table.rows)
		require.Empty(t, table.objects)
	})
}

// onceModel runs keyed requests with random faults of the table and crashes
// of the entries that hold claims.
type onceModel struct {
	table   *fakeTable
	keepers []*Keeper
	held    []*Claim
	ran     map[*Claim]bool
	runs    map[string]int
	first   map[string]int
}

func (m *onceModel) step(t *rapid.T, id int) {
	event := rapid.IntRange(0, 6).Draw(t, "event")
	if event <= 1 {
		m.claim(t)
		return
	}
	if event == 2 {
		m.table.flush()
		return
	}
	if len(m.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "claim")
	claim := m.held[i]
	short, cancel := context.WithTimeout(ctx, time.Second)
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
		if claim.Finish(short, Answer{Status: 1000 + id}) == nil {
			m.first[claim.key] = 1000 + id
		}
	case 5:
		if m.ran[claim] {
			_ = claim.Lose(short)
		} else {
			_ = claim.Release(short)
		}
	}
	// Event 6 is a crash: the claim is never ended.
	m.held = append(m.held[:i], m.held[i+1:]...)
}

func (m *onceModel) claim(t *rapid.T) {
	keeper := rapid.SampledFrom(m.keepers).Draw(t, "entry")
	request := deposit("d")
	request.Key = fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "key"))
	claim, answer, err := keeper.Claim(ctx, request)
	key := rowKey(request.Account, request.Key)
	switch {
	case err != nil:
		require.Contains(t, []bhcode.Code{bhcode.StillRunning, bhcode.OutcomeUnknown, bhcode.PlatformUnavailable}, bhcode.From(err).Code)
	case answer != nil:
		require.Equal(t, 1, m.runs[key], "an answer comes from a run")
		require.True(t, m.first[key] == 0 || m.first[key] == answer.Status)
	default:
		m.held = append(m.held, claim)
	}
}

func TestAtMostOnceProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			m := &onceModel{table: newFakeTable(), ran: map[*Claim]bool{}, runs: map[string]int{}, first: map[string]int{}}
			m.keepers = []*Keeper{m.table.keeper("a"), m.table.keeper("b")}
			faults := rapid.SliceOfN(rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultDown, faultLostReply, faultLostWrite, faultLate}), 1, 40).Draw(rt, "faults")
			drawn := 0
			m.table.next = func(bool) fault {
				drawn++
				return faults[drawn%len(faults)]
			}
			for id := range rapid.IntRange(1, 60).Draw(rt, "steps") {
				m.step(rt, id)
				for key, runs := range m.runs {
					require.LessOrEqual(rt, runs, 1, key)
				}
			}
			m.table.mutex.Lock()
			m.table.next = nil
			m.table.mutex.Unlock()
			for _, keeper := range m.keepers {
				require.NoError(rt, keeper.Close(ctx))
			}
		})
	})
}

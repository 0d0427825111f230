package bhqueue

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

func newEntry(id int, account string) Entry[int] {
	return Entry[int]{ID: id, Account: account, Work: 100}
}

func TestLiveRequestIsQueuedUntilASlotIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](Config{Slots: 1})
		require.Equal(t, []int{1}, q.Admit(newEntry(1, "a")).Start)
		require.Equal(t, Update[int]{}, q.Admit(newEntry(2, "a")))
		require.Equal(t, Load{Running: 1, Queued: 1, Work: 200}, q.Load())
		require.Equal(t, []int{2}, q.Done(1, 0).Start)
		require.Empty(t, q.Done(2, 0).Start)
		require.Equal(t, Load{}, q.Load())
	})
}

func TestAccountsStartInProportionToWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](Config{Slots: 1, Weight: func(a string) float64 { return map[string]float64{"a": 1, "b": 2}[a] }})
		q.Admit(newEntry(0, "c"))
		for i := 1; i <= 6; i++ {
			q.Admit(newEntry(i, "a"))
		}
		for i := 11; i <= 16; i++ {
			q.Admit(newEntry(i, "b"))
		}
		order := []int{}
		last := 0
		for range 9 {
			started := q.Done(last, 0).Start
			require.Len(t, started, 1)
			last = started[0]
			order = append(order, last)
		}
		fromB := slices.DeleteFunc(slices.Clone(order), func(id int) bool { return id < 10 })
		require.Len(t, fromB, 6, "weight 2 gets two of three starts: %v", order)
	})
}

func TestFullQueueRefusesAtOnceWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](Config{Slots: 1, MaxQueuedPerAccount: 3, MaxQueued: 4})
		q.Admit(newEntry(0, "a"))
		time.Sleep(time.Second)
		q.Admit(newEntry(1, "a"))
		q.Done(0, 0)
		for i := 2; i <= 4; i++ {
			require.Empty(t, q.Admit(newEntry(i, "a")).Refuse)
		}
		refused := q.Admit(newEntry(5, "a")).Refuse
		require.Len(t, refused, 1)
		require.Equal(t, 5, refused[0].ID)
		require.Equal(t, bhcode.Overloaded, refused[0].Err.Code)
		require.Equal(t, bhcode.RanNo, refused[0].Err.Ran)
		require.InDelta(t, 4*time.Second, refused[0].Err.RetryAfter, float64(100*time.Millisecond), "4 queued at 1 s each")
		require.Empty(t, q.Admit(newEntry(11, "b")).Refuse)
		update := q.Admit(newEntry(12, "b"))
		require.Len(t, update.Refuse, 1)
		require.Equal(t, 4, update.Refuse[0].ID, "a full queue refuses a request of the account with the most queued work")
	})
}

func TestRequestThatCannotStartByItsDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](Config{Slots: 1})
		q.Admit(newEntry(0, "a"))
		time.Sleep(time.Second)
		q.Done(0, 0)
		for i := 1; i <= 3; i++ {
			q.Admit(newEntry(i, "a"))
		}
		late := newEntry(4, "a")
		late.Deadline = time.Now().Add(time.Second)
		update := q.Admit(late)
		require.Len(t, update.Refuse, 1)
		require.Equal(t, 4, update.Refuse[0].ID)
	})
}

func TestQueuedRequestExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](Config{Slots: 1, MaxWait: 2 * time.Second})
		q.Admit(newEntry(0, "a"))
		q.Admit(newEntry(1, "b"))
		next, ok := q.NextExpiryCheck()
		require.True(t, ok)
		require.Equal(t, 2*time.Second, time.Until(next))
		require.Empty(t, q.Expire().Refuse)
		time.Sleep(2 * time.Second)
		update := q.Expire()
		require.Len(t, update.Refuse, 1)
		require.Equal(t, bhcode.QueueTimeout, update.Refuse[0].Err.Code)
		require.Positive(t, update.Refuse[0].Err.RetryAfter)
	})
}

func TestBatchTakesOnlyFreeSlotsAndIsPreempted(t *testing.T) {
	q := New[int](Config{Slots: 3})
	q.Admit(newEntry(1, "a"))
	require.Equal(t, 2, q.FreeBatchSlots())
	require.True(t, q.TryAcquireBatch(101))
	require.True(t, q.TryAcquireBatch(102))
	require.False(t, q.TryAcquireBatch(103))
	update := q.Admit(newEntry(2, "b"))
	require.Equal(t, []int{2}, update.Start, "live requests don't wait for batch requests")
	require.Equal(t, []int{102}, update.Preempt, "the latest batch request stops first")
	q.ReleaseBatch(102)
	require.Zero(t, q.FreeBatchSlots(), "a preempted request holds no slot to release")
	q.ReleaseBatch(101)
	require.Equal(t, 1, q.FreeBatchSlots())
}

func TestOneSuspectRunsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](Config{Slots: 4})
		suspect := func(id int, account string) Entry[int] {
			e := newEntry(id, account)
			e.Suspect = true
			return e
		}
		require.Equal(t, []int{1}, q.Admit(suspect(1, "a")).Start)
		require.Empty(t, q.Admit(suspect(2, "a")).Start)
		require.Equal(t, []int{3}, q.Admit(newEntry(3, "a")).Start, "other requests run beside a suspect")
		require.Equal(t, []int{2}, q.Done(1, 0).Start)
		q.Admit(suspect(4, "b"))
		time.Sleep(DefaultMaxWait)
		update := q.Expire()
		require.Len(t, update.Refuse, 1)
		require.Equal(t, bhcode.Overloaded, update.Refuse[0].Err.Code, "another upstream may be able to run it")
	})
}

func TestCancelFreesTheSlotAtOnce(t *testing.T) {
	q := New[int](Config{Slots: 1})
	q.Admit(newEntry(1, "a"))
	q.Admit(newEntry(2, "a"))
	q.Admit(newEntry(3, "a"))
	require.Empty(t, q.Cancel(2).Start)
	require.Equal(t, []int{3}, q.Cancel(1).Start)
	require.Empty(t, q.Cancel(1).Start, "a second cancel changes nothing")
	q.Cancel(3)
	require.Equal(t, Load{}, q.Load())
}

func TestResizePreemptsBatch(t *testing.T) {
	q := New[int](Config{Slots: 3})
	for id := range 3 {
		require.True(t, q.TryAcquireBatch(id))
	}
	require.Equal(t, []int{2, 1}, q.Resize(1).Preempt)
}

// queueModel tracks the requests of a queue and checks each update and the
// queue's load against them.
type queueModel struct {
	slots    int
	queue    *Queue[int]
	running  map[int]bool
	waiting  map[int]bool
	suspects map[int]bool
	batch    map[int]bool
}

func (m *queueModel) apply(t *rapid.T, update Update[int]) {
	for _, refusal := range update.Refuse {
		require.True(t, m.waiting[refusal.ID], "only a waiting request is refused")
		require.Equal(t, bhcode.RanNo, refusal.Err.Ran)
		require.Positive(t, refusal.Err.RetryAfter)
		delete(m.waiting, refusal.ID)
	}
	for _, id := range update.Preempt {
		require.True(t, m.batch[id])
		delete(m.batch, id)
	}
	for _, id := range update.Start {
		require.True(t, m.waiting[id], "each request starts once")
		delete(m.waiting, id)
		m.running[id] = true
	}
	require.LessOrEqual(t, len(m.running)+len(m.batch), m.slots)
	runningSuspects := 0
	for id := range m.running {
		if m.suspects[id] {
			runningSuspects++
		}
	}
	require.LessOrEqual(t, runningSuspects, 1, "at most one suspect runs at a time")
	load := m.queue.Load()
	require.Equal(t, [3]int{len(m.running), len(m.waiting), len(m.batch)}, [3]int{load.Running, load.Queued, load.Batch})
	if len(m.waiting) > 0 {
		_, ok := m.queue.NextExpiryCheck()
		require.True(t, ok)
	}
}

// TestQueueProperties runs random calls and checks that each request starts at
// most once, that the slots are never exceeded, that at most one suspect runs,
// and that no request waits longer than allowed.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			m := &queueModel{slots: rapid.IntRange(1, 5).Draw(rt, "slots"), running: map[int]bool{}, waiting: map[int]bool{}, suspects: map[int]bool{}, batch: map[int]bool{}}
			m.queue = New[int](Config{Slots: m.slots, MaxQueued: 6, MaxQueuedPerAccount: 3})
			for id := range rapid.IntRange(1, 80).Draw(rt, "steps") {
				target := rapid.IntRange(0, id).Draw(rt, "target")
				switch rapid.IntRange(0, 6).Draw(rt, "event") {
				case 0, 1, 2:
					e := newEntry(id, fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "account")))
					e.Suspect = rapid.IntRange(0, 9).Draw(rt, "alone") == 0
					m.waiting[id], m.suspects[id] = true, e.Suspect
					m.apply(rt, m.queue.Admit(e))
				case 3:
					if m.running[target] {
						delete(m.running, target)
						m.apply(rt, m.queue.Done(target, 50))
					}
				case 4:
					delete(m.running, target)
					delete(m.waiting, target)
					m.apply(rt, m.queue.Cancel(target))
				case 5:
					time.Sleep(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 6 * time.Second}).Draw(rt, "sleep"))
					m.apply(rt, m.queue.Expire())
				case 6:
					if m.queue.TryAcquireBatch(-id - 1) {
						m.batch[-id-1] = true
					}
					m.apply(rt, Update[int]{})
				}
			}
			time.Sleep(10 * time.Second)
			m.apply(rt, m.queue.Expire())
			require.Empty(rt, m.waiting, "no request waits longer than allowed")
		})
	})
}

func BenchmarkAdmitDone(b *testing.B) {
	q := New[int](Config{Slots: 16})
	for i := range 50 {
		q.Admit(newEntry(-1-i, fmt.Sprint(i)))
	}
	id := 0
	for b.Loop() {
		q.Admit(newEntry(id, "x"))
		q.Cancel(id)
		id++
	}
}

package bhcrash

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	sourceOne = Source{Host: "s1", Incarnation: 1}
	sourceTwo = Source{Host: "s2", Incarnation: 1}
)

func statusOf(l *Ledger, digest string) Status {
	status, _ := l.StatusOf(digest)
	return status
}

func TestLedgerStatus(t *testing.T) {
	type event struct {
		source Source
		Evidence
	}
	cases := []struct {
		name   string
		events []event
		want   Status
	}{
		{"nothing known", nil, Clear},
		{"one early crash with other requests", []event{{sourceOne, Evidence{Crashes: 1, Early: true}}}, Suspect},
		{"one crash that isn't early", []event{{sourceOne, Evidence{Crashes: 1}}}, Clear},
		{"one crash alone", []event{{sourceOne, Evidence{Crashes: 1, Alone: true, Early: true}}}, Suspect},
		{"the same evidence twice", []event{{sourceOne, Evidence{Crashes: 1, Alone: true, Early: true}}, {sourceOne, Evidence{Crashes: 1, Alone: true, Early: true}}}, Suspect},
		{"two crashes, both with other requests", []event{{sourceOne, Evidence{Crashes: 1}}, {sourceTwo, Evidence{Crashes: 1}}}, Suspect},
		{"two crashes, one alone", []event{{sourceOne, Evidence{Crashes: 1}}, {sourceTwo, Evidence{Crashes: 1, Alone: true}}}, Quarantined},
		{"two crashes of one sidecar", []event{{sourceOne, Evidence{Crashes: 2, Alone: true}}}, Quarantined},
		{"older evidence after newer", []event{{sourceOne, Evidence{Crashes: 2, Alone: true}}, {sourceOne, Evidence{Crashes: 1, Age: time.Second}}}, Quarantined},
		{"crashes in two incarnations of a sidecar", []event{{sourceOne, Evidence{Crashes: 1}}, {Source{"s1", 2}, Evidence{Crashes: 1, Alone: true}}}, Quarantined},
		{"three crashes with other requests", []event{{sourceOne, Evidence{Crashes: 2}}, {sourceTwo, Evidence{Crashes: 1}}}, Quarantined},
		{"older than the window", []event{{sourceOne, Evidence{Crashes: 2, Alone: true, Age: Window + time.Second}}}, Clear},
		{"cleared", []event{{sourceOne, Evidence{Crashes: 1, Early: true, Age: time.Second}}, {Source{}, Evidence{}}}, Clear},
		{"evidence from before the clear that arrives after it", []event{{Source{}, Evidence{}}, {sourceOne, Evidence{Crashes: 1, Early: true, Age: time.Second}}}, Clear},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			l := NewLedger()
			for _, e := range c.events {
				l.Merge(e.source, "d", e.Evidence)
			}
			require.Equal(t, c.want, statusOf(l, "d"), c.name)
			require.Equal(t, Clear, statusOf(l, "other"), c.name)
		})
	}
}

func TestQuarantineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger()
		l.RecordCrash(sourceOne, "d", false, true)
		time.Sleep(time.Minute)
		require.Equal(t, Evidence{Crashes: 2, Alone: true, Early: true}, l.RecordCrash(sourceOne, "d", true, true))
		status, remaining := l.StatusOf("d")
		require.Equal(t, Quarantined, status)
		require.Equal(t, Window, remaining)
		time.Sleep(Window + time.Second)
		require.Equal(t, Clear, statusOf(l, "d"))
		require.Equal(t, Evidence{Crashes: 1, Early: true}, l.RecordCrash(sourceOne, "d", false, true), "crashes older than Window don't count")
	})
}

func TestRecentEvidenceBringsNewPeerUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := NewLedger(), NewLedger()
		l.RecordCrash(sourceOne, "a", true, true)
		l.RecordCrash(sourceOne, "a", true, true)
		l.RecordCrash(sourceOne, "b", false, true)
		l.Merge(sourceTwo, "c", Evidence{Crashes: 2, Alone: true})
		time.Sleep(time.Minute)
		l.VisitRecent(sourceOne, func(digest string, evidence Evidence) { peer.Merge(sourceOne, digest, evidence) })
		require.Equal(t, []Status{Quarantined, Suspect, Clear}, []Status{statusOf(peer, "a"), statusOf(peer, "b"), statusOf(peer, "c")})
	})
}

func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	for i := range maxDigests + 10 {
		l.RecordCrash(sourceOne, fmt.Sprint(i), false, true)
	}
	require.Len(t, l.histories, maxDigests)
	require.Equal(t, Suspect, statusOf(l, fmt.Sprint(maxDigests+9)))
}

// TestOrderOfEvidenceDoesNotMatter gives two ledgers the same evidence, one of
// them repeated and in random order, and requires the same status.
func TestOrderOfEvidenceDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			var evidence []func(*Ledger)
			for _, source := range []Source{sourceOne, sourceTwo} {
				alone := false
				for n := range rapid.IntRange(0, 3).Draw(rt, "crashes") {
					alone = alone || rapid.Bool().Draw(rt, "alone")
					e := Evidence{Crashes: n + 1, Alone: alone, Age: time.Duration(3-n) * time.Second}
					evidence = append(evidence, func(l *Ledger) { l.Merge(source, "d", e) })
				}
			}
			a, b := NewLedger(), NewLedger()
			for _, record := range evidence {
				record(a)
			}
			for _, record := range rapid.Permutation(append(evidence, evidence...)).Draw(rt, "order") {
				record(b)
			}
			require.Equal(rt, statusOf(a, "d"), statusOf(b, "d"))
		})
	})
}

func TestTrackerSeparatesSuccessiveCrashes(t *testing.T) {
	tracker := NewTracker[int]()
	for id := range 3 {
		tracker.Start(id)
	}
	require.Equal(t, 2, tracker.RecordFailure(0))
	tracker.Finish(0)
	require.Equal(t, 2, tracker.RecordFailure(1), "requests that fail later were in the same crash")
	tracker.Finish(1)
	require.Equal(t, 2, tracker.RecordFailure(2))
	tracker.Finish(2)
	tracker.Start(4)
	require.Zero(t, tracker.RecordFailure(4), "a request that starts after the crash is alone")
}

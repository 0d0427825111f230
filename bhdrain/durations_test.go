package bhdrain

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a process that stops and takes requests that it can't finish, or refuses
// those that it would have finished.
func TestRequestsThatArriveInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var durations Durations[string]
		for i := range 200 {
			durations.Observe("quick", time.Duration(i)*time.Millisecond)
			durations.Observe("mixed", 100*time.Millisecond)
			if i%20 == 0 {
				durations.Observe("mixed", 3*time.Second)
			}
		}
		for range leastCount - 1 {
			durations.Observe("rare", time.Millisecond)
		}
		for range leastCount {
			durations.Observe("scarce", 200*time.Millisecond)
		}
		for _, c := range []struct {
			class          string
			left, deadline time.Duration
			safe           bool
			want           bool
		}{
			{class: "quick", left: time.Second, deadline: time.Minute, want: true},
			{class: "quick", left: 100 * time.Millisecond, deadline: time.Minute},
			{class: "quick", left: 100 * time.Millisecond, deadline: time.Minute, safe: true},
			{class: "quick", left: 100 * time.Millisecond, deadline: 100 * time.Millisecond, want: true},
			{class: "quick", left: 0, deadline: 0},
			{class: "quick", left: -1, deadline: -2, safe: true},
			{class: "mixed", left: 2 * time.Second, deadline: time.Minute},
			{class: "mixed", left: 4 * time.Second, deadline: time.Minute, want: true},
			{class: "rare", left: 4 * time.Second, deadline: 5 * time.Second},
			{class: "rare", left: 4 * time.Second, deadline: 5 * time.Second, safe: true, want: true},
			{class: "scarce", left: 300 * time.Millisecond, deadline: time.Minute},
			{class: "scarce", left: 500 * time.Millisecond, deadline: time.Minute, want: true},
			{class: "unseen", left: 4 * time.Second, deadline: 4 * time.Second, want: true},
		} {
			assert.Equal(t, c.want, durations.Fits(c.class, Request{Left: c.left, Deadline: c.deadline, Repeatable: c.safe}), "%+v", c)
		}

		late := Request{Left: 2 * time.Second, Deadline: time.Minute}
		for range 2 {
			time.Sleep(window)
			assert.False(t, durations.Fits("mixed", late), "is kept for a window")
			durations.Observe("quick", time.Millisecond)
		}
		for range leastCount {
			durations.Observe("mixed", time.Millisecond)
		}
		assert.True(t, durations.Fits("mixed", late), "is dropped after two")
	})
}

// Guards against one slow request whose class is refused or taken by the wrong rule while fewer
// than fullCount are known: the percentile of 51 to 99 passes over the longest one.
func TestLongestOfFewRequestsCounts(t *testing.T) {
	const longest = 3 * time.Second
	slack := longest / 10 // more than the resolution of what is kept
	synctest.Test(t, func(t *testing.T) {
		for _, count := range []int{leastCount, 20, 50, 51, 75, fullCount - 1, fullCount} {
			for _, repeatable := range []bool{true, false} {
				var durations Durations[string]
				for i := range count - 1 {
					durations.Observe("main", 100*time.Millisecond)
					if i == count/2 {
						durations.Observe("main", longest)
					}
				}
				usual := longest
				switch {
				case count == fullCount:
					usual = 100 * time.Millisecond
				case !repeatable:
					usual = 2 * longest
				}
				request := Request{Left: usual - slack, Deadline: time.Minute, Repeatable: repeatable}
				if count < fullCount {
					assert.False(t, durations.Fits("main", request), "%d known, repeatable: %t", count, repeatable)
				}
				request.Left = usual + slack
				assert.True(t, durations.Fits("main", request), "%d known, repeatable: %t", count, repeatable)
			}
		}
	})
}

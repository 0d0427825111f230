package bhcap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// coldWindow is the window in which the users count the requests to a cold upstream.
const coldWindow = time.Second

// mostIn returns the most times within a window, of times in order.
func mostIn(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, last := range times {
		for times[first] <= last-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdUpstreamGetsNoMoreThanItTolerates plays more requests than a cold upstream
// tolerates: steady ones and bursts, by the owner and by senders that don't reach it. In no
// second it may get more than its rate times Over and Slack, also if each request takes up to
// 100 ms to arrive.
func TestColdUpstreamGetsNoMoreThanItTolerates(t *testing.T) {
	tolerance := Tolerance{Over: 1.5, Slack: 5}
	for _, perSecond := range []float64{1, 5, 29, 200} {
		for name, wanted := range map[string]func(now time.Duration) float64{
			"steady, ten times as many": func(time.Duration) float64 { return 10 * perSecond },
			"bursts every two seconds": func(now time.Duration) float64 {
				if now%(2*time.Second) < 200*time.Millisecond {
					return 50 * perSecond
				}
				return 0
			},
			"just below its rate": func(time.Duration) float64 { return 0.9 * perSecond },
		} {
			t.Run(fmt.Sprint(perSecond, " a second, ", name), func(t *testing.T) {
				const senders = 32
				random := rand.New(rand.NewPCG(1, 2))
				owner, alone := NewLedger(Config{Cold: tolerance}), make([]*Ledger, senders)
				cold := Cold{Rate: perSecond, Until: at(20 * time.Second)}
				owner.ObserveCold(upstream, cold, at(0))
				for i := range alone {
					alone[i] = NewLedger(Config{Cold: tolerance})
					alone[i].ObserveCold(upstream, cold, at(0))
				}
				var arrived []time.Duration
				arrivals := make(map[time.Duration]int)
				for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
					for range 4 {
						if random.Float64() >= wanted(now)/4000 {
							continue
						}
						granted := owner.Take(upstream, at(now)).Granted
						if !granted {
							granted = alone[random.IntN(senders)].TakeShare(upstream, senders, at(now)).Granted
						}
						if granted {
							arrivals[now+time.Duration(random.IntN(100))*time.Millisecond]++
						}
					}
				}
				for now := time.Duration(0); now < 21*time.Second; now += time.Millisecond {
					for range arrivals[now] {
						arrived = append(arrived, now)
					}
				}
				assert.LessOrEqual(t, float64(mostIn(arrived, coldWindow)), perSecond*tolerance.Over+tolerance.Slack)
				assert.Positive(t, len(arrived))
				if name == "steady, ten times as many" {
					assert.GreaterOrEqual(t, float64(len(arrived)), 0.5*perSecond*20, "it gets what it tolerates")
				}
			})
		}
	}
}

// TestColdEndsAndBeginsAgain guards against an upstream that stays limited after it is warm, or
// that gets a burst when it becomes cold again.
func TestColdEndsAndBeginsAgain(t *testing.T) {
	l := NewLedger(Config{Cold: Tolerance{Over: 1.5, Slack: 5}})
	assert.False(t, l.Look(upstream, at(0)).Limited)
	l.ObserveCold(upstream, Cold{Rate: 29, Until: at(3 * time.Second)}, at(0))
	l.ObserveCold(upstream, Cold{Rate: 29, Until: at(2 * time.Second)}, at(0))
	assert.Equal(t, 29.0, l.Look(upstream, at(2900*time.Millisecond)).Rate, "the longest report binds")
	assert.Equal(t, Cold{}, l.Cold(upstream, at(3*time.Second)))
	assert.False(t, l.Take(upstream, at(3*time.Second)).Limited)
	l.ObserveCold(upstream, Cold{Rate: 29, Until: at(13 * time.Second)}, at(10*time.Second))
	granted := 0
	for range 50 {
		if l.Take(upstream, at(10*time.Second)).Granted {
			granted++
		}
	}
	assert.Zero(t, granted)
}

// TestInvalidColdIsIgnored guards against a report that limits an upstream for no reason.
func TestInvalidColdIsIgnored(t *testing.T) {
	for _, cold := range []Cold{{}, {Rate: 0, Until: at(time.Second)}, {Rate: -1, Until: at(time.Second)}, {Rate: 5, Until: at(0)}, {Rate: 5}} {
		l := NewLedger(Config{})
		l.ObserveCold(upstream, cold, at(0))
		assert.False(t, l.Look(upstream, at(0)).Limited, "%v", cold)
	}
}

// TestColdAndNamedLimitsBindTogether guards against an upstream that is cold and names a limit
// and gets more than the lower one of the two, with and without the owner.
func TestColdAndNamedLimitsBindTogether(t *testing.T) {
	for _, limits := range [][2]float64{{5, 29}, {100, 29}} {
		for _, alone := range []bool{false, true} {
			l := NewLedger(Config{Cold: Tolerance{Over: 1.5, Slack: 5}})
			l.Observe(upstream, named(0, limits[0]))
			l.ObserveCold(upstream, Cold{Rate: limits[1], Until: at(time.Minute)}, at(0))
			granted := 0
			for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
				decision := l.Take(upstream, at(now))
				if alone {
					decision = l.TakeShare(upstream, 1, at(now))
				}
				assert.Equal(t, min(limits[0], limits[1]), decision.Rate)
				if decision.Granted {
					granted++
				}
			}
			assert.LessOrEqual(t, float64(granted), min(limits[0], limits[1])*10+2)
			l.Observe(upstream, unnamed(10*time.Second, 10*time.Second+time.Millisecond))
			assert.Equal(t, limits[1], l.Look(upstream, at(11*time.Second)).Rate, "the named limit has ended")
		}
	}
}

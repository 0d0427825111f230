package bhcap

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestParse guards against a malformed limit that binds, or hides a sound one.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		values []string
		rate   float64
		named  bool
		fails  bool
	}{
		{values: nil},
		{values: []string{"2.4"}, rate: 2.4, named: true},
		{values: []string{" 3 "}, rate: 3, named: true},
		{values: []string{"0"}, named: true},
		{values: []string{"1e300"}, rate: maxRate, named: true},
		{values: []string{"5", "2"}, rate: 2, named: true},
		{values: []string{"5, 2"}, rate: 2, named: true},
		{values: []string{"soon", "2"}, rate: 2, named: true},
		{values: []string{"-1"}, fails: true},
		{values: []string{""}, fails: true},
		{values: []string{"NaN"}, fails: true},
		{values: []string{"+Inf"}, fails: true},
		{values: []string{"2/s"}, fails: true},
	} {
		rate, named, err := Parse(test.values)
		assert.Equal(t, test.rate, rate, "%q", test.values)
		assert.Equal(t, test.named, named, "%q", test.values)
		assert.Equal(t, test.fails, err != nil, "%q: %v", test.values, err)
	}
}

var (
	began    = time.Unix(1_700_000_000, 0)
	upstream = Upstream{ID: "i-1", Born: 1}
)

func at(after time.Duration) time.Time { return began.Add(after) }

// named is an answer that arrived then and names the limit.
func named(after time.Duration, rate float64) Naming {
	return Naming{Named: true, Rate: rate, SentAt: at(after - 10*time.Millisecond), At: at(after)}
}

// unnamed is an answer without a limit.
func unnamed(sent, after time.Duration) Naming { return Naming{SentAt: at(sent), At: at(after)} }

// TestLimitBeginsChangesAndEnds guards against a limit that isn't followed when it changes,
// is ended by an answer to a request from before it, or outlives its upstream's start.
func TestLimitBeginsChangesAndEnds(t *testing.T) {
	l := NewLedger(Config{})
	look := func(after time.Duration) Decision { return l.Look(upstream, at(after)) }
	assert.False(t, look(0).Limited)
	l.Observe(upstream, named(time.Second, 2))
	assert.Equal(t, 2.0, look(time.Second).Rate)
	l.Observe(upstream, unnamed(500*time.Millisecond, 1100*time.Millisecond))
	assert.True(t, look(1200*time.Millisecond).Limited, "the request was sent before the limit was named")
	l.Observe(upstream, named(2*time.Second, 1))
	l.Observe(upstream, named(1500*time.Millisecond, 9))
	assert.Equal(t, 1.0, look(2*time.Second).Rate, "the older answer came later")
	assert.False(t, l.Look(Upstream{ID: "i-1", Born: 2}, at(2*time.Second)).Limited, "another start")
	l.Observe(upstream, unnamed(3*time.Second, 3100*time.Millisecond))
	assert.False(t, look(4*time.Second).Limited)
	l.Observe(upstream, named(2500*time.Millisecond, 1))
	assert.False(t, look(4*time.Second).Limited, "an older answer is heard of later")
	l.Observe(upstream, named(5*time.Second, 1))
	assert.True(t, look(5*time.Second).Limited)
	assert.False(t, look(5*time.Second).Granted, "a new limit begins without a burst")
}

// TestLimitOfZero guards against an upstream that is never asked again, although only its
// answers tell that its limit has ended.
func TestLimitOfZero(t *testing.T) {
	strict, probing := NewLedger(Config{}), NewLedger(Config{LeastRate: 0.2})
	granted := 0
	for _, l := range []*Ledger{strict, probing} {
		l.Observe(upstream, named(0, 0))
		for step := range 200 {
			if l.Take(upstream, at(time.Duration(step)*100*time.Millisecond)).Granted {
				granted++
			}
		}
		if l == strict {
			assert.Zero(t, granted)
			assert.Equal(t, maxWait, l.Look(upstream, at(20*time.Second)).Wait)
		}
	}
	assert.InDelta(t, 4, granted, 1)
}

// TestGrantsKeepToTheLimit guards against more grants in any span than the limit allows, and
// against a wait after which nothing is granted.
func TestGrantsKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(Config{})
		limit := rapid.Float64Range(0.1, 50).Draw(t, "limit")
		l.Observe(upstream, named(0, limit))
		var grants []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			decision := l.Take(upstream, at(now))
			if decision.Granted {
				grants = append(grants, now)
			} else if decision.Wait < maxWait && !l.Look(upstream, at(now+decision.Wait)).Granted {
				t.Fatalf("nothing is granted after the wait of %s", decision.Wait)
			}
		}
		burst := max(leastBurst, limit*burstTime.Seconds()) + 1
		for i, from := range grants {
			for j, to := range grants[i:] {
				if allowed := limit*(to-from).Seconds() + burst + 1e-6; float64(j+1) > allowed {
					t.Fatalf("%d grants in %s, where %g are allowed", j+1, to-from, allowed)
				}
			}
		}
	})
}

// TestLedgerIsBounded guards against a ledger that grows with the upstreams.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(Config{})
	for i := range maxUpstreams + 10 {
		l.Observe(Upstream{ID: fmt.Sprint(i)}, named(0, 1))
	}
	assert.Len(t, l.upstreams, maxUpstreams)
	l.Observe(upstream, named(2*forgetAfter, 1))
	assert.Len(t, l.upstreams, 1)
}

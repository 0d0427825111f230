package bhcap

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// tokens are those of one limit of an upstream.
type tokens struct {
	// perSecond and burst are those of the owner's bucket.
	perSecond rate.Limit
	burst     int
	// owned holds what this process grants as the owner, share its share without the owner;
	// each is nil before its first use.
	owned *rate.Limiter
	share *rate.Limiter
}

// set sets the rate and the burst of the owner's bucket.
func (t *tokens) set(perSecond float64, burst int) {
	t.perSecond, t.burst = rate.Limit(perSecond), burst
}

// ownedBucket returns the owner's bucket, which begins empty: this process may have started
// anew.
func (t *tokens) ownedBucket(now time.Time) *rate.Limiter {
	if t.owned == nil {
		t.owned = rate.NewLimiter(t.perSecond, t.burst)
		t.owned.AllowN(now, t.burst)
	}
	if t.owned.Limit() != t.perSecond {
		t.owned.SetLimitAt(now, t.perSecond)
		t.owned.SetBurstAt(now, t.burst)
	}
	return t.owned
}

// shareBucket returns the bucket of the share of one of so many senders without the owner.
func (t *tokens) shareBucket(senders int, now time.Time) *rate.Limiter {
	perSecond := t.perSecond * ownerless / rate.Limit(max(1, senders))
	if t.share == nil {
		t.share = rate.NewLimiter(perSecond, 1)
		// Senders that lose the owner at the same time don't get their first tokens together.
		t.share.AllowN(now.Add(-time.Duration(rand.Float64()/max(float64(perSecond), 1e-3)*float64(time.Second))), 1)
	}
	t.share.SetLimitAt(now, perSecond)
	return t.share
}

// waitOf returns the time until the bucket has a token beside the reserved ones.
func waitOf(bucket *rate.Limiter, reserved float64, now time.Time) time.Duration {
	missing := 1 + reserved - bucket.TokensAt(now)
	switch {
	case missing <= 0:
		return 0
	case bucket.Limit() <= 0:
		return maxWait
	}
	return min(maxWait, time.Duration(missing/float64(bucket.Limit())*float64(time.Second))+time.Millisecond)
}

// demandTime is the time over which recent demand is averaged.
const demandTime = 2 * time.Second

// demand is the recent requests a second for one upstream, by their class.
type demand struct {
	recent map[Class]float64
	at     time.Time
}

// add counts one request.
func (d *demand) add(class Class, now time.Time) {
	d.decay(now)
	if d.recent == nil {
		d.recent = make(map[Class]float64)
	}
	d.recent[class] += 1 / demandTime.Seconds()
}

// moreUrgent returns the requests a second of the classes that are more urgent.
func (d *demand) moreUrgent(class Class, now time.Time) float64 {
	d.decay(now)
	sum := 0.0
	for other, perSecond := range d.recent {
		if other < class {
			sum += perSecond
		}
	}
	return sum
}

func (d *demand) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(d.at).Seconds()) / demandTime.Seconds())
	for class, perSecond := range d.recent {
		if d.recent[class] = perSecond * factor; d.recent[class] < leastDemand {
			delete(d.recent, class)
		}
	}
	d.at = now
}

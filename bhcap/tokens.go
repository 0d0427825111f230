package bhcap

import (
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

// waitOf returns the time until the bucket has a token.
func waitOf(bucket *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - bucket.TokensAt(now)
	switch {
	case missing <= 0:
		return 0
	case bucket.Limit() <= 0:
		return maxWait
	}
	return min(maxWait, time.Duration(missing/float64(bucket.Limit())*float64(time.Second))+time.Millisecond)
}

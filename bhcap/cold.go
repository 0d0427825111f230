package bhcap

import "time"

// Tolerance is how far the requests in a second to a cold upstream may exceed its rate. A
// zero Tolerance allows none beyond the rate.
type Tolerance struct {
	// Over multiplies the rate (1.5 is half more); Slack is a number of requests.
	Over  float64
	Slack float64
}

// Cold says that an upstream is cold after its start, and tolerates few requests until it is
// warm.
type Cold struct {
	// Rate is the requests a second that it tolerates meanwhile.
	Rate float64
	// Until is when it is warm.
	Until time.Time
}

// coldGrants returns the rate and the burst at which the owner grants requests to a cold
// upstream that tolerates so many a second. Any second then holds at most what the tolerance
// allows: the burst, a second of the rate, and the shares of senders that don't reach the
// owner. Two thirds of what is tolerated beyond the upstream's rate are left to requests that
// arrive closer together than they were granted.
func coldGrants(perSecond float64, tolerance Tolerance) (float64, int) {
	bound := perSecond*max(1, tolerance.Over) + tolerance.Slack
	burst := max(1, int((bound-perSecond)/3))
	return min(perSecond, max(perSecond/2, (bound-float64(burst))/(1+ownerless))), burst
}

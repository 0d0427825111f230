package bhquota

import "time"

// refusalLine is the line of an account's refused requests, each of which comes back for
// a token of its own.
type refusalLine struct {
	// rate is that of the account, in tokens per second.
	rate float64
	// servedAt is when tokens have accrued for all requests of the line.
	servedAt time.Duration
}

// add adds refused requests at the end of the line, which is at most maxRetryAfter long.
func (l *refusalLine) add(now time.Duration, count int) {
	l.servedAt = min(now+maxRetryAfter, max(now, l.servedAt)+tokensDuration(float64(count), l.rate))
}

// wait returns when a token accrues for a request that is refused now.
func (l *refusalLine) wait(now time.Duration) time.Duration {
	return min(maxRetryAfter, max(0, l.servedAt-now)+tokensDuration(1, l.rate))
}

// tokensDuration returns the time in which so many tokens accrue at the rate in tokens
// per second, at most maxRetryAfter.
func tokensDuration(tokens, rate float64) time.Duration {
	if tokens >= rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

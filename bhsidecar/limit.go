package bhsidecar

import (
	"net/http"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhcode"
)

// limitHeader names, in an upstream's answers, the requests a second that it takes from all
// senders together, for as long as it says so.
const limitHeader = "Baobab-Limit"

// takeLimit takes the right to send one request to the upstream. The error is Overloaded, with
// the time to come back. All requests to an upstream pass its host's sidecar, which so owns
// its limit.
func (u *upstream) takeLimit() error {
	decision := u.limits.Take(bhcap.Upstream{ID: u.config.Name}, time.Now())
	if decision.Granted {
		return nil
	}
	return bhcode.New(bhcode.Overloaded, "the limit of %g requests a second that upstream %s names allows none for %s",
		decision.Rate, u.config.Name, decision.Wait).WithRetryAfter(decision.Wait)
}

// observeLimit adds what an answer said about the upstream's limit. A malformed limit neither
// begins nor ends one.
func (u *upstream) observeLimit(response *http.Response, sentAt time.Time) {
	limit, named, err := bhcap.Parse(response.Header.Values(limitHeader))
	if err != nil {
		return
	}
	u.limits.Observe(bhcap.Upstream{ID: u.config.Name}, bhcap.Naming{Named: named, Rate: limit, SentAt: sentAt, At: time.Now()})
}

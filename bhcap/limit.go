// Package bhcap decides how many requests an upstream gets that names a limit: the
// requests a second that it takes from all senders together, for as long as its answers
// name it. One process owns the limit of an upstream and grants each request to it; package
// bhpass finds the owner.
package bhcap

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxRate replaces higher limits, which bind nobody.
const maxRate = 1e6

// SettleTime is how long a gateway must have been the first one of its own list before it
// owns the limits of upstreams that have no runner: longer than others take to read the list.
const SettleTime = 5 * time.Second

// ProbeRate is the rate in requests a second at which an upstream with a lower limit is asked
// all the same, where nothing but its answers tells that the limit has ended.
const ProbeRate = 0.2

// Parse returns the limit that the values of an answer's header name, in requests a
// second. Of several values the lowest one binds. It returns false if there is none, and an
// error if no value is a finite number from 0 on.
func Parse(values []string) (float64, bool, error) {
	lowest, named := maxRate, false
	var failure error
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			rate, ok := CheckRate(rate)
			if err != nil || !ok {
				failure = errors.Errorf("limit %q of an upstream is not a finite number of requests a second from 0 on", text)
				continue
			}
			lowest, named = min(lowest, rate), true
		}
	}
	if named {
		return lowest, true, nil
	}
	return 0, false, failure
}

// CheckRate returns the limit to apply, and false if the rate is none.
func CheckRate(rate float64) (float64, bool) {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return min(rate, maxRate), true
}

// Upstream names one start of an upstream. A limit ends with it.
type Upstream struct {
	ID string
	// Born is when it started, in milliseconds since the Unix epoch.
	Born int64
}

// RunnersEngine stands for the engine beside a runner, whatever start of it the senders list:
// they don't read the list at the same time, and a limit for each start would add up. The
// engine's reports tell soon if a later start names another limit.
var RunnersEngine = Upstream{}

// Naming is what one answer of an upstream says about its limit.
type Naming struct {
	// Named is false if the answer names no limit.
	Named bool
	// Rate is the limit in requests a second.
	Rate float64
	// SentAt is when the request was sent, At when the answer arrived.
	SentAt time.Time
	At     time.Time
}

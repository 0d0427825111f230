package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// limitLead is the time from the first answer with a limit until the limit must hold:
	// in any limitWindow at most limitShare of what it allows, and limitSlack requests.
	limitLead   = 3 * time.Second
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5
)

// limitRecord is what reached one start of an engine while it named one limit.
type limitRecord struct {
	engine   string
	limit    float64
	from     time.Time
	arrivals []limitArrival
}

// limitArrival is a request that reached a limited engine.
type limitArrival struct {
	at     time.Time
	sender string
}

// limit has the engine name a limit for a while, in all answers, unless another one does:
// the others have to bear the rest.
func (w *world) limit(e *engine, random *rand.Rand, length time.Duration) func(context.Context) {
	limit := 0.5 + 3*random.Float64()
	return func(ctx context.Context) {
		if !w.limiting.CompareAndSwap(false, true) {
			return
		}
		defer w.limiting.Store(false)
		e.setLimit(limit)
		pause(ctx, length)
		e.setLimit(0)
	}
}

func (e *engine) setLimit(limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// nameLimit adds the engine's limit to an answer, and records a request that isn't a report.
func (e *engine) nameLimit(w http.ResponseWriter, r *http.Request, start string) {
	e.mu.Lock()
	limit := e.limit
	e.mu.Unlock()
	if limit <= 0 {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', 2, 64))
	if r.URL.Path != "/report" && r.Header.Get("X-Target-Instance") == e.id {
		e.record.reachedLimited(e.id, start, r.Header.Get("X-Request-Id"), limit)
	}
}

// reachedLimited notes that a request reached an engine that names a limit.
func (r *recorder) reachedLimited(engine, start, id string, limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	key := fmt.Sprint(start, " ", limit)
	record := r.limits[key]
	if record == nil {
		record = &limitRecord{engine: engine, limit: limit, from: now}
		r.limits[key] = record
	}
	record.arrivals = append(record.arrivals, limitArrival{at: now, sender: r.senderOf(engine, id)})
}

// interrupt notes that something was restarted, frozen or cut off until the returned function
// is called: a gateway by its address, a runner by its name, or an engine by its ID.
func (r *recorder) interrupt(name string) func() {
	from := time.Now()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.interrupted[name] = append(r.interrupted[name], span{from: from, to: time.Now()})
	}
}

// sender returns the name of the process as that of a sender.
func (p *process) sender() string {
	if p.role == "gateway" {
		return p.front
	}
	return p.name
}

// wasInterrupted reports whether the process or engine was interrupted in the time that
// limits take to be known before the given one. The caller holds r.mu.
func (r *recorder) wasInterrupted(name string, at time.Time) bool {
	for _, interrupted := range r.interrupted[name] {
		if interrupted.from.Before(at) && interrupted.to.After(at.Add(-limitLead)) {
			return true
		}
	}
	return false
}

// checkLimits checks that the requests of all processes together kept to the limits that
// engines named. The caller holds r.mu.
func (r *recorder) checkLimits() []string {
	var faults []string
	for _, record := range r.limits {
		var counted []time.Time
		for _, arrival := range record.arrivals {
			if arrival.at.After(record.from.Add(limitLead)) && !r.wasInterrupted(arrival.sender, arrival.at) && !r.wasInterrupted(record.engine, arrival.at) {
				counted = append(counted, arrival.at)
			}
		}
		allowed := limitShare*record.limit*limitWindow.Seconds() + limitSlack
		for i, from := range counted {
			count := 0
			for _, at := range counted[i:] {
				if at.Before(from.Add(limitWindow)) {
					count++
				}
			}
			if float64(count) > allowed {
				faults = append(faults, fmt.Sprintf("engine %s with a limit of %.2f got %d requests in the %s from %s, where %.0f are allowed", record.engine, record.limit, count, limitWindow, from, allowed))
				break
			}
		}
	}
	return faults
}

// TestLimitsAreSeen checks that the soak would see requests beyond a limit.
func TestLimitsAreSeen(t *testing.T) {
	r := newRecorder()
	began := time.Now()
	record := &limitRecord{engine: "i-0", limit: 1, from: began}
	for i := range 12 {
		record.arrivals = append(record.arrivals, limitArrival{at: began.Add(limitLead + time.Duration(i+1)*100*time.Millisecond), sender: "g"})
	}
	r.limits["s"] = record
	assert.Len(t, r.checkLimits(), 1)
	r.interrupted["g"] = []span{{from: began.Add(limitLead), to: began.Add(limitLead + time.Second)}}
	assert.Empty(t, r.checkLimits())
}

// TestGatewayAndRunnerShareALimit guards against a soak whose gateways and runners don't reach each
// other: each keeps to a limit alone then, and both exceed it.
func TestGatewayAndRunnerShareALimit(t *testing.T) {
	const limit, items = 6, 100
	w := newWorld(t, 1, 1, 1)
	w.engines[0].setLimit(limit)
	time.Sleep(lead)
	ctx, cancel := context.WithTimeout(t.Context(), 2*limitLead+limitWindow)
	defer cancel()
	var job struct {
		Items []map[string]any `json:"items"`
	}
	for i := range items {
		id := fmt.Sprintf("job.%d", i)
		item := attempt{sent: time.Now(), tenant: "zoo", path: "/jobs/" + id, body: "item " + id}
		w.record.sent(id, &item)
		job.Items = append(job.Items, map[string]any{"id": id, "path": item.path, "body": []byte(item.body), "tokens": 10})
	}
	body, err := json.Marshal(job)
	require.NoError(t, err)
	require.True(t, newClient(w, "batch", 1).submit(ctx, "job", "zoo", string(body)))
	newClient(w, "live", 2).live(ctx, "zoo", 3*limit, "/safe/x")
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	assert.Empty(t, w.record.checkLimits())
	assert.NotEmpty(t, w.record.runs["job.0"])
}

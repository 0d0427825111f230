package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// evacuationBound is the time from an evacuation until the data centre's engines must get no
// more requests, and stabilityWindow that without a fault for which a process counts as in touch.
const (
	evacuationBound = 5 * time.Second
	stabilityWindow = 4 * time.Second
)

// evacuation is one evacuation of an engine's data centre, and what reached the engine later
// than the bound.
type evacuation struct {
	engine   string
	from     time.Time
	ended    bool
	arrivals []limitArrival
}

// centre returns the data centre of an engine.
func centre(engine string) string { return "z-" + engine }

// evacuate evacuates the data centre of one engine for a while: the others have to bear the
// rest.
func (w *world) evacuate(ctx context.Context, random *rand.Rand) {
	pause(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
	engine := w.engines[random.IntN(len(w.engines))].id
	key := "evacuate/" + centre(engine)
	require.NoError(w.t, w.store.put("op", key, map[string]any{}))
	e := w.record.evacuated(engine, time.Now())
	pause(ctx, evacuationBound+time.Duration(500+random.IntN(2500))*time.Millisecond)
	w.record.restored(e)
	require.NoError(w.t, w.store.remove("op", key))
}

func (r *recorder) evacuated(engine string, now time.Time) *evacuation {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &evacuation{engine: engine, from: now}
	r.evacuations = append(r.evacuations, e)
	return e
}

func (r *recorder) restored(e *evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.ended = true
}

// reachedEvacuated notes that a request reached an engine.
func (r *recorder) reachedEvacuated(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.evacuations {
		if e.engine == engine && !e.ended && time.Since(e.from) > evacuationBound {
			e.arrivals = append(e.arrivals, limitArrival{at: time.Now(), sender: r.senderOf(engine, id)})
		}
	}
}

// senderOf returns the sender of a request that reached an engine: the gateway that took it
// from its client, or the engine's runner. The caller holds r.mu.
func (r *recorder) senderOf(engine, id string) string {
	if a := r.attempts[id]; a != nil && a.gateway != "" {
		return a.gateway
	}
	return strings.Replace(engine, "i-", "runner-", 1)
}

// checkEvacuations checks that processes in touch sent nothing to evacuated engines. The
// caller holds r.mu.
func (r *recorder) checkEvacuations() []string {
	var faults []string
	for _, e := range r.evacuations {
		for _, arrival := range e.arrivals {
			if !touched(r.disturbed[arrival.sender], arrival.at) && !touched(r.interrupted[arrival.sender], arrival.at) {
				faults = append(faults, fmt.Sprintf("engine %s, evacuated at %s, got a request from %s at %s", e.engine, e.from, arrival.sender, arrival.at))
			}
		}
	}
	return faults
}

// touched reports whether one of the spans reaches into the time for which a process must have
// been without a fault.
func touched(spans []span, at time.Time) bool {
	for _, s := range spans {
		if s.from.Before(at) && s.to.After(at.Add(-stabilityWindow)) {
			return true
		}
	}
	return false
}

// TestEvacuationsAreSeen checks that the soak would see requests to evacuated engines.
func TestEvacuationsAreSeen(t *testing.T) {
	r := newRecorder()
	e := r.evacuated("i-0", time.Now().Add(-evacuationBound-time.Second))
	r.attempts["r"] = &attempt{gateway: "g"}
	r.reachedEvacuated("i-0", "r")
	r.reachedEvacuated("i-0", "item")
	r.reachedEvacuated("i-1", "r")
	assert.Len(t, r.checkEvacuations(), 2)
	r.disturbed["g"] = []span{{from: time.Now().Add(time.Second), to: time.Now().Add(time.Hour)}}
	assert.Len(t, r.checkEvacuations(), 2, "the fault comes later")
	r.disturbed["g"][0].from = time.Now().Add(-time.Hour)
	r.disturbed["runner-0"] = r.disturbed["g"]
	assert.Empty(t, r.checkEvacuations())
	r.restored(e)
	r.disturbed = nil
	r.reachedEvacuated("i-0", "r")
	assert.Len(t, r.checkEvacuations(), 2)
}

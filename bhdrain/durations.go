package bhdrain

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is how long durations are kept at least; they are dropped after two.
	window = 5 * time.Minute
	// leastCount is how many durations tell how long a request will take.
	leastCount = 5
	// fullCount is how many durations it takes for the percentile. Of fewer the longest one
	// counts, and scarceFactor times for requests that may not be repeated: one of them that is
	// cut costs more than several that are refused.
	fullCount    = 100
	scarceFactor = 2
	// percentile is that of the durations within which a request is expected to end. It is
	// high, as a request that is refused costs a new connection, and one that is ended in
	// the middle its answer.
	percentile = 99
	// durationUnit, durationMax and durationDigits are the resolution of what is kept, some 2 KB
	// a class.
	durationUnit   = time.Millisecond
	durationMax    = 10 * time.Minute
	durationDigits = 1
)

// Durations holds how long requests of each class took until they were answered. The zero
// value is ready for use, also concurrently.
type Durations[K comparable] struct {
	mu    sync.Mutex
	since time.Time
	// newer are those of the present window, older those of the one before.
	newer, older map[K]*hdrhistogram.Histogram
}

// Observe adds a request that was answered.
func (d *Durations[K]) Observe(class K, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.newer == nil || now.Sub(d.since) >= window {
		d.since, d.older, d.newer = now, d.newer, make(map[K]*hdrhistogram.Histogram)
	}
	histogram := d.newer[class]
	if histogram == nil {
		histogram = hdrhistogram.New(1, int64(durationMax/durationUnit), durationDigits)
		d.newer[class] = histogram
	}
	_ = histogram.RecordValue(int64(min(took, durationMax) / durationUnit)) // fails only above durationMax
}

// usual returns the time within which a request of the class is expected to be answered. It
// reports false if too few were.
func (d *Durations[K]) usual(class K, repeatable bool) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := hdrhistogram.New(1, int64(durationMax/durationUnit), durationDigits)
	for _, part := range []*hdrhistogram.Histogram{d.newer[class], d.older[class]} {
		if part != nil {
			all.Merge(part)
		}
	}
	count := all.TotalCount()
	if count >= fullCount {
		return time.Duration(all.ValueAtPercentile(percentile)) * durationUnit, true
	}
	longest := time.Duration(all.Max()) * durationUnit
	if !repeatable {
		longest *= scarceFactor
	}
	return longest, count >= leastCount
}

// Request is a request that arrives while the process stops.
type Request struct {
	// Left is how long requests are still worked on.
	Left time.Duration
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Repeatable reports that the caller may send the request again if it isn't finished,
	// and has no part of an answer then.
	Repeatable bool
}

// Fits reports whether the request of the class is expected to be answered in the time
// that is left. Where nothing tells how long it takes, it is tried only if it is repeatable.
func (d *Durations[K]) Fits(class K, request Request) bool {
	if request.Left <= 0 || request.Deadline <= request.Left {
		return request.Left > 0
	}
	if usual, known := d.usual(class, request.Repeatable); known {
		return usual <= request.Left
	}
	return request.Repeatable
}

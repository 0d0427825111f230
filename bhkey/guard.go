package bhkey

import (
	"sync"
	"time"
)

// Defaults of the fields of GuardConfig.
const (
	DefaultGuardBurst   = 20
	DefaultGuardRefill  = 3 * time.Second
	DefaultGuardSources = 4096
)

// GuardConfig configures a Guard. A zero field means its default.
type GuardConfig struct {
	// Burst is the number of wrong keys that a source may send at once: the
	// capacity of its token bucket.
	Burst int
	// Refill is the interval in which a source regains one token.
	Refill time.Duration
	// Sources is the largest number of sources whose token buckets are kept.
	Sources int
}

// Guard limits the rate of wrong keys per source, such as a client's IP address,
// with a token bucket for each source. Requests with a valid key aren't counted or
// limited, so that a caller isn't refused for the wrong keys of others behind the
// same address. It is safe for concurrent use.
type Guard struct {
	config GuardConfig

	mu sync.Mutex
	// fullAt holds when the token bucket of each source is full again.
	fullAt map[string]time.Time
}

// NewGuard returns a guard that remembers no source.
func NewGuard(config GuardConfig) *Guard {
	if config.Burst == 0 {
		config.Burst = DefaultGuardBurst
	}
	if config.Refill == 0 {
		config.Refill = DefaultGuardRefill
	}
	if config.Sources == 0 {
		config.Sources = DefaultGuardSources
	}
	return &Guard{config: config, fullAt: make(map[string]time.Time)}
}

// Wrong records that source sent a wrong key at now. It returns zero if the source
// is within its limit, and otherwise how long the source should wait before its
// next request.
func (g *Guard) Wrong(source string, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The zero time, for an unknown source, means a full token bucket.
	fullAt, ok := g.fullAt[source]
	if !ok && len(g.fullAt) >= g.config.Sources {
		g.evict(now)
	}
	if fullAt.Before(now) {
		fullAt = now
	}
	refillTime := time.Duration(g.config.Burst) * g.config.Refill
	fullAt = fullAt.Add(g.config.Refill)
	if wait := fullAt.Sub(now.Add(refillTime)); wait > 0 {
		g.fullAt[source] = now.Add(refillTime)
		return wait
	}
	g.fullAt[source] = fullAt
	return 0
}

// Len returns the number of sources remembered.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.fullAt)
}

// evict removes the sources whose token buckets are full. If there are still too
// many sources, it removes the one whose bucket is full next. The caller holds mu.
func (g *Guard) evict(now time.Time) {
	var firstFull string
	var firstFullAt time.Time
	for source, fullAt := range g.fullAt {
		if !fullAt.After(now) {
			delete(g.fullAt, source)
			continue
		}
		if firstFull == "" || fullAt.Before(firstFullAt) {
			firstFull, firstFullAt = source, fullAt
		}
	}
	if len(g.fullAt) >= g.config.Sources {
		delete(g.fullAt, firstFull)
	}
}

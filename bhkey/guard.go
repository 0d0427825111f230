package bhkey

import (
	"sync"
	"time"
)

// Defaults of a Guard.
const (
	DefaultGuardBurst   = 20
	DefaultGuardRefill  = 3 * time.Second
	DefaultGuardSources = 4096
)

// GuardConfig configures a Guard. Zero fields mean the defaults.
type GuardConfig struct {
	// Burst is the number of wrong keys that a source may send at once.
	Burst int
	// Refill is the time after which a source may send one more.
	Refill time.Duration
	// Sources bounds the number of sources remembered.
	Sources int
}

// Guard limits the wrong keys that one source may try. A right key is never
// limited, so that callers who share an address don't suffer for each other.
type Guard struct {
	config GuardConfig

	mu      sync.Mutex
	sources map[string]time.Time
}

// NewGuard returns a guard that has seen nothing.
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
	return &Guard{config: config, sources: make(map[string]time.Time)}
}

// Wrong records that source sent a wrong key at now. It returns zero while the
// source is within its limit, else how long the source should wait.
func (g *Guard) Wrong(source string, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	// full is when the source's allowance is whole again.
	full, ok := g.sources[source]
	if !ok && len(g.sources) >= g.config.Sources {
		g.evict(now)
	}
	if full.Before(now) {
		full = now
	}
	window := time.Duration(g.config.Burst) * g.config.Refill
	full = full.Add(g.config.Refill)
	if over := full.Sub(now.Add(window)); over > 0 {
		g.sources[source] = now.Add(window)
		return over
	}
	g.sources[source] = full
	return 0
}

// Len returns the number of sources remembered.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sources)
}

// evict forgets the sources whose allowance is whole, else the one nearest to it.
func (g *Guard) evict(now time.Time) {
	var nearest string
	var earliest time.Time
	for source, full := range g.sources {
		if !full.After(now) {
			delete(g.sources, source)
			continue
		}
		if nearest == "" || full.Before(earliest) {
			nearest, earliest = source, full
		}
	}
	if len(g.sources) >= g.config.Sources {
		delete(g.sources, nearest)
	}
}

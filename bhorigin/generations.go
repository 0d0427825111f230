package bhorigin

import "time"

// generations is a map whose entries are dropped between one and two lifetimes after
// they were put, or earlier if there are too many. It needs no work for each entry.
type generations[K comparable, V any] struct {
	lifetime time.Duration
	// limit is the number of entries of one generation.
	limit        int
	newer, older map[K]V
	// began is when the newer generation began.
	began time.Duration
}

func newGenerations[K comparable, V any](lifetime time.Duration, limit int) generations[K, V] {
	return generations[K, V]{lifetime: lifetime, limit: limit, newer: make(map[K]V)}
}

// put adds or replaces an entry.
func (g *generations[K, V]) put(now time.Duration, key K, value V) {
	g.rotate(now)
	g.newer[key] = value
}

// get returns an entry and whether there is one.
func (g *generations[K, V]) get(now time.Duration, key K) (V, bool) {
	g.rotate(now)
	if value, ok := g.newer[key]; ok {
		return value, true
	}
	value, ok := g.older[key]
	return value, ok
}

// rotate begins a new generation if the newer one is full or its lifetime is over.
func (g *generations[K, V]) rotate(now time.Duration) {
	if age := now - g.began; age >= g.lifetime || len(g.newer) >= g.limit {
		g.older = g.newer
		if age >= 2*g.lifetime {
			g.older = nil
		}
		g.newer, g.began = make(map[K]V), now
	}
}

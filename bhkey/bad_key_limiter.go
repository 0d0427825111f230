package bhkey

import (
	"sync"
	"time"
)

// Defaults of the fields of BadKeyLimiterConfig.
const (
	DefaultBadKeyBurst          = 20
	DefaultBadKeyRefillInterval = 3 * time.Second
	DefaultMaxBadKeySources     = 4096
)

// BadKeyLimiterConfig configures a BadKeyLimiter. A zero field means its default.
type BadKeyLimiterConfig struct {
	// Burst is the number of wrong keys that a source may send at once: the
	// capacity of its token bucket.
	Burst int
	// RefillInterval is the interval in which a source regains one token.
	RefillInterval time.Duration
	// MaxSources is the largest number of sources whose token buckets are kept.
	MaxSources int
}

// BadKeyLimiter limits the rate of wrong keys per source, such as a client's IP
// address, with a token bucket for each source. Requests with a valid key aren't
// counted or limited, so that a caller isn't refused for the wrong keys of others
// behind the same address. It is safe for concurrent use.
type BadKeyLimiter struct {
	config BadKeyLimiterConfig

	mu sync.Mutex
	// fullAt holds when the token bucket of each source is full again.
	fullAt map[string]time.Time
}

// NewBadKeyLimiter returns a limiter that remembers no source.
func NewBadKeyLimiter(config BadKeyLimiterConfig) *BadKeyLimiter {
	if config.Burst == 0 {
		config.Burst = DefaultBadKeyBurst
	}
	if config.RefillInterval == 0 {
		config.RefillInterval = DefaultBadKeyRefillInterval
	}
	if config.MaxSources == 0 {
		config.MaxSources = DefaultMaxBadKeySources
	}
	return &BadKeyLimiter{config: config, fullAt: make(map[string]time.Time)}
}

// RecordBadKey records that source sent a wrong key at now. It returns zero if the
// source is within its limit, and otherwise how long the source should wait before
// its next request.
func (l *BadKeyLimiter) RecordBadKey(source string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The zero time, for an unknown source, means a full token bucket.
	fullAt, ok := l.fullAt[source]
	if !ok && len(l.fullAt) >= l.config.MaxSources {
		l.evict(now)
	}
	if fullAt.Before(now) {
		fullAt = now
	}
	refillTime := time.Duration(l.config.Burst) * l.config.RefillInterval
	fullAt = fullAt.Add(l.config.RefillInterval)
	if wait := fullAt.Sub(now.Add(refillTime)); wait > 0 {
		l.fullAt[source] = now.Add(refillTime)
		return wait
	}
	l.fullAt[source] = fullAt
	return 0
}

// Len returns the number of sources remembered.
func (l *BadKeyLimiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fullAt)
}

// evict removes the sources whose token buckets are full. If there are still too
// many sources, it removes the one whose bucket is full next. The caller holds mu.
func (l *BadKeyLimiter) evict(now time.Time) {
	var firstFull string
	var firstFullAt time.Time
	for source, fullAt := range l.fullAt {
		if !fullAt.After(now) {
			delete(l.fullAt, source)
			continue
		}
		if firstFull == "" || fullAt.Before(firstFullAt) {
			firstFull, firstFullAt = source, fullAt
		}
	}
	if len(l.fullAt) >= l.config.MaxSources {
		delete(l.fullAt, firstFull)
	}
}

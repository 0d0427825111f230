package bhstand

import "time"

// lagged holds a value that readers see only after a lag. It isn't safe for
// concurrent use.
type lagged[T any] struct {
	lag     time.Duration
	entries []dated[T]
}

type dated[T any] struct {
	at    time.Time
	value T
}

func newLagged[T any](lag time.Duration, first T) *lagged[T] {
	return &lagged[T]{lag: lag, entries: []dated[T]{{value: first}}}
}

// Set changes the value.
func (l *lagged[T]) Set(value T) {
	l.prune()
	l.entries = append(l.entries, dated[T]{at: time.Now(), value: value})
}

// Current returns the value without the lag.
func (l *lagged[T]) Current() T { return l.entries[len(l.entries)-1].value }

// Get returns the newest value that is at least as old as the lag.
func (l *lagged[T]) Get() T {
	l.prune()
	return l.entries[0].value
}

func (l *lagged[T]) prune() {
	limit := time.Now().Add(-l.lag)
	for len(l.entries) > 1 && !l.entries[1].at.After(limit) {
		l.entries = l.entries[1:]
	}
}

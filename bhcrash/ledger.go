// Package bhcrash finds requests whose content crashes upstreams and
// quarantines them in the whole fleet. Sidecars count crashes by request digest
// and report them; entries give each suspect a trial run on an upstream without
// other suspects, and refuse the digest if an upstream crashes again. Gateways and
// runners, which have no sidecar's report, record which upstreams ended under a
// digest; Decide decides for them. Package bhevidence shares their ledgers.
package bhcrash

import (
	"maps"
	"sync"
	"time"
)

// Limits of quarantine.
const (
	// Window is how long a crash counts, and how long a quarantine lasts after
	// the last crash.
	Window = 10 * time.Minute
	// aloneCrashThreshold is the number of crashes that quarantine a digest if
	// it ran without other suspects in one of them. Otherwise this number makes
	// the digest a suspect.
	aloneCrashThreshold = 2
	// crashThreshold is the number of crashes that quarantine any digest.
	crashThreshold = 3
	// maxDigests bounds the number of digests in a ledger.
	maxDigests = 1 << 14
	// maxEnds bounds the number of sources whose first crash a ledger keeps.
	maxEnds = 1 << 12
)

// Status says how a request with a given digest may run.
type Status string

// A clear request runs without restriction. A suspect runs as a trial, on an
// upstream without other suspects. A quarantined request is refused.
const (
	Clear       Status = "clear"
	Suspect     Status = "suspect"
	Quarantined Status = "quarantined"
)

// Source identifies one incarnation (process start) of a sidecar that reports
// crashes or, for gateways and runners, of an upstream that ended. The zero Source is
// used for evidence that clears a digest.
type Source struct {
	// Host is the sidecar's host or the upstream's ID.
	Host        string
	Incarnation uint64
}

// Evidence sums up the crashes of one digest that one source has seen. Evidence
// without crashes clears the digest.
type Evidence struct {
	// Crashes is the number of upstream crashes during which the request ran.
	Crashes int
	// Alone reports whether, in at least one of the crashes, no other suspect
	// ran on the upstream.
	Alone bool
	// Early reports whether, in at least one of the crashes, the answer had not
	// begun or few requests ran on the upstream. A single crash that isn't
	// early doesn't make a suspect.
	Early bool
	// Age is the time since the last of the crashes, or since the digest was
	// cleared.
	Age time.Duration
}

// Ledger counts upstream crashes by request digest and source. It is safe for
// concurrent use.
type Ledger struct {
	mutex     sync.Mutex
	histories map[string]*crashHistory
	// ends holds when each source first crashed under any digest.
	ends map[Source]time.Time
}

// crashHistory holds the crashes of one digest.
type crashHistory struct {
	bySource map[Source]sourceCrashes
	// clearedAt is the latest time at which the digest was cleared. Crashes up
	// to that time don't count. clearedSources is the largest number of sources whose
	// crashes were cleared at once.
	clearedAt      time.Time
	clearedSources int
	updatedAt      time.Time
}

// sourceCrashes sums up the crashes of one digest that one source has seen. Its
// fields mean the same as those of Evidence.
type sourceCrashes struct {
	crashes int
	alone   bool
	early   bool
	// lastAt is the time of the last of the crashes.
	lastAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{histories: make(map[string]*crashHistory), ends: make(map[Source]time.Time)}
}

// RecordCrash records a crash that this process observed while a request with
// the digest ran. It returns the evidence of all crashes of the digest that
// self has recorded and that still count; Age is zero. See Evidence for alone
// and early.
func (l *Ledger) RecordCrash(self Source, digest string, alone, early bool) Evidence {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	history := l.openHistory(now, digest)
	previous := history.bySource[self]
	if now.Sub(previous.lastAt) > Window {
		previous = sourceCrashes{}
	}
	updated := sourceCrashes{crashes: previous.crashes + 1, alone: previous.alone || alone, early: previous.early || early, lastAt: now}
	history.bySource[self] = updated
	return Evidence{Crashes: updated.crashes, Alone: updated.alone, Early: updated.early}
}

// Merge merges the evidence of a source into the ledger. The same evidence may
// arrive repeatedly and in any order. Evidence without crashes clears the
// digest: crashes of all sources up to that time no longer count.
func (l *Ledger) Merge(source Source, digest string, evidence Evidence) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	lastAt := now.Add(-evidence.Age)
	if evidence.Age > Window {
		return
	}
	history := l.openHistory(now, digest)
	if evidence.Crashes == 0 {
		history.clear(lastAt)
		return
	}
	if !lastAt.After(history.clearedAt) {
		return
	}
	previous := history.bySource[source]
	if evidence.Crashes < previous.crashes {
		return
	}
	if evidence.Crashes == previous.crashes && previous.lastAt.Before(lastAt) {
		lastAt = previous.lastAt // the same crash, without the delay of this report
	}
	history.bySource[source] = sourceCrashes{
		crashes: evidence.Crashes,
		alone:   previous.alone || evidence.Alone,
		early:   previous.early || evidence.Early,
		lastAt:  lastAt,
	}
	history.limitSources()
	l.recordEnd(now, source, lastAt)
}

// Clear discards the crashes of a digest whose trial ended without a crash.
func (l *Ledger) Clear(digest string) {
	l.Merge(Source{}, digest, Evidence{})
}

// StatusOf returns how a request with the digest may run. If it is quarantined,
// the duration is the time left until the quarantine ends; otherwise it is
// zero.
func (l *Ledger) StatusOf(digest string) (Status, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	history := l.histories[digest]
	if history == nil {
		return Clear, 0
	}
	return history.status(time.Now())
}

// VisitRecent calls visit for each digest with the evidence of the source that
// still counts, so that it can be sent to a peer that has just connected. The
// ledger is locked during the calls.
func (l *Ledger) VisitRecent(source Source, visit func(digest string, evidence Evidence)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	for digest, history := range l.histories {
		recorded, ok := history.bySource[source]
		if ok && now.Sub(recorded.lastAt) <= Window {
			visit(digest, Evidence{Crashes: recorded.crashes, Alone: recorded.alone, Early: recorded.early, Age: now.Sub(recorded.lastAt)})
		}
	}
}

// recordEnd keeps the time of the source's first crash. It drops ends older than Window
// if there are too many, or else this one.
func (l *Ledger) recordEnd(now time.Time, source Source, at time.Time) {
	if known, ok := l.ends[source]; ok && !at.Before(known) {
		return
	}
	if len(l.ends) >= maxEnds {
		maps.DeleteFunc(l.ends, func(_ Source, end time.Time) bool { return now.Sub(end) > Window })
	}
	if len(l.ends) < maxEnds {
		l.ends[source] = at
	}
}

// openHistory returns the history of the digest and marks it as updated. It
// creates the history if there is none.
func (l *Ledger) openHistory(now time.Time, digest string) *crashHistory {
	history := l.histories[digest]
	if history == nil {
		if len(l.histories) >= maxDigests {
			l.prune(now)
		}
		history = &crashHistory{bySource: make(map[Source]sourceCrashes)}
		l.histories[digest] = history
	}
	history.updatedAt = now
	return history
}

// prune removes the digests without an update for longer than Window, whose
// crashes no longer count. If that frees no room, it removes the digest that
// was updated least recently.
func (l *Ledger) prune(now time.Time) {
	oldest := ""
	for digest, history := range l.histories {
		if now.Sub(history.updatedAt) > Window {
			delete(l.histories, digest)
			continue
		}
		if oldest == "" || history.updatedAt.Before(l.histories[oldest].updatedAt) {
			oldest = digest
		}
	}
	if len(l.histories) >= maxDigests {
		delete(l.histories, oldest)
	}
}

// clear discards the crashes up to the given time.
func (h *crashHistory) clear(at time.Time) {
	if at.After(h.clearedAt) {
		h.clearedAt = at
	}
	sources := len(h.bySource)
	for source, recorded := range h.bySource {
		if !recorded.lastAt.After(at) {
			delete(h.bySource, source)
		}
	}
	h.clearedSources = max(h.clearedSources, sources-len(h.bySource))
}

// status returns the results of Ledger.StatusOf for the digest.
func (h *crashHistory) status(now time.Time) (Status, time.Duration) {
	crashes, alone, early := 0, false, false
	var lastAt time.Time
	for _, recorded := range h.bySource {
		if now.Sub(recorded.lastAt) > Window {
			continue
		}
		crashes += recorded.crashes
		alone = alone || recorded.alone
		early = early || recorded.early
		if recorded.lastAt.After(lastAt) {
			lastAt = recorded.lastAt
		}
	}
	switch {
	case crashes >= crashThreshold, crashes >= aloneCrashThreshold && alone:
		return Quarantined, lastAt.Add(Window).Sub(now)
	case crashes >= aloneCrashThreshold, early:
		return Suspect, 0
	}
	return Clear, 0
}

// Package bhcrash finds the requests that crash their upstreams. Sidecars
// report what ran on an upstream when it died; entries let a suspect run once
// more, apart from other suspects, and refuse it fleet-wide if it crashes an upstream again.
package bhcrash

import (
	"sync"
	"time"
)

// Limits of quarantine.
const (
	// Window is how long a crash counts.
	Window = 10 * time.Minute
	// provenCrashes is the number of crashes that condemn a request that ran
	// alone in one of them.
	provenCrashes = 2
	// sharedCrashes is the number of crashes that condemn any request.
	sharedCrashes = 3
	// maxDigests bounds the digests in a ledger.
	maxDigests = 1 << 14
)

// Judgement says how a request may run.
type Judgement string

// Judgements. A suspect runs as a trial, on an upstream without other suspects.
const (
	Clear       Judgement = "clear"
	Suspect     Judgement = "suspect"
	Quarantined Judgement = "quarantined"
)

// Source is one start of a sidecar that reports crashes.
type Source struct {
	Host        string
	Incarnation uint64
}

// Evidence is what one source has seen of one digest.
type Evidence struct {
	// Crashes is the number of upstream crashes while the request ran.
	Crashes int
	// Alone says whether no other suspect ran in one of them.
	Alone bool
	// Early says whether the answer hadn't begun, or few requests ran, in one of
	// them. A late crash alone makes no suspect.
	Early bool
	// Age is the time since the last of them.
	Age time.Duration
}

// Ledger counts the crashes of each request's content by its digest. It is safe
// for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	digests map[string]*file
}

// file is what is known of one digest.
type file struct {
	sources map[Source]seen
	cleared time.Time
	touched time.Time
}

type seen struct {
	crashes int
	alone   bool
	early   bool
	last    time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{digests: make(map[string]*file)}
}

// Crash records a crash that this process saw itself and returns all that it
// has seen of the digest.
func (l *Ledger) Crash(self Source, digest string, alone, early bool) Evidence {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	f := l.file(now, digest)
	before := f.sources[self]
	if now.Sub(before.last) > Window {
		before = seen{}
	}
	after := seen{crashes: before.crashes + 1, alone: before.alone || alone, early: before.early || early, last: now}
	f.sources[self] = after
	return Evidence{Crashes: after.crashes, Alone: after.alone, Early: after.early}
}

// Take records the evidence of a source. The same evidence may come many times
// and in any order. Evidence without crashes clears the digest.
func (l *Ledger) Take(source Source, digest string, evidence Evidence) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	last := now.Add(-evidence.Age)
	if evidence.Age > Window {
		return
	}
	f := l.file(now, digest)
	if evidence.Crashes == 0 {
		f.clear(last)
		return
	}
	if !last.After(f.cleared) {
		return
	}
	before := f.sources[source]
	if evidence.Crashes < before.crashes {
		return
	}
	if evidence.Crashes == before.crashes && before.last.After(last) {
		last = before.last
	}
	f.sources[source] = seen{
		crashes: evidence.Crashes,
		alone:   before.alone || evidence.Alone,
		early:   before.early || evidence.Early,
		last:    last,
	}
}

// Clear forgets the crashes of a digest that ran alone without one.
func (l *Ledger) Clear(digest string) {
	l.Take(Source{}, digest, Evidence{})
}

// Judge returns how a request with the digest may run, and for a quarantined
// one how long it stays so.
func (l *Ledger) Judge(digest string) (Judgement, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	f := l.digests[digest]
	if f == nil {
		return Clear, 0
	}
	return f.judge(time.Now())
}

// Recent calls report for each digest with what the source saw of it, so that
// a peer that has just come learns it.
func (l *Ledger) Recent(source Source, report func(digest string, evidence Evidence)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	for digest, f := range l.digests {
		s, ok := f.sources[source]
		if ok && now.Sub(s.last) <= Window {
			report(digest, Evidence{Crashes: s.crashes, Alone: s.alone, Early: s.early, Age: now.Sub(s.last)})
		}
	}
}

func (l *Ledger) file(now time.Time, digest string) *file {
	f := l.digests[digest]
	if f == nil {
		if len(l.digests) >= maxDigests {
			l.prune(now)
		}
		f = &file{sources: make(map[Source]seen)}
		l.digests[digest] = f
	}
	f.touched = now
	return f
}

// prune forgets digests whose crashes no longer count, and the oldest one if
// there are none.
func (l *Ledger) prune(now time.Time) {
	oldest := ""
	for digest, f := range l.digests {
		if now.Sub(f.touched) > Window {
			delete(l.digests, digest)
			continue
		}
		if oldest == "" || f.touched.Before(l.digests[oldest].touched) {
			oldest = digest
		}
	}
	if len(l.digests) >= maxDigests {
		delete(l.digests, oldest)
	}
}

func (f *file) clear(at time.Time) {
	if at.After(f.cleared) {
		f.cleared = at
	}
	for source, s := range f.sources {
		if !s.last.After(at) {
			delete(f.sources, source)
		}
	}
}

func (f *file) judge(now time.Time) (Judgement, time.Duration) {
	crashes, alone, early := 0, false, false
	var last time.Time
	for _, s := range f.sources {
		if now.Sub(s.last) > Window {
			continue
		}
		crashes += s.crashes
		alone = alone || s.alone
		early = early || s.early
		if s.last.After(last) {
			last = s.last
		}
	}
	switch {
	case crashes >= sharedCrashes, crashes >= provenCrashes && alone:
		return Quarantined, last.Add(Window).Sub(now)
	case crashes >= provenCrashes, early:
		return Suspect, 0
	}
	return Clear, 0
}

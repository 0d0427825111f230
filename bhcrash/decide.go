package bhcrash

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of Decide. Gateways and runners see only that an upstream ended while a
// request ran there, and each crash ends all requests of its upstream, so it takes
// more to suspect one of them than a sidecar's report.
const (
	// contentThreshold is the number of upstreams that must have ended under a content
	// before it counts as crashing, partThreshold that for a part. Many requests share
	// a part, so that more upstreams end beside it.
	contentThreshold = 3
	partThreshold    = 5
	// surelyMore is how many more make it count as crashing whatever else ran there: in
	// a burst others may seem likelier for a while.
	surelyMore = 2
	// maxSources bounds the sources that a ledger keeps of one digest. The oldest one
	// makes room.
	maxSources = 32
	// aloneWait is how long the trial of a part waits for a request in which no other
	// part is accused, so that the outcome tells which of them it was.
	aloneWait = time.Second
	// soonTime is the time within which something that crashes upstreams ends one.
	soonTime = time.Second
	// freshWait is how much longer the trial of a part waits for a request under whose
	// content and prompt no upstream ended, which can only crash one by its parts.
	freshWait = 2 * time.Second
)

// trialDelays are the times from the last crash under a crashing digest until its next
// trial, by the number of trials that have ended in a crash. After the last one the
// digest is refused for Window. One that only died in a burst of crashes needs one trial
// after the burst.
var trialDelays = [...]time.Duration{time.Second, 3 * time.Second, 30 * time.Second}

const (
	// calmTime is the time without crashes under other digests for which a trial
	// waits, but for maxCalmWait at most: in a burst of crashes it proves nothing.
	calmTime    = 2 * time.Second
	maxCalmWait = 5 * time.Second
	// burstUpstreams is the number of other upstreams that must have ended within
	// burstTime of a trial's for the trial to prove nothing.
	burstUpstreams = 3
	burstTime      = 500 * time.Millisecond
)

// threshold returns the number of upstreams that must have ended under the digest.
func threshold(digest string) int {
	if isPart(digest) {
		return partThreshold
	}
	return contentThreshold
}

// Decision says how a request may run.
type Decision struct {
	Status Status
	// Suspects are the digests that a trial tests. The first one names the trial.
	Suspects []string
	// Together are the parts that may cause a crash of the trial. If there are several,
	// it doesn't tell which of them did.
	Together []string
	// RetryAfter is the time until a quarantined request may run as a trial, or until
	// the quarantine ends if there is no further trial.
	RetryAfter time.Duration
}

// TestOf returns how a run by the decision tests the digest. If a prompt or content is the
// first suspect, it tests no part: these are the likelier cause of a crash.
func (d Decision) TestOf(digest string) Test {
	switch {
	case len(d.Suspects) > 0 && isPart(digest) && !isPart(d.Suspects[0]):
		return NotTested
	case len(d.Together) > 1 && slices.Contains(d.Together, digest):
		return TestedTogether
	case slices.Contains(d.Suspects, digest):
		return TestedAlone
	}
	return NotTested
}

// TestOfRun is TestOf for a run that ended with its upstream after the time. What crashes
// upstreams does so soon after it was sent, so that a later end tells little of contents and prompts.
func (d Decision) TestOfRun(digest string, ran time.Duration) Test {
	test := d.TestOf(digest)
	if test == TestedAlone && !isPart(digest) && ran > soonTime {
		return TestedTogether
	}
	return test
}

// Test says whether a run that ended in a crash was the trial of a digest.
type Test string

// A digest is tested alone, or together with others that may have caused the crash.
const (
	NotTested      Test = ""
	TestedAlone    Test = "alone"
	TestedTogether Test = "together"
)

// RecordLoss records that an upstream ended while it ran a request with the digest.
// The source names one start of the upstream, so that the same crash counts once,
// whoever reports it.
func (l *Ledger) RecordLoss(upstream Source, digest string, test Test) {
	l.Merge(upstream, digest, LossEvidence(test, 0))
}

// LossEvidence returns the evidence of a loss of that age. Alone and Early tell the test,
// since gateways and runners have no other use for them.
func LossEvidence(test Test, age time.Duration) Evidence {
	return Evidence{Crashes: 1, Alone: test == TestedAlone, Early: test == TestedTogether, Age: age}
}

// Test returns the test that evidence of a loss tells.
func (e Evidence) Test() Test {
	switch {
	case e.Alone:
		return TestedAlone
	case e.Early:
		return TestedTogether
	}
	return NotTested
}

// Decide returns how a request may run by the upstreams that ended under its content and
// under its prompt and the parts of it. A suspect may run as a trial, one at a time in the
// fleet: at once if something that is more likely to have caused all its crashes ran in
// them, and no trial ended in one; otherwise some time after the last crash.
func (l *Ledger) Decide(traits Traits) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	culprits := l.culprits(now)
	accused := l.accused(traits, culprits, now)
	if len(accused) == 0 {
		return Decision{Status: Clear}
	}
	decision := Decision{Status: Clear, Together: l.partsWithCrashes(traits, now)}
	var due time.Time
	for _, digest := range accused {
		live := l.histories[digest].liveSources(now)
		trials := l.tallyTrials(digest, live, decision.Together, now)
		decision.Status = Suspect
		decision.Suspects = append(decision.Suspects, digest)
		if trials.count == 0 && !culprits[digest] && len(live) < threshold(digest)+surelyMore {
			continue
		}
		due = later(due, l.nextTrial(digest, live, trials, traits))
	}
	if decision.Status == Clear {
		return decision
	}
	if len(decision.Together) > 1 {
		due = due.Add(aloneWait)
	}
	if isPart(accused[0]) && (l.endedUnder(traits.Content, now) || l.endedUnder(traits.Prompt, now)) {
		due = due.Add(freshWait)
	}
	if wait := due.Sub(now); wait > 0 {
		return Decision{Status: Quarantined, RetryAfter: wait}
	}
	return decision
}

// accused returns the digests of the traits under which enough upstreams ended: the
// culprits first, and among them prompt, content and parts in turn, the parts with the most
// first. The first one names the trial, and requests with the same crashing prompt have
// other parts and contents beside it.
func (l *Ledger) accused(traits Traits, culprits map[string]bool, now time.Time) []string {
	var digests []string
	sources := make(map[string]int)
	for _, digest := range traits.All() {
		history := l.histories[digest]
		if history == nil || len(history.bySource) < traits.threshold(digest) {
			continue
		}
		if count := len(history.liveSources(now)); count >= traits.threshold(digest) {
			sources[digest] = count
			digests = append(digests, digest)
		}
	}
	rank := func(digest string) int {
		if culprits[digest] {
			return kindRanks[kindOf(digest)]
		}
		return len(kindRanks) + kindRanks[kindOf(digest)]
	}
	slices.SortStableFunc(digests, func(a, b string) int { return cmp.Or(rank(a)-rank(b), sources[b]-sources[a]) })
	return digests
}

// endedUnder reports whether any upstream ended under the digest since it last ran whole.
func (l *Ledger) endedUnder(digest string, now time.Time) bool {
	history := l.histories[digest]
	return history != nil && len(history.liveSources(now)) > 0
}

// partsWithCrashes returns the parts of the traits under which any upstream ended since
// they last ran whole. A crashing part may have fewer ends than one beside it.
func (l *Ledger) partsWithCrashes(traits Traits, now time.Time) []string {
	var parts []string
	for _, part := range traits.Parts {
		if l.endedUnder(part, now) {
			parts = append(parts, part)
		}
	}
	return parts
}

// DecideAlone is Decide for a single digest, whatever else a request has. It is never
// later than for a request with the digest that may be given up then.
func (l *Ledger) DecideAlone(digest string, until time.Time) Decision {
	if isPart(digest) {
		return l.Decide(Traits{Parts: []string{digest}, Until: until})
	}
	return l.Decide(Traits{Prompt: digest, Until: until})
}

// trialTally sums up the trials of a digest.
type trialTally struct {
	// count is the number of trials that ended in one, excused that of those which
	// ended together with the trial of a likelier content.
	count, excused int
	lastAt         time.Time
}

// nextTrial returns when the next trial of the digest is due, or when it is no longer
// refused if there is none. After an excused trial the next one comes no later than
// after the one before. The first trial of an item comes as soon as that of a request, so
// that what only ran beside a crashing item is cleared.
func (l *Ledger) nextTrial(digest string, live map[Source]sourceCrashes, trials trialTally, traits Traits) time.Time {
	if trials.count >= len(trialDelays) {
		return trials.lastAt.Add(Window)
	}
	count := trials.count - trials.excused
	if count > 0 && !traits.Until.IsZero() {
		return trials.lastAt.Add(l.itemRest(digest, live, trials, traits))
	}
	due := trials.lastAt.Add(spread(trialDelays[count], digest))
	if calm := l.lastCrashBeside(live).Add(spread(calmTime, digest)); calm.After(due) {
		return earlier(calm, due.Add(maxCalmWait))
	}
	return due
}

// tallyTrials sums up the trials of the digest. One that ended in a burst of crashes
// doesn't count. One that tested several parts counts for a request that has two of them,
// and for others if no other part is still accused of it.
func (l *Ledger) tallyTrials(digest string, sources map[Source]sourceCrashes, together []string, now time.Time) trialTally {
	var trials trialTally
	for source, recorded := range sources {
		trials.lastAt = later(trials.lastAt, recorded.lastAt)
		tested := recorded.alone || recorded.early && (l.testedTogether(digest, source, together) || !l.otherPartTested(digest, source, now))
		if !tested || l.inBurst(recorded.lastAt, sources) {
			continue
		}
		trials.count++
		if !isPart(digest) && l.likelierTrial(digest, source, len(sources), now) {
			trials.excused++
		}
	}
	return trials
}

// testedTogether reports whether the source ended a trial of the digest and of another
// one of the parts.
func (l *Ledger) testedTogether(digest string, source Source, parts []string) bool {
	for _, part := range parts {
		if part != digest && l.histories[part].bySource[source].early {
			return true
		}
	}
	return false
}

// otherPartTested reports whether the source ended a trial of another part too.
func (l *Ledger) otherPartTested(digest string, source Source, now time.Time) bool {
	for other, history := range l.histories {
		if recorded, ok := history.bySource[source]; ok && other != digest && isPart(other) && recorded.early && now.Sub(recorded.lastAt) <= Window {
			return true
		}
	}
	return false
}

// inBurst reports whether sources that aren't among the given ones crashed around the
// time.
func (l *Ledger) inBurst(at time.Time, sources map[Source]sourceCrashes) bool {
	return l.endedBeside(at, sources) >= burstUpstreams
}

// endedBeside returns the number of sources that crashed around the time and aren't among the
// given ones.
func (l *Ledger) endedBeside(at time.Time, sources map[Source]sourceCrashes) int {
	count := 0
	for source, end := range l.ends {
		if _, ok := sources[source]; !ok && end.Sub(at).Abs() <= burstTime {
			count++
		}
	}
	return count
}

// likelierTrial reports whether the source also ended the trial of another digest, under
// which more than the number of sources ended.
func (l *Ledger) likelierTrial(digest string, source Source, sources int, now time.Time) bool {
	for other, history := range l.histories {
		if other != digest && len(history.bySource) > sources && history.bySource[source].alone && len(history.liveSources(now)) > sources {
			return true
		}
	}
	return false
}

// lastCrashBeside returns when the last source crashed that isn't among the given ones.
func (l *Ledger) lastCrashBeside(sources map[Source]sourceCrashes) time.Time {
	var lastAt time.Time
	for source, end := range l.ends {
		if _, ok := sources[source]; !ok && end.After(lastAt) {
			lastAt = end
		}
	}
	return lastAt
}

// spread changes the delay by up to a quarter, by the digest, so that the trials of
// contents that ran in the same crash don't end in the same crash again.
func spread(delay time.Duration, digest string) time.Duration {
	const parts = 256
	return delay*3/4 + delay*time.Duration(xxhash.Sum64String(digest)%parts)/(2*parts)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// EndedAt returns when the source ended under any digest, and whether it did.
func (l *Ledger) EndedAt(source Source) (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	endedAt, ended := l.ends[source]
	return endedAt, ended
}

// Accused reports whether crashes of the digest are recorded, so that a run without
// a crash has to be shared.
func (l *Ledger) Accused(digest string) bool { return l.CountEnds(digest) > 0 }

// CountEnds returns the number of sources that crashed under the digest and still count.
func (l *Ledger) CountEnds(digest string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	history := l.histories[digest]
	if history == nil {
		return 0
	}
	return len(history.liveSources(time.Now()))
}

// VisitShared calls visit for all evidence that still counts of each digest with at
// least minSources sources, and for the last clearing of each digest that had as many.
// The ledger is locked during the calls.
func (l *Ledger) VisitShared(minSources int, visit func(source Source, digest string, evidence Evidence)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	for digest, history := range l.histories {
		live := history.liveSources(now)
		if history.clearedSources >= minSources && now.Sub(history.clearedAt) <= Window {
			visit(Source{}, digest, Evidence{Age: now.Sub(history.clearedAt)})
		}
		if len(live) < minSources {
			continue
		}
		for source, recorded := range live {
			visit(source, digest, Evidence{Crashes: recorded.crashes, Alone: recorded.alone, Early: recorded.early, Age: now.Sub(recorded.lastAt)})
		}
	}
}

// liveSources returns the sources whose crashes still count.
func (h *crashHistory) liveSources(now time.Time) map[Source]sourceCrashes {
	live := make(map[Source]sourceCrashes, len(h.bySource))
	for source, recorded := range h.bySource {
		if now.Sub(recorded.lastAt) <= Window {
			live[source] = recorded
		}
	}
	return live
}

// limitSources drops the source with the oldest crash if there are too many.
func (h *crashHistory) limitSources() {
	if len(h.bySource) <= maxSources {
		return
	}
	var oldest Source
	for source, recorded := range h.bySource {
		if last, ok := h.bySource[oldest]; !ok || recorded.lastAt.Before(last.lastAt) {
			oldest = source
		}
	}
	delete(h.bySource, oldest)
}

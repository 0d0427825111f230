package bhcrash

import "time"

// culprits returns the crashing digests: again and again the one under which most
// upstreams ended, whose crashes then explain those of the digests that ran beside it.
// A prompt goes before the contents that have it, a content before the parts of its prompt. Parts under which the same upstreams
// ended can't be told apart, and are all returned.
func (l *Ledger) culprits(now time.Time) map[string]bool {
	open := l.suspicious(now)
	found := make(map[string]bool)
	for {
		culprit := likeliest(open)
		explained := open[culprit]
		if len(explained) < contentThreshold {
			return found
		}
		for digest, sources := range open {
			if digest == culprit || isPart(culprit) && isPart(digest) && sameSources(explained, sources) {
				found[digest] = true
				delete(open, digest)
			}
		}
		for _, sources := range open {
			for source := range explained {
				delete(sources, source)
			}
		}
	}
}

// suspicious returns the sources of all digests that have enough of them.
func (l *Ledger) suspicious(now time.Time) map[string]map[Source]sourceCrashes {
	open := make(map[string]map[Source]sourceCrashes)
	for digest, history := range l.histories {
		if len(history.bySource) < threshold(digest) {
			continue
		}
		if live := history.liveSources(now); len(live) >= threshold(digest) {
			open[digest] = live
		}
	}
	return open
}

// likeliest returns the digest with the most sources, or "" if there is none.
func likeliest(open map[string]map[Source]sourceCrashes) string {
	best := ""
	for digest, sources := range open {
		if more := len(sources) - len(open[best]); more > 0 || more == 0 && goesBefore(digest, best) {
			best = digest
		}
	}
	return best
}

// kindRanks orders the kinds of digests.
var kindRanks = map[digestKind]int{kindPrompt: 0, kindContent: 1, kindPart: 2}

// goesBefore orders digests with as many sources.
func goesBefore(a, b string) bool {
	if rank := kindRanks[kindOf(a)] - kindRanks[kindOf(b)]; rank != 0 {
		return rank < 0
	}
	return a < b
}

// sameSources reports whether both have the same sources.
func sameSources(a, b map[Source]sourceCrashes) bool {
	if len(a) != len(b) {
		return false
	}
	for source := range a {
		if _, ok := b[source]; !ok {
			return false
		}
	}
	return true
}

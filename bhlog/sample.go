package bhlog

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// sampleThreshold is how many lines of one group are logged in each
	// samplePeriod; beyond it, one line in sampleRate is. Together they keep a
	// process that serves a few thousand requests per second below 1 MB of log
	// per second.
	sampleThreshold = 200
	sampleRate      = 20
	// warningThreshold is that of lines at warning level, some of which callers cause.
	warningThreshold = 2000
	// samplePeriod is the period over which the lines of a group are counted.
	samplePeriod = time.Second
)

// sampledFields are the fields that divide the lines of one event into groups,
// in order of precedence: the first one that a line has decides.
var sampledFields = []string{"route", "account", "upstream"}

// lineGroup identifies the lines that are sampled together: those with the same
// event and the same value of the sampled field.
type lineGroup struct {
	event   string
	value   string
	warning bool
}

// threshold returns how many lines of the group pass in each samplePeriod.
func (g lineGroup) threshold() int {
	if g.warning {
		return warningThreshold
	}
	return sampleThreshold
}

// sampler omits a part of the repeated lines. It passes on all lines at error
// level, and the first line of each group in each samplePeriod.
type sampler struct {
	next log.Logger

	mu          sync.Mutex
	periodStart time.Time
	counts      map[lineGroup]int
}

// NewSampler returns a logger that passes a sample of repeated lines on to next.
// At most once per second it reports the number of omitted lines in log.sampled
// lines. It doesn't sample lines at error level, and warnings from 2000 of a group in a
// second (warningThreshold) only.
func NewSampler(next Logger) Logger { return &sampler{next: next, counts: make(map[lineGroup]int)} }

// Log implements log.Logger. It returns the error of the next logger.
func (s *sampler) Log(pairs ...any) error {
	group, canSample := groupOf(pairs)
	if !canSample {
		return s.next.Log(pairs...)
	}
	passes, omitted := s.countLine(group)
	for omittedGroup, count := range omitted {
		if err := s.next.Log("level", level.InfoValue(), "event", "log.sampled", "of", omittedGroup.event, "key", omittedGroup.value, "left_out", count); err != nil {
			return err
		}
	}
	if !passes {
		return nil
	}
	return s.next.Log(pairs...)
}

// countLine counts a line of the group. It returns whether the line passes. On
// the first line of a new period it also returns how many lines of each group
// were omitted in the previous one.
func (s *sampler) countLine(group lineGroup) (passes bool, omitted map[lineGroup]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.periodStart) >= samplePeriod {
		omitted = omittedLines(s.counts)
		clear(s.counts)
		s.periodStart = now
	}
	s.counts[group]++
	count := s.counts[group]
	return count <= group.threshold() || count%sampleRate == 0, omitted
}

// omittedLines returns how many lines of each group were omitted, given how many
// were counted.
func omittedLines(counts map[lineGroup]int) map[lineGroup]int {
	omitted := make(map[lineGroup]int)
	for group, count := range counts {
		if threshold := group.threshold(); count > threshold {
			omitted[group] = count - threshold - (count/sampleRate - threshold/sampleRate)
		}
	}
	return omitted
}

// groupOf returns the group of a line and whether the line may be omitted, which
// is not so at error level.
func groupOf(pairs []any) (group lineGroup, canSample bool) {
	bestRank := len(sampledFields)
	for i := 0; i+1 < len(pairs); i += 2 {
		switch key := pairs[i]; key {
		case level.Key():
			group.warning = pairs[i+1] == level.WarnValue()
			if pairs[i+1] == level.ErrorValue() {
				return group, false
			}
		case "event":
			group.event, _ = pairs[i+1].(string)
		default:
			for rank, field := range sampledFields[:bestRank] {
				if value, ok := pairs[i+1].(string); ok && key == field && value != "" {
					group.value, bestRank = value, rank
				}
			}
		}
	}
	return group, true
}

package bhlog

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// sampleFull is how many lines of one kind and key a second pass; beyond them
	// one in sampleRate does. Both keep a process of some thousand requests a
	// second below a megabyte of log a second.
	sampleFull = 200
	sampleRate = 20
	// sampleSecond is the time over which lines are counted.
	sampleSecond = time.Second
)

// sampledKeys are the fields that tell lines of one kind apart, the first one
// that a line has.
var sampledKeys = []string{"route", "account", "upstream"}

// sampled is the kind and key of a line.
type sampled struct {
	event string
	value string
}

// sampler thins out lines that say the same again and again. Lines at warning
// level and above all pass, and so does the first of each kind and key.
type sampler struct {
	next log.Logger

	mu     sync.Mutex
	since  time.Time
	counts map[sampled]int
}

// NewSampler returns a logger that passes some lines of those that repeat on to
// next, and tells once a second how many it left out.
func NewSampler(next Logger) Logger { return &sampler{next: next, counts: make(map[sampled]int)} }

// Log implements log.Logger.
func (s *sampler) Log(pairs ...any) error {
	of, counts := kindOf(pairs)
	if !counts {
		return s.next.Log(pairs...)
	}
	passes, left := s.count(of)
	for other, count := range left {
		if err := s.next.Log("level", level.InfoValue(), "event", "log.sampled", "of", other.event, "key", other.value, "left_out", count); err != nil {
			return err
		}
	}
	if !passes {
		return nil
	}
	return s.next.Log(pairs...)
}

// count counts a line. It returns whether the line passes and, once a second,
// how many lines were left out.
func (s *sampler) count(of sampled) (passes bool, left map[sampled]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.since) >= sampleSecond {
		left = leftOut(s.counts)
		clear(s.counts)
		s.since = now
	}
	s.counts[of]++
	count := s.counts[of]
	return count <= sampleFull || count%sampleRate == 0, left
}

// leftOut returns how many lines of each kind and key didn't pass.
func leftOut(counts map[sampled]int) map[sampled]int {
	left := make(map[sampled]int)
	for of, count := range counts {
		if count > sampleFull {
			left[of] = count - sampleFull - (count/sampleRate - sampleFull/sampleRate)
		}
	}
	return left
}

// kindOf returns the kind and key of a line, and whether it may be left out.
func kindOf(pairs []any) (of sampled, counts bool) {
	best := len(sampledKeys)
	for i := 0; i+1 < len(pairs); i += 2 {
		switch key := pairs[i]; key {
		case level.Key():
			if pairs[i+1] != level.InfoValue() && pairs[i+1] != level.DebugValue() {
				return of, false
			}
		case "event":
			of.event, _ = pairs[i+1].(string)
		default:
			for rank, name := range sampledKeys[:best] {
				if value, ok := pairs[i+1].(string); ok && key == name && value != "" {
					of.value, best = value, rank
				}
			}
		}
	}
	return of, true
}

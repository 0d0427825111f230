package bhstory

import (
	"slices"
	"strings"
	"time"
)

// ownKeys are the fields that name a request, a job or an item.
var ownKeys = []string{"request", "job", "item"}

// surroundings are the events that tell why a process decided as it did, and the
// field that must be the story's own for the event to belong to it; without one
// the event concerns all requests of the process.
var surroundings = map[string]string{
	"start":             "",
	"stop":              "",
	"child.restart":     "",
	"gate.stopping":     "",
	"gate.cut":          "",
	"policy.inforce":    "",
	"platform.lost":     "",
	"platform.regained": "",
	"engine.lost":       "",
	"engine.regained":   "",
	"beat.failed":       "",
	"jobs.unread":       "",
	"settings.inforce":  "",
	"settings.rejected": "",
	"quota.refused":     "account",
	"quota.unsynced":    "account",
	"upstream.listed":   "upstream",
	"upstream.rest":     "upstream",
	"upstream.moved":    "upstream",
	"upstream.lapsed":   "upstream",
	"upstream.gone":     "upstream",
	"log.dropped":       "",
	"log.sampled":       "",
}

// Tell returns the lines about the request, job or item with the id in order of
// time, and what its processes saw from as long as around before the first of
// their own lines until the last.
func Tell(lines []Line, id string, around time.Duration) []Line {
	s := story{spans: make(map[string]span), names: make(map[string]bool), jobs: make(map[string]bool)}
	for i := range lines {
		if owns(&lines[i], id) {
			s.take(&lines[i])
		}
	}
	var told []Line
	for _, line := range lines {
		line.Own = owns(&line, id) || s.accepts(&line)
		if line.Own || s.surrounds(&line, around) {
			told = append(told, line)
		}
	}
	slices.SortStableFunc(told, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return told
}

// owns reports whether the line names the id.
func owns(line *Line, id string) bool {
	return slices.ContainsFunc(ownKeys, func(key string) bool { return line.Get(key) == id })
}

// span is the time from a process's first line about the id to the last.
type span struct {
	first, last time.Time
}

// story gathers what the lines about an id name.
type story struct {
	spans map[string]span
	// names holds the accounts and upstreams.
	names map[string]bool
	jobs  map[string]bool
}

func (s *story) take(line *Line) {
	known, ok := s.spans[line.Process]
	if !ok || line.Time.Before(known.first) {
		known.first = line.Time
	}
	if line.Time.After(known.last) {
		known.last = line.Time
	}
	s.spans[line.Process] = known
	for _, key := range []string{"account", "upstream"} {
		if value := line.Get(key); value != "" {
			s.names[value] = true
		}
	}
	if line.Get("item") != "" {
		s.jobs[line.Get("job")] = true
	}
}

// accepts reports whether the line tells what became of the job of an item.
func (s *story) accepts(line *Line) bool {
	return strings.HasPrefix(line.Event, "job.") && s.jobs[line.Get("job")]
}

// surrounds reports whether the line tells what a process of the story saw.
func (s *story) surrounds(line *Line, around time.Duration) bool {
	key, ok := surroundings[line.Event]
	if !ok || key != "" && !s.names[line.Get(key)] {
		return false
	}
	known, ok := s.spans[line.Process]
	return ok && !line.Time.Before(known.first.Add(-around)) && !line.Time.After(known.last)
}

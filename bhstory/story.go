package bhstory

import (
	"slices"
	"strings"
	"time"
)

// idFields are the fields that hold the ID of a request, job or item.
var idFields = []string{"request", "job", "item"}

// contextEvents holds the events that may explain a decision of a process. The
// value is "account" or "upstream" if only events with an account or upstream
// that also occurs in a line with the ID are context. It is empty if the event
// concerns all requests of the process.
var contextEvents = map[string]string{
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

// Tell returns the lines about the request, job or item with the ID and their
// context, in order of time. For an item that includes the lines of its job. The
// context are the contextEvents of each process that wrote a line with the ID,
// from the duration around before its first such line until its last.
func Tell(lines []Line, id string, around time.Duration) []Line {
	s := story{spans: make(map[string]span), contextValues: make(map[string]bool), jobs: make(map[string]bool)}
	for i := range lines {
		if hasID(&lines[i], id) {
			s.addLine(&lines[i])
		}
	}
	var selected []Line
	for _, line := range lines {
		line.Own = hasID(&line, id) || s.isJobLine(&line)
		if line.Own || s.isContextLine(&line, around) {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return selected
}

// hasID reports whether the line has the ID in one of idFields.
func hasID(line *Line, id string) bool {
	return slices.ContainsFunc(idFields, func(key string) bool { return line.Get(key) == id })
}

// span is the time from a process's first line with the ID to its last.
type span struct {
	first, last time.Time
}

// story collects the processes, accounts, upstreams and jobs that occur in the
// lines with an ID.
type story struct {
	// spans is keyed by process.
	spans map[string]span
	// contextValues is the set of accounts and upstreams.
	contextValues map[string]bool
	jobs          map[string]bool // the jobs of an item
}

// addLine records a line that has the ID.
func (s *story) addLine(line *Line) {
	processSpan, ok := s.spans[line.Process]
	if !ok || line.Time.Before(processSpan.first) {
		processSpan.first = line.Time
	}
	if line.Time.After(processSpan.last) {
		processSpan.last = line.Time
	}
	s.spans[line.Process] = processSpan
	for _, key := range []string{"account", "upstream"} {
		if value := line.Get(key); value != "" {
			s.contextValues[value] = true
		}
	}
	if line.Get("item") != "" {
		s.jobs[line.Get("job")] = true
	}
}

// isJobLine reports whether the line is a job event of the item's job.
func (s *story) isJobLine(line *Line) bool {
	return strings.HasPrefix(line.Event, "job.") && s.jobs[line.Get("job")]
}

// isContextLine reports whether the line is context: an event of contextEvents
// that a recorded process wrote within its span, extended by around before its
// start.
func (s *story) isContextLine(line *Line, around time.Duration) bool {
	key, ok := contextEvents[line.Event]
	if !ok || key != "" && !s.contextValues[line.Get(key)] {
		return false
	}
	processSpan, ok := s.spans[line.Process]
	return ok && !line.Time.Before(processSpan.first.Add(-around)) && !line.Time.After(processSpan.last)
}

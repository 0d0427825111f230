// Package bhevent reads streams of server-sent events: where whole events end,
// which id came last, and the data of each.
package bhevent

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// CompleteLength returns the length of the whole events at the start of data.
func CompleteLength(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if crlf := bytes.LastIndex(data, []byte("\r\n\r\n")); crlf >= 0 && crlf+4 > end+2 {
		return crlf + 4
	}
	if end < 0 {
		return 0
	}
	return end + 2
}

// Event is one event.
type Event struct {
	ID   string
	Data []string
}

// Parse returns the events of data. The blank line after the last one may be missing.
func Parse(data []byte) []Event {
	var events []Event
	var event Event
	filled := false
	for line := range strings.SplitSeq(string(data), "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			if filled {
				events = append(events, event)
			}
			event, filled = Event{}, false
			continue
		}
		filled = true
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			event.ID = value
		case "data":
			event.Data = append(event.Data, value)
		}
	}
	if filled {
		events = append(events, event)
	}
	return events
}

// Progress follows the ids of a stream that may be resumed.
type Progress struct {
	// Last is the id of the last whole event that was passed on.
	Last    string
	resumed bool
}

// Resume notes that the next event is the first one of another run.
func (p *Progress) Resume() { p.resumed = true }

// Advance takes in whole events. It fails if another run doesn't go on after the
// last event.
func (p *Progress) Advance(events []byte) error {
	for _, event := range Parse(events) {
		if event.ID == "" {
			continue
		}
		if p.resumed && !follows(p.Last, event.ID) {
			return errors.Errorf("event %q does not follow %q", event.ID, p.Last)
		}
		p.resumed = false
		p.Last = event.ID
	}
	return nil
}

// follows reports whether the id is the next after last. Ids that aren't
// numbers are taken as they come.
func follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseInt(id, 10, 64)
	return err == nil && after == before+1
}

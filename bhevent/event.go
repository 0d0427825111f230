// Package bhevent parses streams of server-sent events: it finds the complete
// events with their IDs and data, and checks that a resumed stream continues
// after the last event. Package bhgate relays streams to clients with it, package
// bhjob reads the streams of job items.
package bhevent

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// CompleteLength returns the length in bytes of the complete events at the start
// of data, including the blank line that ends the last of them.
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

// Event is one server-sent event. It may be empty, because fields other than id
// and data are dropped.
type Event struct {
	ID string
	// Data holds the values of the data lines.
	Data []string
}

// IsComment reports whether the event holds nothing for a caller.
func (e Event) IsComment() bool { return e.ID == "" && len(e.Data) == 0 }

// Parse returns the events in data. The blank line after the last one may be
// missing.
func Parse(data []byte) []Event {
	var events []Event
	var event Event
	hasLines := false
	for line := range strings.SplitSeq(string(data), "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			if hasLines {
				events = append(events, event)
			}
			event, hasLines = Event{}, false
			continue
		}
		hasLines = true
		field, value, _ := strings.Cut(strings.TrimPrefix(line, byteOrderMark), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			event.ID = value
		case "data":
			event.Data = append(event.Data, value)
		}
	}
	if hasLines {
		events = append(events, event)
	}
	return events
}

// Progress tracks the event IDs of a stream that may be resumed.
type Progress struct {
	// Last is the ID of the last complete event that was passed on, or empty if
	// there is none.
	Last string
	// resumed reports that the next event must have an ID that follows Last.
	resumed bool
	// unplaced reports that an event without an ID has followed Last.
	unplaced bool
}

// Resume records that the stream was resumed: the next event comes from another
// response and must follow the last one.
func (p *Progress) Resume() { p.resumed = true }

// Resumable reports whether the events that were passed on end with one whose ID tells
// another upstream where to go on.
func (p *Progress) Resumable() bool { return p.Last != "" && !p.unplaced }

// Advance records the IDs of the complete events. After Resume, it returns an
// error if the first event has no ID or doesn't follow the last one.
func (p *Progress) Advance(events []byte) error {
	for _, event := range Parse(events) {
		switch {
		case event.ID != "":
		case event.IsComment():
			continue
		case p.resumed:
			return errors.Errorf("an event without an ID follows %q", p.Last)
		default:
			p.unplaced = true
			continue
		}
		if p.resumed && !follows(p.Last, event.ID) {
			return errors.Errorf("event %q does not follow %q", event.ID, p.Last)
		}
		p.resumed, p.unplaced = false, false
		p.Last = event.ID
	}
	return nil
}

// follows reports whether id is the number after last. If last isn't a number,
// any id is accepted.
func follows(last, id string) bool {
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && number == lastNumber+1
}

package bhevent

import (
	"bytes"
	"regexp"
	"slices"
	"unicode/utf8"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxQuoted is the number of bytes of a line that its error quotes.
	maxQuoted = 64
	// byteOrderMark may stand before a stream.
	byteOrderMark = "\ufeff"
)

// eventFields are the fields of an event. Others are ignored, but make no event alone.
var eventFields = []string{"id", "data", "event", "retry"}

// statusLine matches the start of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.\d \d{3}`)

// soundLength returns the length of the events at the start of data, which ends with a blank
// line if it isn't empty. If data holds something else, it returns an error, too: upstreams
// may write errors into their streams. With text, IDs and data must be UTF-8.
func soundLength(data []byte, text bool) (int, error) {
	var current block
	start := 0
	for at := 0; at < len(data); {
		end := at + bytes.IndexByte(data[at:], '\n') + 1
		line := bytes.TrimSuffix(data[at:end-1], []byte("\r"))
		at = end
		if len(line) > 0 {
			line = bytes.TrimPrefix(line, []byte(byteOrderMark))
			if !current.add(line) {
				return start, errors.Errorf("line %q of a stream is no field of an event", line[:min(len(line), maxQuoted)])
			}
			if text && isKept(line) && !utf8.Valid(line) {
				return start, errors.Errorf("line %q of a stream is not UTF-8", line[:min(len(line), maxQuoted)])
			}
			continue
		}
		if !current.isEvent() {
			return start, errors.Errorf("%q in a stream is no event", data[start:min(end, start+maxQuoted)])
		}
		start, current = end, block{}
	}
	return start, nil
}

// isKept reports whether Parse returns the line's value.
func isKept(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return string(name) == "id" || string(name) == "data"
}

// block is what is known of the lines between two blank lines of a stream.
type block struct {
	known, unknown bool
	// hasStatus reports that a known field holds what may be the status line of an answer.
	hasStatus bool
}

// add adds a line. It reports false if the line can't belong to an event.
func (b *block) add(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 || slices.Contains(eventFields, string(name)) {
		b.known = true
		b.hasStatus = b.hasStatus || bytes.Contains(line, []byte("HTTP/1.")) && statusLine.Match(line)
		return true
	}
	b.unknown = true
	// The fields of an answer's head may follow on a status line that was appended to an event.
	return httpguts.ValidHeaderFieldName(string(name)) && !b.hasStatus
}

// isEvent reports whether the lines are an event, a comment or none.
func (b *block) isEvent() bool { return b.known || !b.unknown }

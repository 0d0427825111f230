// Package bhstory reads the logs of all processes and selects the lines that
// explain what happened to one request, job or item. The story command of bhcmd
// calls it.
package bhstory

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// maxLineBytes limits the length of a log line in bytes. It is far above the
// longest line that a process writes.
const maxLineBytes = 1 << 20

// Pair is one logfmt field of a line.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one event in the log of a process.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	// Pairs holds the other fields in the order of the line.
	Pairs []Pair `json:"pairs"`
	// Own is true if the line is about the request, job or item given to Tell or,
	// for an item, about its job. It is false for context: other events of the
	// same processes around that time.
	Own bool `json:"own"`
}

// Get returns the value of the first field named key in Pairs, or an empty
// string.
func (l *Line) Get(key string) string {
	for _, pair := range l.Pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// Read returns the events of a log and the number of lines that hold no event.
// The last word before a line's first field names its process, as a log
// collector may put it there; lines without such a word belong to the given
// process. The error is that of reading the log, or of a line over 1 MiB.
func Read(log io.Reader, process string) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text(), process)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "reading the log of "+process)
}

// parseLine returns the event of one line. It returns false if the line has no
// event, has no valid time or is not logfmt.
func parseLine(text, process string) (Line, bool) {
	prefix, fields := splitPrefix(text)
	line := Line{Process: process}
	if prefix != "" {
		line.Process = prefix
	}
	decoder := logfmt.NewDecoder(strings.NewReader(fields))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.addField(string(decoder.Key()), string(decoder.Value()))
		}
	}
	return line, decoder.Err() == nil && line.Event != "" && !line.Time.IsZero()
}

// addField sets the event, the time or another field of the line.
func (l *Line) addField(key, value string) {
	switch key {
	case "event":
		l.Event = value
	case "ts":
		// An invalid time leaves l.Time zero, and parseLine then rejects the line.
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	default:
		l.Pairs = append(l.Pairs, Pair{Key: key, Value: value})
	}
}

// splitPrefix returns the last word before the first field, and the text from
// the first field on.
func splitPrefix(text string) (word, fields string) {
	for text != "" {
		text = strings.TrimLeft(text, " \t")
		next, rest, _ := strings.Cut(text, " ")
		if strings.Contains(next, "=") {
			return word, text
		}
		word, text = next, rest
	}
	return word, ""
}

// Package bhstory tells from the logs of all processes what became of one
// request, job or item.
package bhstory

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// maxLine is far above the longest line that a process writes.
const maxLine = 1 << 20

// Pair is one field of a line.
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
	// Own reports that the line names what the story is about; other lines only
	// tell what its processes saw meanwhile.
	Own bool `json:"own"`
}

// Get returns the value of the field, or an empty text.
func (l *Line) Get(key string) string {
	for _, pair := range l.Pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// Read returns the events of a log, and how many lines hold none. The words
// before a line's first field name its process, such as those that a collector
// of logs puts there; lines without such words are of the process given.
func Read(log io.Reader, process string) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text(), process)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "reading the log of "+process)
}

// parse returns the event of one line, false if it holds none.
func parse(text, process string) (Line, bool) {
	words, fields := split(text)
	line := Line{Process: process}
	if words != "" {
		line.Process = words
	}
	decoder := logfmt.NewDecoder(strings.NewReader(fields))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.add(string(decoder.Key()), string(decoder.Value()))
		}
	}
	return line, decoder.Err() == nil && line.Event != "" && !line.Time.IsZero()
}

func (l *Line) add(key, value string) {
	switch key {
	case "event":
		l.Event = value
	case "ts":
		// A time that can't be read stays zero, so that the line holds no event.
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	default:
		l.Pairs = append(l.Pairs, Pair{Key: key, Value: value})
	}
}

// split returns the last word before the first field, and the fields.
func split(text string) (word, fields string) {
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

package bhbatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
)

// MaxProblems limits the number of bad lines listed in one reply.
const MaxProblems = 100

// Item is one request of a batch, a line of its input file.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Problem describes one bad line of an input file.
type Problem struct {
	// Line is the line number, starting at 1.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// InvalidError lists the bad lines of an input file.
type InvalidError struct {
	Problems []Problem
	// Total is the number of bad lines. Problems holds the first MaxProblems of
	// them.
	Total int
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, fmt.Sprintf("line %d: %s", problem.Line, problem.Reason))
	}
	return fmt.Sprintf("%d bad lines: %s", e.Total, strings.Join(lines, "; "))
}

func (e *InvalidError) add(line int, reason string) {
	e.Total++
	if len(e.Problems) < MaxProblems {
		e.Problems = append(e.Problems, Problem{Line: line, Reason: reason})
	}
}

// err returns an error with the code BatchInvalid, or nil if no line is bad.
func (e *InvalidError) err() error {
	if e.Total == 0 {
		return nil
	}
	return bhcode.Wrap(e, bhcode.BatchInvalid, "")
}

// ParseItem decodes and checks one line of an input file or segment. reason
// says why the line is bad; it is empty for a valid line.
func ParseItem(line []byte) (item Item, reason string) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	if err := decoder.Decode(&item); err != nil {
		return item, "not a JSON object of a request: " + err.Error()
	}
	if _, err := decoder.Token(); err != io.EOF {
		return item, "more than one JSON value"
	}
	return item, item.invalidReason()
}

// invalidReason returns why the item is invalid, or an empty string.
func (i Item) invalidReason() string {
	switch {
	case i.CustomID == "":
		return "custom_id is missing"
	case i.Method != http.MethodPost:
		return "method must be POST"
	case i.URL != bhchat.Path:
		return "url must be " + bhchat.Path
	case len(i.Body) == 0 || i.Body[0] != '{':
		return "body must be an object"
	}
	return ""
}

// Model returns the model that the item's body names. reason says why the body
// is bad; it is empty for a valid body.
func (i Item) Model() (model, reason string) {
	request, err := bhchat.Parse(i.Body)
	if err != nil {
		return "", "body: " + bhcode.From(err).Message
	}
	return request.Model, ""
}

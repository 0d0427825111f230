package bhevent

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Kind is what the header of an answer says about its body.
type Kind int

const (
	// Undeclared bodies may be streams of events: upstreams don't always declare one, and
	// HTTP servers that guess the type take it for plain text.
	Undeclared Kind = iota
	// Declared bodies are streams of events.
	Declared
	// Other bodies are declared as data of another kind, or encoded.
	Other
)

// KindOf returns the kind of an answer's body.
func KindOf(header http.Header) Kind {
	if encoding := header.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return Other
	}
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	switch strings.ToLower(strings.TrimSpace(mediaType)) {
	case "text/event-stream":
		return Declared
	case "", "text/plain":
		return Undeclared
	}
	return Other
}

// CheckHead returns an error if an answer with the status and header can't bring the events of a
// stream, or the rest of them.
func CheckHead(status int, header http.Header) error {
	if status != http.StatusOK {
		return errors.Errorf("status %d instead of %d", status, http.StatusOK)
	}
	if KindOf(header) == Other {
		return errors.Errorf("a body of type %q and encoding %q instead of a stream of events", header.Get("Content-Type"), header.Get("Content-Encoding"))
	}
	return nil
}

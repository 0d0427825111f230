package bhlog

import (
	"fmt"
	stdlog "log"

	"github.com/go-kit/log"
)

// maxValue is the largest length of a text in a line, in bytes. Callers choose some of them.
const maxValue = 1 << 10

// clipper cuts long texts.
type clipper struct{ next Logger }

// Log implements log.Logger. It returns the error of the next logger.
func (c clipper) Log(pairs ...any) error {
	var clipped []any
	for i := 1; i < len(pairs); i += 2 {
		text, long := longText(pairs[i])
		if !long {
			continue
		}
		if clipped == nil {
			clipped = append([]any(nil), pairs...)
		}
		clipped[i] = fmt.Sprintf("%s... (%d bytes)", text[:maxValue], len(text))
	}
	if clipped != nil {
		pairs = clipped
	}
	return c.next.Log(pairs...)
}

// longText returns the text of the value and whether it is too long.
func longText(value any) (string, bool) {
	text := ""
	switch value := value.(type) {
	case string:
		text = value
	case error:
		if value == nil {
			return "", false
		}
		text = value.Error()
	}
	return text, len(text) > maxValue
}

// NewStandard returns a logger of the standard library that logs each line as the event at
// warning level.
func NewStandard(logger Logger, event string) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(warning{logger, event}), "", 0)
}

// warning logs what the standard library's logger wrote.
type warning struct {
	logger Logger
	event  string
}

// Log implements log.Logger.
func (w warning) Log(pairs ...any) error {
	logEvent(warnLevel(w.logger), w.event, pairs)
	return nil
}

// Package bhlog builds the structured loggers of all processes: one logfmt
// line of key=value pairs per event.
package bhlog

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// Logger is the logger passed between packages.
type Logger = log.Logger

// Level names accepted by New.
const (
	Debug = "debug"
	Info  = "info"
	Warn  = "warn"
	Error = "error"
)

// New returns a logfmt logger that writes lines at or above the named level to
// w, and only a part of those that repeat. An empty level means Info.
func New(w io.Writer, name string) (Logger, error) {
	allow, err := option(name)
	if err != nil {
		return nil, err
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(NewSampler(logger), allow), nil
}

// Nop returns a logger that discards everything.
func Nop() Logger { return log.NewNopLogger() }

// With returns a logger that adds the pairs to each line.
func With(logger Logger, pairs ...any) Logger { return log.With(logger, pairs...) }

// Event logs one event at info level.
func Event(logger Logger, event string, pairs ...any) {
	write(level.Info(logger), event, pairs)
}

// Trace logs one event at debug level.
func Trace(logger Logger, event string, pairs ...any) {
	write(level.Debug(logger), event, pairs)
}

// Problem logs one event at warning level with its error.
func Problem(logger Logger, event string, err error, pairs ...any) {
	write(level.Warn(logger), event, append(pairs, "err", err))
}

// Decision logs a routing or placement decision: what was decided, why, and
// which alternatives there were.
func Decision(logger Logger, name, choice, reason string, alternatives any, pairs ...any) {
	head := []any{"choice", choice, "reason", reason, "alternatives", alternatives}
	write(level.Info(logger), "decision."+name, append(head, pairs...))
}

func write(logger Logger, event string, pairs []any) {
	line := append([]any{"event", event}, pairs...)
	if err := logger.Log(line...); err != nil {
		return
	}
}

func option(name string) (level.Option, error) {
	switch name {
	case Debug:
		return level.AllowDebug(), nil
	case Info, "":
		return level.AllowInfo(), nil
	case Warn:
		return level.AllowWarn(), nil
	case Error:
		return level.AllowError(), nil
	}
	return nil, errors.Errorf("unknown log level %q", name)
}

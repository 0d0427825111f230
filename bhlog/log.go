// Package bhlog builds structured loggers that write one logfmt line of
// key=value pairs per event. Every baobabhaven process creates its logger here
// and passes it to its packages.
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
// w and samples repeated lines (see NewSampler). Texts of more than maxValue
// bytes are cut. An empty name means Info; an
// unknown name is an error.
func New(w io.Writer, name string) (Logger, error) {
	allow, err := levelOption(name)
	if err != nil {
		return nil, err
	}
	var logger Logger = clipper{log.NewLogfmtLogger(log.NewSyncWriter(w))}
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(NewSampler(logger), allow), nil
}

// Nop returns a logger that discards everything.
func Nop() Logger { return log.NewNopLogger() }

// With returns a logger that adds the pairs, alternating keys and values, to
// each line.
func With(logger Logger, pairs ...any) Logger { return log.With(logger, pairs...) }

// Event logs one event at info level with pairs of alternating keys and values.
func Event(logger Logger, event string, pairs ...any) {
	logEvent(level.Info(logger), event, pairs)
}

// Trace logs one event at debug level.
func Trace(logger Logger, event string, pairs ...any) {
	logEvent(level.Debug(logger), event, pairs)
}

// Problem logs one event at warning level, with err in the field "err".
func Problem(logger Logger, event string, err error, pairs ...any) {
	logEvent(level.Warn(logger), event, append(pairs, "err", err))
}

// Decision logs a routing or placement decision at info level: the choice, the
// reason for it and the alternatives. The event is "decision." and name.
func Decision(logger Logger, name, choice, reason string, alternatives any, pairs ...any) {
	head := []any{"choice", choice, "reason", reason, "alternatives", alternatives}
	logEvent(level.Info(logger), "decision."+name, append(head, pairs...))
}

func warnLevel(logger Logger) Logger { return level.Warn(logger) }

// logEvent writes the line and ignores write errors.
func logEvent(logger Logger, event string, pairs []any) {
	line := append([]any{"event", event}, pairs...)
	if err := logger.Log(line...); err != nil {
		return
	}
}

// levelOption returns the filter option for a level name.
func levelOption(name string) (level.Option, error) {
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
	return nil, errors.Errorf("unknown log level %q, expected debug, info, warn or error", name)
}

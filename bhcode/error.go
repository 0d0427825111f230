package bhcode

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Ran says whether a request took effect on an upstream.
type Ran string

// Values of Ran. RanNo is reported only if it is certain that the request did
// not run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure with a result code.
type Error struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is how long the caller should wait before a retry. Zero means
	// that no wait is advised.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error with the formatted message and Ran set to RanNo.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// Wrap returns an Error with code, message and Ran set to RanNo. It keeps err as
// its cause, which Unwrap returns.
func Wrap(err error, code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo, cause: err}
}

// WithRan sets whether the request ran and returns e.
func (e *Error) WithRan(ran Ran) *Error {
	e.Ran = ran
	return e
}

// WithRetryAfter sets the wait advised before a retry and returns e.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Error returns the code's name and number, the message or, if it is empty, the
// code's sentence, and the cause if there is one.
func (e *Error) Error() string {
	message := e.Message
	if message == "" {
		message = e.Code.Info().Text
	}
	if e.cause != nil {
		return fmt.Sprintf("%s (%d): %s: %v", e.Code, int(e.Code), message, e.cause)
	}
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), message)
}

// CallerText returns the code's name and number and the message, and for faults of the caller's
// also the cause. Other causes are for operators: they may quote bytes of an upstream.
func (e *Error) CallerText() string {
	if e.Code < NoUpstream || e.Code == BatchInvalid {
		return e.Error()
	}
	withoutCause := *e
	withoutCause.cause = nil
	return withoutCause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns the first Error in err's chain. If there is none, it returns an
// Internal error that wraps err, with Ran set to RanUnknown. It returns nil for a
// nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error").WithRan(RanUnknown)
}

// FromStatus returns the code for an HTTP error status set by a server's router.
// Statuses other than 404, 405 and 413 give BadRequest.
func FromStatus(status int) Code {
	switch status {
	case http.StatusNotFound:
		return NotFound
	case http.StatusMethodNotAllowed:
		return BadMethod
	case http.StatusRequestEntityTooLarge:
		return TooLarge
	}
	return BadRequest
}

// Is reports whether the first Error in err's chain has the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

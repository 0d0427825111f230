package bhcode

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Ran says whether a request took effect on an upstream.
type Ran string

// The three answers to "did it run". RanNo is reported only when it is certain.
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
	// RetryAfter is how long the caller should wait, or zero for no advice.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error whose request did not run.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// Wrap returns an Error with code that keeps err as its cause.
func Wrap(err error, code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo, cause: err}
}

// WithRan sets whether the request ran and returns e.
func (e *Error) WithRan(ran Ran) *Error {
	e.Ran = ran
	return e
}

// WithRetryAfter sets the advised wait and returns e.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Error implements the error interface.
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

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error in err's chain, or an Internal error that wraps err.
// It returns nil for a nil err.
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

// FromStatus returns the code for an HTTP status that a server's router gave.
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

// Is reports whether err carries code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

package bhcmd

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// Streams are the input and output of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// SystemStreams returns the streams of the process.
func SystemStreams() Streams {
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
}

// Factory holds what commands depend on.
type Factory struct {
	Streams Streams
}

// Errors that decide the exit code.
var (
	// ErrSilent ends the program with a failure that was already reported.
	ErrSilent = errors.New("failed")
	// ErrCancelled ends the program after the user cancelled it.
	ErrCancelled = errors.New("cancelled")
)

// UsageError reports a command line that is wrong.
type UsageError struct {
	Message string
}

// Error implements the error interface.
func (e *UsageError) Error() string { return e.Message }

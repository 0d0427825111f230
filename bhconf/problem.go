package bhconf

import (
	"strings"
)

// Problem is one mistake in settings or a configuration.
type Problem struct {
	// Path is the place of the mistake, such as "accounts[3].rate".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the place and the message on one line.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// Problems is every mistake found in one document. It is an error if not empty.
type Problems []Problem

// Error implements the error interface, one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

func (p *Problems) add(path, message string) {
	*p = append(*p, Problem{Path: path, Message: message})
}

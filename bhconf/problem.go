package bhconf

import (
	"strings"
)

// Problem is one invalid value or field in settings or a configuration.
type Problem struct {
	// Path is the path of the invalid value, such as "accounts[3].rate".
	Path string `json:"path"`
	// Message says what is wrong or what was expected. It follows the path in a
	// sentence, as in "must be above 0".
	Message string `json:"message"`
}

// String returns the path and the message on one line.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// Problems holds every problem found in one document. Err returns it as an error
// if it isn't empty.
type Problems []Problem

// Error implements the error interface. It returns one line per problem.
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

package bhconf

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DefaultDrainTimeout is the longest graceful shutdown if the settings name no
// limit.
const DefaultDrainTimeout = 30 * time.Second

// MaxDocumentBytes is the size of the largest settings or configuration document.
const MaxDocumentBytes = 8 << 20

// DrainTimeout returns the longest duration of a graceful shutdown.
func (s Settings) DrainTimeout() time.Duration {
	if s.Drain == 0 {
		return DefaultDrainTimeout
	}
	return time.Duration(s.Drain)
}

// ParseSettings parses and validates settings. The error is of type Problems if
// the document is JSON but invalid, and of another type if it isn't JSON, is
// longer than MaxDocumentBytes or is nested too deeply.
func ParseSettings(data []byte) (Settings, error) {
	return parse(data, Settings.Check)
}

// ParseConfig parses and validates a configuration. Its errors are those of
// ParseSettings.
func ParseConfig(data []byte) (Config, error) {
	return parse(data, Config.Check)
}

// parse parses a document. Its error holds every problem of the document's
// structure and content. Values with a wrong structure are removed before the
// content is checked.
func parse[T any](data []byte, checkContent func(T) Problems) (T, error) {
	var result T
	if len(data) > MaxDocumentBytes {
		return result, errors.Errorf("reading JSON: document of %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
	}
	structure, err := readJSONDocument(data)
	if err != nil {
		return result, errors.Wrap(err, "reading JSON")
	}
	validJSON, err := json.Marshal(structure.checkRoot(&result))
	if err != nil {
		return result, errors.Wrap(err, "reading JSON")
	}
	if err := json.Unmarshal(validJSON, &result); err != nil {
		return result, errors.Wrap(err, "reading JSON")
	}
	return result, mergeProblems(structure.problems, checkContent(result)).Err()
}

// mergeProblems returns the structural problems and the content problems at paths
// without a structural problem: a value that was removed for its structure looks
// like a missing one to the check of the content.
func mergeProblems(structural, content Problems) Problems {
	merged := structural
	for _, problem := range content {
		if !structural.covers(problem.Path) {
			merged = append(merged, problem)
		}
	}
	return merged
}

// covers reports whether one of the problems is at path or at a value that
// contains it.
func (p Problems) covers(path string) bool {
	return slices.ContainsFunc(p, func(problem Problem) bool {
		rest, hasPrefix := strings.CutPrefix(path, problem.Path)
		return hasPrefix && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

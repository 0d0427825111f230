package bhconf

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DefaultDrain bounds a graceful stop when the settings name no bound.
const DefaultDrain = 30 * time.Second

// MaxDocument is the largest settings or configuration file in bytes.
const MaxDocument = 8 << 20

// DrainBound returns the bound of a graceful stop.
func (s Settings) DrainBound() time.Duration {
	if s.Drain == 0 {
		return DefaultDrain
	}
	return time.Duration(s.Drain)
}

// ParseSettings reads settings and checks them. The error is Problems if the
// document is JSON but wrong.
func ParseSettings(data []byte) (Settings, error) {
	return parse(data, Settings.Check)
}

// ParseConfig reads a configuration and checks it. The error is Problems if
// the document is JSON but wrong.
func ParseConfig(data []byte) (Config, error) {
	return parse(data, Config.Check)
}

// parse reads a document and returns every mistake of its form and of its
// content. Values of a wrong form are left out before the content is checked.
func parse[T any](data []byte, check func(T) Problems) (T, error) {
	var document T
	if len(data) > MaxDocument {
		return document, errors.Errorf("reading JSON: document of %d bytes, at most %d are allowed", len(data), MaxDocument)
	}
	form, err := newForm(data)
	if err != nil {
		return document, errors.Wrap(err, "reading JSON")
	}
	clean, err := json.Marshal(form.check(&document))
	if err != nil {
		return document, errors.Wrap(err, "reading JSON")
	}
	if err := json.Unmarshal(clean, &document); err != nil {
		return document, errors.Wrap(err, "reading JSON")
	}
	return document, merge(form.problems, check(document)).Err()
}

// merge returns the problems of form and those of content at other places.
func merge(form, content Problems) Problems {
	merged := form
	for _, problem := range content {
		if !form.cover(problem.Path) {
			merged = append(merged, problem)
		}
	}
	return merged
}

// cover reports whether one of the problems is at path or at a place around it.
func (p Problems) cover(path string) bool {
	return slices.ContainsFunc(p, func(problem Problem) bool {
		rest, inside := strings.CutPrefix(path, problem.Path)
		return inside && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

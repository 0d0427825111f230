package bhconf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxNesting is the deepest nesting of a document.
const maxNesting = 16

// clearKey matches a key in clear text.
var clearKey = regexp.MustCompile(`bh_[0-9a-f]{32,}`)

var (
	durationType = reflect.TypeFor[Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// form is a JSON document whose form is checked against a Go type.
type form struct {
	root     any
	problems Problems
}

// newForm reads a document. Fields that stand twice are problems.
func newForm(data []byte) (*form, error) {
	f := &form{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	root, err := f.read(decoder, "", 0)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("there is text after the document")
	}
	f.root = root
	return f, nil
}

func (f *form) read(decoder *json.Decoder, path string, depth int) (any, error) {
	if depth > maxNesting {
		return nil, errors.Errorf("%s is nested more than %d deep", path, maxNesting)
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('['):
		return f.readList(decoder, path, depth)
	case json.Delim('{'):
		return f.readObject(decoder, path, depth)
	}
	return token, nil
}

func (f *form) readList(decoder *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := f.read(decoder, fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token()
	return list, err
}

func (f *form) readObject(decoder *json.Decoder, path string, depth int) (any, error) {
	object := make(map[string]any)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		value, err := f.read(decoder, join(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		if _, twice := object[name]; twice {
			f.problems.add(join(path, name), "stands twice")
		}
		object[name] = value
	}
	_, err := decoder.Token()
	return object, err
}

// check compares the document with the type that target points to. It returns
// the document without the parts that don't fit.
func (f *form) check(target any) any {
	root, _ := f.fit("", f.root, reflect.TypeOf(target).Elem())
	return root
}

func (f *form) fit(path string, value any, kind reflect.Type) (any, bool) {
	if text, ok := value.(string); ok && clearKey.MatchString(text) {
		f.problems.add(path, "holds a key in clear text; write its digest")
		return nil, false
	}
	switch kind {
	case durationType:
		return f.fitText(path, value, `must be a time span such as "1.5s"`, func(text string) bool {
			_, err := time.ParseDuration(text)
			return err == nil
		})
	case timeType:
		return f.fitText(path, value, `must be a time such as "2027-01-31T00:00:00Z"`, func(text string) bool {
			_, err := time.Parse(time.RFC3339, text)
			return err == nil
		})
	}
	switch kind.Kind() {
	case reflect.Struct:
		return f.fitStruct(path, value, kind)
	case reflect.Slice:
		return f.fitList(path, value, kind)
	case reflect.String:
		return f.fitText(path, value, "must be text", func(string) bool { return true })
	case reflect.Bool:
		_, ok := value.(bool)
		return value, f.require(ok, path, "must be true or false")
	case reflect.Int:
		number, ok := value.(json.Number)
		if ok {
			_, err := number.Int64()
			ok = err == nil
		}
		return value, f.require(ok, path, "must be a whole number")
	}
	number, ok := value.(json.Number)
	if ok {
		_, err := number.Float64()
		ok = err == nil
	}
	return value, f.require(ok, path, "must be a number")
}

func (f *form) fitText(path string, value any, message string, valid func(string) bool) (any, bool) {
	text, ok := value.(string)
	return value, f.require(ok && valid(text), path, message)
}

func (f *form) fitList(path string, value any, kind reflect.Type) (any, bool) {
	list, ok := value.([]any)
	if !f.require(ok, path, "must be a list") {
		return nil, false
	}
	fitted := make([]any, len(list))
	for i, element := range list {
		// An element that doesn't fit stays null, so that places keep their numbers.
		if part, ok := f.fit(fmt.Sprintf("%s[%d]", path, i), element, kind.Elem()); ok {
			fitted[i] = part
		}
	}
	return fitted, true
}

func (f *form) fitStruct(path string, value any, kind reflect.Type) (any, bool) {
	object, ok := value.(map[string]any)
	if !f.require(ok, path, "must be an object") {
		return nil, false
	}
	fields := make(map[string]reflect.Type)
	for field := range kind.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	fitted := make(map[string]any)
	for _, name := range sortedNames(object) {
		known, ok := fields[name]
		if !f.require(ok, join(path, name), "unknown field") {
			continue
		}
		if part, ok := f.fit(join(path, name), object[name], known); ok {
			fitted[name] = part
		}
	}
	return fitted, true
}

func (f *form) require(ok bool, path, message string) bool {
	if !ok {
		if path == "" {
			path = "document"
		}
		f.problems.add(path, message)
	}
	return ok
}

func sortedNames(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	return sorted(names, func(name string) string { return name })
}

func join(path, name string) string {
	if clearKey.MatchString(name) {
		name = "(key)"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

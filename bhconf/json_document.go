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

// maxNestingDepth is the largest depth of nested lists and objects in a document.
const maxNestingDepth = 16

// plaintextKeyPattern matches a caller's key in plaintext. Values and field names
// of a document that contain one are not quoted in its problems.
var plaintextKeyPattern = regexp.MustCompile(`bh_[0-9a-f]{32,}`)

var (
	durationType = reflect.TypeFor[Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// jsonDocument is a JSON document whose structure is checked against a Go type.
type jsonDocument struct {
	root     any
	problems Problems
}

// readJSONDocument parses a document and records duplicate fields as problems. It
// returns an error if data isn't exactly one JSON value or is nested too deeply.
func readJSONDocument(data []byte) (*jsonDocument, error) {
	d := &jsonDocument{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	root, err := d.readValue(decoder, "", 0)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("there is text after the document")
	}
	d.root = root
	return d, nil
}

func (d *jsonDocument) readValue(decoder *json.Decoder, path string, depth int) (any, error) {
	if depth > maxNestingDepth {
		return nil, errors.Errorf("%s is nested more than %d deep", path, maxNestingDepth)
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('['):
		return d.readList(decoder, path, depth)
	case json.Delim('{'):
		return d.readObject(decoder, path, depth)
	}
	return token, nil
}

func (d *jsonDocument) readList(decoder *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := d.readValue(decoder, fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token()
	return list, err
}

func (d *jsonDocument) readObject(decoder *json.Decoder, path string, depth int) (any, error) {
	object := make(map[string]any)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		value, err := d.readValue(decoder, joinPath(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		if _, duplicate := object[name]; duplicate {
			d.problems.add(joinPath(path, name), "stands twice")
		}
		object[name] = value
	}
	_, err := decoder.Token()
	return object, err
}

// checkRoot compares the document with the type that target points to. It returns
// the document without the parts that don't match the type, which it records as
// problems.
func (d *jsonDocument) checkRoot(target any) any {
	root, _ := d.checkValue("", d.root, reflect.TypeOf(target).Elem())
	return root
}

// checkValue compares a value with a Go type. It returns the value without its
// invalid fields and elements, and false if the value as a whole is invalid and
// the caller must drop it.
func (d *jsonDocument) checkValue(path string, value any, goType reflect.Type) (any, bool) {
	if text, ok := value.(string); ok && plaintextKeyPattern.MatchString(text) {
		d.problems.add(path, "holds a key in clear text; write its digest")
		return nil, false
	}
	switch goType {
	case durationType:
		return d.checkText(path, value, `must be a time span such as "1.5s"`, func(text string) bool {
			_, err := time.ParseDuration(text)
			return err == nil
		})
	case timeType:
		return d.checkText(path, value, `must be a time such as "2027-01-31T00:00:00Z"`, func(text string) bool {
			_, err := time.Parse(time.RFC3339, text)
			return err == nil
		})
	}
	switch goType.Kind() {
	case reflect.Struct:
		return d.checkStruct(path, value, goType)
	case reflect.Slice:
		return d.checkList(path, value, goType)
	case reflect.String:
		return d.checkText(path, value, "must be text", func(string) bool { return true })
	case reflect.Bool:
		_, ok := value.(bool)
		return value, d.require(ok, path, "must be true or false")
	case reflect.Int:
		number, ok := value.(json.Number)
		if ok {
			_, err := number.Int64()
			ok = err == nil
		}
		return value, d.require(ok, path, "must be a whole number")
	}
	number, ok := value.(json.Number)
	if ok {
		_, err := number.Float64()
		ok = err == nil
	}
	return value, d.require(ok, path, "must be a number")
}

func (d *jsonDocument) checkText(path string, value any, message string, valid func(string) bool) (any, bool) {
	text, ok := value.(string)
	return value, d.require(ok && valid(text), path, message)
}

func (d *jsonDocument) checkList(path string, value any, goType reflect.Type) (any, bool) {
	list, ok := value.([]any)
	if !d.require(ok, path, "must be a list") {
		return nil, false
	}
	validElements := make([]any, len(list))
	for i, element := range list {
		// An invalid element stays null, so that later elements keep their indexes
		// in the paths of problems.
		if valid, ok := d.checkValue(fmt.Sprintf("%s[%d]", path, i), element, goType.Elem()); ok {
			validElements[i] = valid
		}
	}
	return validElements, true
}

func (d *jsonDocument) checkStruct(path string, value any, goType reflect.Type) (any, bool) {
	object, ok := value.(map[string]any)
	if !d.require(ok, path, "must be an object") {
		return nil, false
	}
	fieldTypes := make(map[string]reflect.Type)
	for field := range goType.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fieldTypes[name] = field.Type
	}
	validFields := make(map[string]any)
	for _, name := range sortedNames(object) {
		fieldType, ok := fieldTypes[name]
		if !d.require(ok, joinPath(path, name), "unknown field") {
			continue
		}
		if valid, ok := d.checkValue(joinPath(path, name), object[name], fieldType); ok {
			validFields[name] = valid
		}
	}
	return validFields, true
}

// require records a problem at path unless ok. It returns ok.
func (d *jsonDocument) require(ok bool, path, message string) bool {
	if !ok {
		if path == "" {
			path = "document"
		}
		d.problems.add(path, message)
	}
	return ok
}

func sortedNames(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	return sortedCopy(names, func(name string) string { return name })
}

// joinPath returns the path of the named field of the object at path. It hides a
// name that contains a plaintext key.
func joinPath(path, name string) string {
	if plaintextKeyPattern.MatchString(name) {
		name = "(key)"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

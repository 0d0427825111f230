package bhsync

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// Difference is one entry in the readable list of differences between two
// configurations: an added or removed element, or a changed field.
type Difference struct {
	// Element is the kind and name of the element, such as "account zoo".
	Element string `json:"element"`
	// Field is the changed field; empty if the element was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values as JSON. Old is empty for an added element and
	// New for a removed one.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the difference as one line of text, marked "~" for a changed
// field, "+" for an added and "-" for a removed element.
func (d Difference) String() string {
	switch {
	case d.Field != "":
		return fmt.Sprintf("~ %s: %s %s -> %s", d.Element, d.Field, orNone(d.Old), orNone(d.New))
	case d.Old == "":
		return "+ " + d.Element
	}
	return "- " + d.Element
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// Describe returns the differences between old and next in readable form, by
// kind of element.
func Describe(old, next bhconf.Config) []Difference {
	old = old.Normalized()
	change := Diff(old, next)
	lines := describeList("account", old.Accounts, change.Accounts, accountName)
	lines = append(lines, describeList("model", old.Models, change.Models, modelName)...)
	lines = append(lines, describeList("group", old.Groups, change.Groups, groupName)...)
	lines = append(lines, describeList("upstream", old.Upstreams, change.Upstreams, upstreamName)...)
	return append(lines, describeList("route", old.Routes, change.Routes, routeName)...)
}

func describeList[T any](kind string, old []T, change ListChange[T], name func(T) string) []Difference {
	oldElements := byName(old, name)
	var lines []Difference
	for _, dropped := range change.Drop {
		lines = append(lines, Difference{Element: kind + " " + dropped, Old: jsonText(jsonFields(oldElements[dropped]))})
	}
	for _, element := range change.Put {
		label := kind + " " + name(element)
		previous, ok := oldElements[name(element)]
		if !ok {
			lines = append(lines, Difference{Element: label, New: jsonText(jsonFields(element))})
			continue
		}
		lines = append(lines, compareFields(label, jsonFields(previous), jsonFields(element))...)
	}
	return lines
}

func compareFields(label string, old, next map[string]any) []Difference {
	names := maps.Clone(old)
	maps.Copy(names, next)
	var lines []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !reflect.DeepEqual(old[name], next[name]) {
			lines = append(lines, Difference{Element: label, Field: name, Old: jsonText(old[name]), New: jsonText(next[name])})
		}
	}
	return lines
}

// jsonFields returns the fields of element as decoded from its JSON form, or
// nil if it can't be encoded as a JSON object.
func jsonFields(element any) map[string]any {
	var object map[string]any
	data, err := json.Marshal(element)
	if err != nil || json.Unmarshal(data, &object) != nil {
		return nil
	}
	return object
}

func jsonText(value any) string {
	if value == nil {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(data)
}

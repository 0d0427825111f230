package bhsync

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// Difference is one line of a difference between configurations.
type Difference struct {
	// Element is what changes, such as "account zoo".
	Element string `json:"element"`
	// Field is the field that changes; empty if the element is new or gone.
	Field string `json:"field,omitempty"`
	// Old and New are the values as JSON; Old is empty for a new element and New
	// for one that is gone.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the difference as a line for people.
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

// Describe returns what changes from old to next, for people.
func Describe(old, next bhconf.Config) []Difference {
	old = old.Normalized()
	change := Diff(old, next)
	lines := describe("account", old.Accounts, change.Accounts, accountName)
	lines = append(lines, describe("model", old.Models, change.Models, modelName)...)
	lines = append(lines, describe("group", old.Groups, change.Groups, groupName)...)
	lines = append(lines, describe("upstream", old.Upstreams, change.Upstreams, upstreamName)...)
	return append(lines, describe("route", old.Routes, change.Routes, routeName)...)
}

func describe[T any](kind string, old []T, change List[T], name func(T) string) []Difference {
	before := byName(old, name)
	var lines []Difference
	for _, gone := range change.Drop {
		lines = append(lines, Difference{Element: kind + " " + gone, Old: text(fields(before[gone]))})
	}
	for _, element := range change.Put {
		label := kind + " " + name(element)
		was, ok := before[name(element)]
		if !ok {
			lines = append(lines, Difference{Element: label, New: text(fields(element))})
			continue
		}
		lines = append(lines, compare(label, fields(was), fields(element))...)
	}
	return lines
}

func compare(label string, old, next map[string]any) []Difference {
	names := maps.Clone(old)
	maps.Copy(names, next)
	var lines []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !reflect.DeepEqual(old[name], next[name]) {
			lines = append(lines, Difference{Element: label, Field: name, Old: text(old[name]), New: text(next[name])})
		}
	}
	return lines
}

// fields returns the JSON form of element.
func fields(element any) map[string]any {
	var object map[string]any
	data, err := json.Marshal(element)
	if err != nil || json.Unmarshal(data, &object) != nil {
		return nil
	}
	return object
}

func text(value any) string {
	if value == nil {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(data)
}

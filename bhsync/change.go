package bhsync

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// Change is the difference between two configurations. Its size depends on the
// number of changed elements and not on the size of the configuration.
type Change struct {
	Format    int                         `json:"format"`
	Accounts  ListChange[bhconf.Account]  `json:"accounts,omitzero"`
	Models    ListChange[bhconf.Model]    `json:"models,omitzero"`
	Groups    ListChange[bhconf.Group]    `json:"groups,omitzero"`
	Upstreams ListChange[bhconf.Upstream] `json:"upstreams,omitzero"`
	Routes    ListChange[bhconf.Route]    `json:"routes,omitzero"`
}

// ListChange is the difference between two versions of a list of named
// elements.
type ListChange[T any] struct {
	// Put holds the elements that were added or changed.
	Put []T `json:"put,omitempty"`
	// Drop holds the names of the removed elements, sorted.
	Drop []string `json:"drop,omitempty"`
}

// IsZero reports whether the lists are equal.
func (l ListChange[T]) IsZero() bool { return len(l.Put) == 0 && len(l.Drop) == 0 }

// Len returns the number of elements that were added, changed or removed.
func (l ListChange[T]) Len() int { return len(l.Put) + len(l.Drop) }

// Len returns the number of elements that were added, changed or removed in all
// lists.
func (c Change) Len() int {
	return c.Accounts.Len() + c.Models.Len() + c.Groups.Len() + c.Upstreams.Len() + c.Routes.Len()
}

// Diff returns the change that turns old into next.
func Diff(old, next bhconf.Config) Change {
	old, next = old.Normalized(), next.Normalized()
	return Change{
		Format:    next.Format,
		Accounts:  diffList(old.Accounts, next.Accounts, accountName),
		Models:    diffList(old.Models, next.Models, modelName),
		Groups:    diffList(old.Groups, next.Groups, groupName),
		Upstreams: diffList(old.Upstreams, next.Upstreams, upstreamName),
		Routes:    diffList(old.Routes, next.Routes, routeName),
	}
}

// Patch returns old with change applied, in normal form. It doesn't modify old.
func Patch(old bhconf.Config, change Change) bhconf.Config {
	return bhconf.Config{
		Format:    change.Format,
		Accounts:  patchList(old.Accounts, change.Accounts, accountName),
		Models:    patchList(old.Models, change.Models, modelName),
		Groups:    patchList(old.Groups, change.Groups, groupName),
		Upstreams: patchList(old.Upstreams, change.Upstreams, upstreamName),
		Routes:    patchList(old.Routes, change.Routes, routeName),
	}.Normalized()
}

// Encode returns the change as JSON, the form in which it is stored and sent.
func (c Change) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "change")
}

func decodeChange(data []byte) (Change, error) {
	var change Change
	err := json.Unmarshal(data, &change)
	return change, errors.Wrap(err, "change")
}

func diffList[T any](old, next []T, name func(T) string) ListChange[T] {
	var change ListChange[T]
	oldElements := byName(old, name)
	for _, element := range next {
		previous, ok := oldElements[name(element)]
		if !ok || !reflect.DeepEqual(previous, element) {
			change.Put = append(change.Put, element)
		}
		delete(oldElements, name(element))
	}
	for dropped := range oldElements {
		change.Drop = append(change.Drop, dropped)
	}
	slices.Sort(change.Drop)
	return change
}

func patchList[T any](old []T, change ListChange[T], name func(T) string) []T {
	put := byName(change.Put, name)
	next := make([]T, 0, len(old)+len(change.Put))
	for _, element := range old {
		_, replaced := put[name(element)]
		if !replaced && !slices.Contains(change.Drop, name(element)) {
			next = append(next, element)
		}
	}
	next = append(next, change.Put...)
	slices.SortStableFunc(next, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return next
}

func byName[T any](list []T, name func(T) string) map[string]T {
	elements := make(map[string]T, len(list))
	for _, element := range list {
		elements[name(element)] = element
	}
	return elements
}

func accountName(a bhconf.Account) string   { return a.Name }
func modelName(m bhconf.Model) string       { return m.Name }
func groupName(g bhconf.Group) string       { return g.Name }
func upstreamName(u bhconf.Upstream) string { return u.Name }
func routeName(r bhconf.Route) string       { return r.Prefix }

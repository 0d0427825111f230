package bhsync

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// Change is the difference between two configurations. Its size grows with
// what changed and not with the configuration.
type Change struct {
	Format    int                   `json:"format"`
	Accounts  List[bhconf.Account]  `json:"accounts,omitzero"`
	Models    List[bhconf.Model]    `json:"models,omitzero"`
	Groups    List[bhconf.Group]    `json:"groups,omitzero"`
	Upstreams List[bhconf.Upstream] `json:"upstreams,omitzero"`
	Routes    List[bhconf.Route]    `json:"routes,omitzero"`
}

// List is the change of one list of named elements.
type List[T any] struct {
	// Put holds the elements that are new or different.
	Put []T `json:"put,omitempty"`
	// Drop holds the names of the elements that went.
	Drop []string `json:"drop,omitempty"`
}

// IsZero reports whether nothing changed.
func (l List[T]) IsZero() bool { return len(l.Put) == 0 && len(l.Drop) == 0 }

// Len returns the number of elements that changed.
func (l List[T]) Len() int { return len(l.Put) + len(l.Drop) }

// Len returns the number of elements that changed.
func (c Change) Len() int {
	return c.Accounts.Len() + c.Models.Len() + c.Groups.Len() + c.Upstreams.Len() + c.Routes.Len()
}

// Diff returns the change that leads from old to next.
func Diff(old, next bhconf.Config) Change {
	old, next = old.Normalized(), next.Normalized()
	return Change{
		Format:    next.Format,
		Accounts:  diff(old.Accounts, next.Accounts, accountName),
		Models:    diff(old.Models, next.Models, modelName),
		Groups:    diff(old.Groups, next.Groups, groupName),
		Upstreams: diff(old.Upstreams, next.Upstreams, upstreamName),
		Routes:    diff(old.Routes, next.Routes, routeName),
	}
}

// Patch returns the configuration that change makes of old. It doesn't alter old.
func Patch(old bhconf.Config, change Change) bhconf.Config {
	return bhconf.Config{
		Format:    change.Format,
		Accounts:  patch(old.Accounts, change.Accounts, accountName),
		Models:    patch(old.Models, change.Models, modelName),
		Groups:    patch(old.Groups, change.Groups, groupName),
		Upstreams: patch(old.Upstreams, change.Upstreams, upstreamName),
		Routes:    patch(old.Routes, change.Routes, routeName),
	}.Normalized()
}

// Encode returns the change as JSON.
func (c Change) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "change")
}

func decodeChange(data []byte) (Change, error) {
	var change Change
	err := json.Unmarshal(data, &change)
	return change, errors.Wrap(err, "change")
}

func diff[T any](old, next []T, name func(T) string) List[T] {
	var change List[T]
	before := byName(old, name)
	for _, element := range next {
		was, ok := before[name(element)]
		if !ok || !reflect.DeepEqual(was, element) {
			change.Put = append(change.Put, element)
		}
		delete(before, name(element))
	}
	for gone := range before {
		change.Drop = append(change.Drop, gone)
	}
	slices.Sort(change.Drop)
	return change
}

func patch[T any](old []T, change List[T], name func(T) string) []T {
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
	named := make(map[string]T, len(list))
	for _, element := range list {
		named[name(element)] = element
	}
	return named
}

func accountName(a bhconf.Account) string   { return a.Name }
func modelName(m bhconf.Model) string       { return m.Name }
func groupName(g bhconf.Group) string       { return g.Name }
func upstreamName(u bhconf.Upstream) string { return u.Name }
func routeName(r bhconf.Route) string       { return r.Prefix }

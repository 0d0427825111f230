package bhconf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Normalized returns a normalized copy of the configuration: lists are sorted by
// name, nil lists are empty and times are in UTC. The order of lists has no
// meaning in a configuration.
func (c Config) Normalized() Config {
	c.Accounts = sortedCopy(c.Accounts, func(a Account) string { return a.Name })
	c.Models = sortedCopy(c.Models, func(m Model) string { return m.Name })
	c.Groups = sortedCopy(c.Groups, func(g Group) string { return g.Name })
	c.Upstreams = sortedCopy(c.Upstreams, func(u Upstream) string { return u.Name })
	c.Routes = sortedCopy(c.Routes, func(r Route) string { return r.Prefix })
	for i := range c.Accounts {
		account := &c.Accounts[i]
		account.Keys = sortedCopy(account.Keys, func(k Key) string { return k.Name })
		for j := range account.Keys {
			account.Keys[j].Expires = account.Keys[j].Expires.UTC()
		}
	}
	for i := range c.Routes {
		c.Routes[i].Idempotent = sortedCopy(c.Routes[i].Idempotent, func(m string) string { return m })
	}
	return c
}

// Canonical returns the normalized configuration as indented JSON that ends in a
// newline. Configurations that differ only in the order of their lists give the
// same bytes.
func (c Config) Canonical() ([]byte, error) {
	data, err := json.MarshalIndent(c.Normalized(), "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	return append(data, '\n'), nil
}

// Digest returns "sha256:" and the lower-case hexadecimal SHA-256 of the
// canonical form.
func (c Config) Digest() (string, error) {
	data, err := c.Canonical()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return "sha256:" + hex.EncodeToString(sum[:]), nil
}

// sortedCopy returns a copy of list sorted by key. Elements with equal keys keep
// their order. The copy of a nil list is empty.
func sortedCopy[T any](list []T, key func(T) string) []T {
	copied := append([]T{}, list...)
	slices.SortStableFunc(copied, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return copied
}

package bhconf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Normal returns a copy of the configuration in which lists are sorted by name,
// no list is nil and times are in UTC. Order has no meaning in a configuration.
func (c Config) Normal() Config {
	c.Accounts = sorted(c.Accounts, func(a Account) string { return a.Name })
	c.Models = sorted(c.Models, func(m Model) string { return m.Name })
	c.Groups = sorted(c.Groups, func(g Group) string { return g.Name })
	c.Upstreams = sorted(c.Upstreams, func(u Upstream) string { return u.Name })
	c.Routes = sorted(c.Routes, func(r Route) string { return r.Prefix })
	for i := range c.Accounts {
		account := &c.Accounts[i]
		account.Keys = sorted(account.Keys, func(k Key) string { return k.Name })
		for j := range account.Keys {
			account.Keys[j].Expires = account.Keys[j].Expires.UTC()
		}
	}
	for i := range c.Routes {
		c.Routes[i].Idempotent = sorted(c.Routes[i].Idempotent, func(m string) string { return m })
	}
	return c
}

// Canonical returns the one JSON form of the configuration: configurations that
// differ only in the order of their lists give the same bytes.
func (c Config) Canonical() ([]byte, error) {
	data, err := json.MarshalIndent(c.Normal(), "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	return append(data, '\n'), nil
}

// Digest returns "sha256:" and the hexadecimal SHA-256 of the canonical form.
func (c Config) Digest() (string, error) {
	data, err := c.Canonical()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return "sha256:" + hex.EncodeToString(sum[:]), nil
}

func sorted[T any](list []T, name func(T) string) []T {
	copied := append([]T{}, list...)
	slices.SortStableFunc(copied, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return copied
}

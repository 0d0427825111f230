// Package bhsync keeps the configuration in force on a host: it accepts pushes
// from operators, moves the host to newer versions only, and spreads versions
// and revoked keys among hosts, with and without the platform.
package bhsync

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Snapshot is one version of the configuration with its lookup tables. It
// doesn't change, so a request that works with one sees no half of a change.
type Snapshot struct {
	Version int64
	// Digest is that of the canonical form of Config.
	Digest string
	Config bhconf.Config
	Keys   *bhkey.Index

	accounts  map[string]bhconf.Account
	models    map[string]bhconf.Model
	groups    map[string]bhconf.Group
	upstreams map[string]bhconf.Upstream
	members   map[string][]bhconf.Upstream
	hosts     map[string][]bhconf.Upstream
	whole     func() (bhwire.Config, error)
}

// NewSnapshot returns the snapshot of config as the given version.
func NewSnapshot(version int64, config bhconf.Config) (*Snapshot, error) {
	config = config.Normalized()
	digest, err := config.Digest()
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:   version,
		Digest:    digest,
		Config:    config,
		Keys:      bhkey.NewIndex(config),
		accounts:  byName(config.Accounts, accountName),
		models:    byName(config.Models, modelName),
		groups:    byName(config.Groups, groupName),
		upstreams: byName(config.Upstreams, upstreamName),
		members:   make(map[string][]bhconf.Upstream),
		hosts:     make(map[string][]bhconf.Upstream),
	}
	s.whole = sync.OnceValues(s.encode)
	for _, upstream := range config.Upstreams {
		s.members[upstream.Group] = append(s.members[upstream.Group], upstream)
		s.hosts[upstream.Host] = append(s.hosts[upstream.Host], upstream)
	}
	return s, nil
}

// Whole returns the message that carries the whole snapshot.
func (s *Snapshot) Whole() (bhwire.Config, error) { return s.whole() }

func (s *Snapshot) encode() (bhwire.Config, error) {
	body, err := json.Marshal(s.Config)
	if err != nil {
		return bhwire.Config{}, errors.Wrap(err, "configuration")
	}
	return bhwire.Config{Version: s.Version, Digest: s.Digest, Body: body}, nil
}

// Account returns the client account with the name.
func (s *Snapshot) Account(name string) (bhconf.Account, bool) {
	account, ok := s.accounts[name]
	return account, ok
}

// Model returns the model with the name.
func (s *Snapshot) Model(name string) (bhconf.Model, bool) {
	model, ok := s.models[name]
	return model, ok
}

// Group returns the upstream group with the name.
func (s *Snapshot) Group(name string) (bhconf.Group, bool) {
	group, ok := s.groups[name]
	return group, ok
}

// Upstream returns the upstream with the name.
func (s *Snapshot) Upstream(name string) (bhconf.Upstream, bool) {
	upstream, ok := s.upstreams[name]
	return upstream, ok
}

// Members returns the upstreams of a group. The caller must not change them.
func (s *Snapshot) Members(group string) []bhconf.Upstream { return s.members[group] }

// Host returns the upstreams behind a host's sidecar. The caller must not
// change them.
func (s *Snapshot) Host(name string) []bhconf.Upstream { return s.hosts[name] }

// Route returns the route with the longest prefix that path starts with. A
// prefix matches whole path segments.
func (s *Snapshot) Route(path string) (bhconf.Route, bool) {
	var best bhconf.Route
	found := false
	for _, route := range s.Config.Routes {
		if matches(route.Prefix, path) && (!found || len(route.Prefix) > len(best.Prefix)) {
			best, found = route, true
		}
	}
	return best, found
}

func matches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Package bhsync accepts configuration pushes from operators, keeps the current
// configuration and the revoked keys of each host, and distributes both among
// hosts, with or without the platform. Entries and sidecars call it to run a
// Node and to look up keys and upstreams, and the admin API calls it for
// pushes, revocations and the history.
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

// Snapshot is one version of the configuration with its lookup tables. It is
// immutable, so a request that uses one snapshot never sees a change in part.
type Snapshot struct {
	Version int64
	// Digest is the digest of the canonical form of Config.
	Digest string
	Config bhconf.Config
	// Keys is the lookup table of the client accounts' API keys.
	Keys *bhkey.Index

	accounts       map[string]bhconf.Account
	models         map[string]bhconf.Model
	groups         map[string]bhconf.Group
	upstreams      map[string]bhconf.Upstream
	groupUpstreams map[string][]bhconf.Upstream
	hostUpstreams  map[string][]bhconf.Upstream
	fullMessage    func() (bhwire.Config, error)
}

// NewSnapshot returns a snapshot of config, in normal form, with the given
// version.
func NewSnapshot(version int64, config bhconf.Config) (*Snapshot, error) {
	config = config.Normalized()
	digest, err := config.Digest()
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:        version,
		Digest:         digest,
		Config:         config,
		Keys:           bhkey.NewIndex(config),
		accounts:       byName(config.Accounts, accountName),
		models:         byName(config.Models, modelName),
		groups:         byName(config.Groups, groupName),
		upstreams:      byName(config.Upstreams, upstreamName),
		groupUpstreams: make(map[string][]bhconf.Upstream),
		hostUpstreams:  make(map[string][]bhconf.Upstream),
	}
	s.fullMessage = sync.OnceValues(s.encodeFull)
	for _, upstream := range config.Upstreams {
		s.groupUpstreams[upstream.Group] = append(s.groupUpstreams[upstream.Group], upstream)
		s.hostUpstreams[upstream.Host] = append(s.hostUpstreams[upstream.Host], upstream)
	}
	return s, nil
}

// FullMessage returns a message with the full configuration. It is encoded only
// once.
func (s *Snapshot) FullMessage() (bhwire.Config, error) { return s.fullMessage() }

func (s *Snapshot) encodeFull() (bhwire.Config, error) {
	body, err := json.Marshal(s.Config)
	if err != nil {
		return bhwire.Config{}, errors.Wrap(err, "configuration")
	}
	return bhwire.Config{Version: s.Version, Digest: s.Digest, Body: body}, nil
}

// Account returns the client account with the given name.
func (s *Snapshot) Account(name string) (bhconf.Account, bool) {
	account, ok := s.accounts[name]
	return account, ok
}

// Model returns the model with the given name.
func (s *Snapshot) Model(name string) (bhconf.Model, bool) {
	model, ok := s.models[name]
	return model, ok
}

// Group returns the upstream group with the given name.
func (s *Snapshot) Group(name string) (bhconf.Group, bool) {
	group, ok := s.groups[name]
	return group, ok
}

// Upstream returns the upstream with the given name.
func (s *Snapshot) Upstream(name string) (bhconf.Upstream, bool) {
	upstream, ok := s.upstreams[name]
	return upstream, ok
}

// GroupUpstreams returns the upstreams of a group. The caller must not modify
// the slice.
func (s *Snapshot) GroupUpstreams(group string) []bhconf.Upstream { return s.groupUpstreams[group] }

// HostUpstreams returns the upstreams behind the sidecar of the host with the
// given name. The caller must not modify the slice.
func (s *Snapshot) HostUpstreams(name string) []bhconf.Upstream { return s.hostUpstreams[name] }

// Route returns the route with the longest prefix of path. A prefix matches
// only complete path segments.
func (s *Snapshot) Route(path string) (bhconf.Route, bool) {
	var best bhconf.Route
	found := false
	for _, route := range s.Config.Routes {
		if prefixMatches(route.Prefix, path) && (!found || len(route.Prefix) > len(best.Prefix)) {
			best, found = route, true
		}
	}
	return best, found
}

func prefixMatches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

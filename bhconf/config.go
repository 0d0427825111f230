// Package bhconf defines, parses and validates the two inputs of baobabhaven: the
// settings of one daemon and the configuration of the fleet. The command line, the
// operators' API, the daemons and the programs with which operators generate
// configurations use it.
package bhconf

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Format is the supported version of the configuration format.
const Format = 1

// Config declares the whole fleet. Operators keep it in version control. Exactly
// one version of it is in force on a host at any time.
type Config struct {
	Format    int        `json:"format"`
	Accounts  []Account  `json:"accounts"`
	Models    []Model    `json:"models"`
	Groups    []Group    `json:"groups"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes"`
}

// Account is a client account with its keys, its rate limit and its weight.
type Account struct {
	Name string `json:"name"`
	// Rate is the sustained rate in requests per second over all hosts.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may arrive at once over all hosts.
	Burst float64 `json:"burst"`
	// Weight is the account's share of contended upstreams relative to the
	// weights of other accounts; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	Keys   []Key   `json:"keys,omitempty"`
}

// Key is a caller's key. The configuration holds only its digest.
type Key struct {
	// Name is unique among the keys of the account.
	Name string `json:"name"`
	// Digest is "sha256:" and the lower-case hexadecimal SHA-256 of the key.
	Digest string `json:"digest"`
	// Expires is when the key expires; zero means never.
	Expires time.Time `json:"expires,omitzero"`
}

// Model is a model or adapter that engines load.
type Model struct {
	Name string `json:"name"`
	// Version is the version that engines of the group should serve.
	Version string `json:"version"`
	// Group is the upstream group whose engines serve the model.
	Group string `json:"group"`
}

// Kind is the type of the upstreams of a group.
type Kind string

// Kinds of upstream groups.
const (
	// KindEngine is the kind of inference engines, which serve models.
	KindEngine Kind = "engine"
	// KindPlain is the kind of plain HTTP services, which routes lead to.
	KindPlain Kind = "plain"
)

// Group is a set of upstreams that can replace each other.
type Group struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Rise is the share by which batch work may raise the 99th percentile of the
	// time between tokens of live requests, from 0 to 1; zero means 0.05. With a
	// higher value, batch work gets more of the group's engines.
	Rise float64 `json:"rise,omitempty"`
}

// State is whether an upstream receives new requests. The empty State means
// StateServe.
type State string

// States of an upstream.
const (
	StateServe State = "serve"
	// StateLeave is the state of an upstream that is being removed: it gets no
	// new requests.
	StateLeave State = "leave"
)

// Upstream is one back end behind a sidecar.
type Upstream struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	// Host is the name of the sidecar's host.
	Host string `json:"host"`
	// Address is the IP address and port of the upstream.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// Fenced is whether the upstream itself checks fencing tokens.
	Fenced bool  `json:"fenced,omitempty"`
	State  State `json:"state,omitempty"`
}

// Route sends requests for a path prefix to a group of plain services.
type Route struct {
	Prefix string `json:"prefix"`
	Group  string `json:"group"`
	// Open is whether requests need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent lists the methods that may run more than once.
	Idempotent []string `json:"idempotent,omitempty"`
	// Timeout limits the duration of a request; zero means DefaultRouteTimeout.
	Timeout Duration `json:"timeout,omitzero"`
}

// DefaultRouteTimeout is the timeout of requests on routes without a timeout.
const DefaultRouteTimeout = 30 * time.Second

// Duration is a time.Duration that is encoded in JSON as a string, such as
// "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from a string. It returns an error if the
// value isn't a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "duration")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}

// Package bhconf defines the two inputs of baobabhaven, the settings of one
// process and the configuration of the fleet, and checks them.
package bhconf

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Format is the version of the configuration's format.
const Format = 1

// Config is the declaration of the whole fleet. Operators keep it in version
// control; exactly one version of it is in force on a host at any time.
type Config struct {
	Format    int        `json:"format"`
	Accounts  []Account  `json:"accounts"`
	Models    []Model    `json:"models"`
	Groups    []Group    `json:"groups"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes"`
}

// Account is a client account with its keys and its share of the fleet.
type Account struct {
	Name string `json:"name"`
	// Rate is the sustained rate in requests per second over all hosts.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may come at once over all hosts.
	Burst float64 `json:"burst"`
	// Weight is the account's share of contended upstreams; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	Keys   []Key   `json:"keys,omitempty"`
}

// Key is a caller's key, known by its digest only.
type Key struct {
	// Name tells the key from others of its account.
	Name string `json:"name"`
	// Digest is "sha256:" and the hexadecimal SHA-256 of the key.
	Digest string `json:"digest"`
	// Expires is when the key stops working; zero means never.
	Expires time.Time `json:"expires,omitzero"`
}

// Model is a model or adapter that engines load.
type Model struct {
	Name string `json:"name"`
	// Version is the version that engines of the groups should serve.
	Version string `json:"version"`
	// Group is the upstream group whose engines serve the model.
	Group string `json:"group"`
}

// Kind says what the upstreams of a group are.
type Kind string

// Kinds of upstream groups.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Group is a set of upstreams that can replace each other.
type Group struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Rise is the allowed rise of the 99th percentile of the time between tokens
	// of live requests, at most 1; zero means 0.05. Batch work gets more of the
	// group's engines with a higher one.
	Rise float64 `json:"rise,omitempty"`
}

// State says whether an upstream serves or leaves.
type State string

// States of an upstream.
const (
	StateServe State = "serve"
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
	// Fenced says whether the upstream itself checks fencing numbers.
	Fenced bool  `json:"fenced,omitempty"`
	State  State `json:"state,omitempty"`
}

// Route leads requests for a path prefix to a group of plain services.
type Route struct {
	Prefix string `json:"prefix"`
	Group  string `json:"group"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent lists the methods that may run more than once.
	Idempotent []string `json:"idempotent,omitempty"`
	// Timeout bounds a request; zero means DefaultRouteTimeout.
	Timeout Duration `json:"timeout,omitzero"`
}

// DefaultRouteTimeout bounds requests on routes that name no timeout.
const DefaultRouteTimeout = 30 * time.Second

// Duration is a time span written in JSON as text, such as "1.5s".
type Duration time.Duration

// MarshalJSON writes the span as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the span from text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "duration")
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(span)
	return nil
}

// Package bhadmin implements the HTTP API with which operators manage an entry's
// configuration and revoke keys, and a client of it. Entries (bhentry) serve the API,
// and the operators' commands (bhcmd) call it.
package bhadmin

import (
	"encoding/json"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

// Paths of the API at the admin address.
const (
	PathConfig  = "/admin/config"
	PathHistory = "/admin/history"
	PathStatus  = "/admin/status"
	PathRevoke  = "/admin/revoke"
)

// ConfigReply is one version of the configuration.
type ConfigReply struct {
	Version int64         `json:"version"`
	Digest  string        `json:"digest"`
	Config  bhconf.Config `json:"config"`
	// Revoked holds the digests of revoked keys that the configuration names.
	Revoked []string `json:"revoked"`
}

// PushRequest requests a new version of the configuration.
type PushRequest struct {
	// ID is the idempotency key of the push: a retry has the same ID.
	ID string `json:"id"`
	// Base is the version on which the push is based; 0 for the first push.
	Base   int64           `json:"base"`
	Note   string          `json:"note"`
	Config json.RawMessage `json:"config"`
}

// PushReply is the result of a push.
type PushReply struct {
	bhsync.PushResult
	// Changes lists what the push changes; after a conflict it lists what changed
	// since the push's base. It is empty if the entry can't read the versions
	// to compare.
	Changes []bhsync.Difference `json:"changes"`
}

// HistoryReply lists versions, newest first.
type HistoryReply struct {
	Versions []bhsync.HistoryRecord `json:"versions"`
}

// StatusReply holds the entry's own version and the version of each host.
type StatusReply struct {
	Version int64               `json:"version"`
	Digest  string              `json:"digest"`
	Hosts   []bhsync.HostStatus `json:"hosts"`
	// Pending is the number of revoked keys that aren't known to be recorded on the
	// platform.
	Pending int `json:"pending"`
}

// RevokeRequest holds the digests of the keys to revoke.
type RevokeRequest struct {
	Digests []string `json:"digests"`
}

// ErrorReply is the reply to a failed request. Problems lists what is wrong with
// a pushed configuration.
type ErrorReply struct {
	Code     int             `json:"code"`
	Message  string          `json:"message"`
	Problems bhconf.Problems `json:"problems,omitempty"`
}

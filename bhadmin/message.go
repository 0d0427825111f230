// Package bhadmin is the operators' API of an entry and its client.
package bhadmin

import (
	"encoding/json"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

// Paths of the API, below the admin address.
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

// PushRequest asks for a new version.
type PushRequest struct {
	// ID identifies the push; one that is sent again has the same.
	ID     string          `json:"id"`
	Base   int64           `json:"base"`
	Note   string          `json:"note"`
	Config json.RawMessage `json:"config"`
}

// PushReply says what became of a push.
type PushReply struct {
	bhsync.PushResult
	// Changes is what the push changes; after a conflict it is what changed
	// since its base.
	Changes []bhsync.Difference `json:"changes"`
}

// HistoryReply lists versions, newest first.
type HistoryReply struct {
	Versions []bhsync.HistoryRecord `json:"versions"`
}

// StatusReply says which host has which version.
type StatusReply struct {
	Version int64               `json:"version"`
	Digest  string              `json:"digest"`
	Hosts   []bhsync.HostStatus `json:"hosts"`
	// Pending is the number of revoked keys not known to be on the platform.
	Pending int `json:"pending"`
}

// RevokeRequest names keys to be stopped.
type RevokeRequest struct {
	Digests []string `json:"digests"`
}

// ErrorReply is the answer to a request that failed.
type ErrorReply struct {
	Code     int             `json:"code"`
	Message  string          `json:"message"`
	Problems bhconf.Problems `json:"problems,omitempty"`
}

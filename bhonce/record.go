// Package bhonce makes a non-idempotent request that carries an idempotency
// key run at most once in the fleet: the key is claimed in the platform's table
// before the request is sent, and the answer is kept for resends.
package bhonce

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Prefix starts the keys of all rows and objects of this package.
const Prefix = "once/"

// Limits and times of claims.
const (
	// Keep is how long a claim and its answer are kept.
	Keep = 24 * time.Hour
	// MaxKey is the longest idempotency key in bytes.
	MaxKey = 255
	// MaxRowBody is the largest body kept in a row; larger ones are objects.
	MaxRowBody = 16 << 10
	// deadlineGrace is added to a claim's deadline for clocks that differ.
	deadlineGrace = 5 * time.Second
	stillRetry    = time.Second
)

// state says how far a claim has come.
type state string

const (
	stateRunning state = "running"
	stateDone    state = "done"
	stateUnknown state = "unknown"
)

// Answer is the whole answer to a request.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body,omitempty"`
}

// record is the value of a claim's row.
type record struct {
	// ID is unique to the claim.
	ID     string `json:"id"`
	Digest string `json:"digest"`
	State  state  `json:"state"`
	// Host is the entry that holds the claim, for operators.
	Host     string    `json:"host"`
	Claimed  time.Time `json:"claimed"`
	Deadline time.Time `json:"deadline"`
	Answer   *Answer   `json:"answer,omitempty"`
	// Object names the answer's body if it is too large for the row.
	Object string `json:"object,omitempty"`
}

// row is a record with its version in the table.
type row struct {
	record
	version bhplatform.Version
}

func rowKey(account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + account + "/" + hex.EncodeToString(sum[:])
}

func decodeRow(from bhplatform.Row) (row, error) {
	var r record
	if err := json.Unmarshal(from.Value, &r); err != nil {
		return row{}, errors.Wrapf(err, "row %s", from.Key)
	}
	return row{record: r, version: from.Version}, nil
}

// refusal returns the error for a request whose key the row claims, or nil if
// the row holds the answer.
func (r record) refusal(digest string, now time.Time) error {
	switch {
	case r.Digest != digest:
		return bhcode.New(bhcode.KeyReused, "the idempotency key belongs to another request")
	case r.State == stateDone:
		return nil
	case r.State == stateRunning && now.Before(r.Deadline.Add(deadlineGrace)):
		err := bhcode.New(bhcode.StillRunning, "the first request with this key is still running")
		return err.WithRan(bhcode.RanUnknown).WithRetryAfter(stillRetry)
	}
	return bhcode.New(bhcode.OutcomeUnknown, "the first request with this key may have run").WithRan(bhcode.RanUnknown)
}

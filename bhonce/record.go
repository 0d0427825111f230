// Package bhonce ensures that a non-idempotent request with an idempotency key
// runs at most once in the fleet. Entries claim the key in the platform's table
// before they send the request to an upstream, and store the answer, which they
// return when the client sends the request again.
package bhonce

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Prefix starts the table keys and object names of this package.
const Prefix = "once/"

// Limits and retention of claims.
const (
	// Retention is how long a claim and its answer are kept.
	Retention = 24 * time.Hour
	// MaxKeyBytes is the maximum length of an idempotency key in bytes.
	MaxKeyBytes = 255
	// MaxRowBodyBytes is the maximum size in bytes of an answer's body in a
	// row. A larger body is stored as an object.
	MaxRowBodyBytes = 16 << 10
	// clockSkewAllowance is added to a claim's deadline, because the clocks of
	// the hosts may differ.
	clockSkewAllowance = 5 * time.Second
	// runningRetryAfter is the retry delay advised to clients while the first
	// request with the key still runs.
	runningRetryAfter = time.Second
)

// claimState is the state of a claim's request.
type claimState string

const (
	// stateRunning means that the claim has not ended.
	stateRunning claimState = "running"
	// stateDone means that the request ran and its answer is stored.
	stateDone claimState = "done"
	// stateUnknown means that it isn't known whether the request ran.
	stateUnknown claimState = "unknown"
)

// Answer is the complete HTTP response to a request.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body,omitempty"`
}

// storedAnswer is the JSON form of an Answer.
type storedAnswer struct {
	*plainAnswer
	// HeaderBytes holds the header fields with a value that isn't UTF-8, of which
	// encoding/json replaces bytes in Header. Earlier versions ignore it.
	HeaderBytes map[string][][]byte `json:"headerbytes,omitempty"`
}

// plainAnswer is an Answer without its methods.
type plainAnswer Answer

// MarshalJSON implements json.Marshaler.
func (a Answer) MarshalJSON() ([]byte, error) {
	stored := storedAnswer{plainAnswer: (*plainAnswer)(&a)}
	for name, values := range a.Header {
		if !slices.ContainsFunc(values, func(value string) bool { return !utf8.ValidString(value) }) {
			continue
		}
		if stored.HeaderBytes == nil {
			stored.HeaderBytes = make(map[string][][]byte)
		}
		for _, value := range values {
			stored.HeaderBytes[name] = append(stored.HeaderBytes[name], []byte(value))
		}
	}
	return json.Marshal(stored)
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Answer) UnmarshalJSON(data []byte) error {
	stored := storedAnswer{plainAnswer: (*plainAnswer)(a)}
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	if a.Header == nil {
		a.Header = make(http.Header)
	}
	for name, values := range stored.HeaderBytes {
		a.Header[name] = nil
		for _, value := range values {
			a.Header[name] = append(a.Header[name], string(value))
		}
	}
	return nil
}

// record is the value of a claim's row in the table.
type record struct {
	// ID is unique to the claim.
	ID     string     `json:"id"`
	Digest string     `json:"digest"`
	State  claimState `json:"state"`
	// Host names the entry that made the claim. Only operators use it.
	Host      string    `json:"host"`
	ClaimedAt time.Time `json:"claimed"`
	Deadline  time.Time `json:"deadline"`
	Answer    *Answer   `json:"answer,omitempty"`
	// BodyObject names the object with the answer's body if the body is larger
	// than MaxRowBodyBytes.
	BodyObject string `json:"object,omitempty"`
}

// row is a record with the version of its row in the table.
type row struct {
	record
	version bhplatform.Version
}

// rowKey returns the key of the claim's row. The idempotency key is hashed.
func rowKey(account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + account + "/" + hex.EncodeToString(sum[:])
}

func decodeRow(tableRow bhplatform.Row) (row, error) {
	var r record
	if err := json.Unmarshal(tableRow.Value, &r); err != nil {
		return row{}, errors.Wrapf(err, "decode claim row %s", tableRow.Key)
	}
	return row{record: r, version: tableRow.Version}, nil
}

// refusal returns the error for a later request with the digest whose key the
// record claims, or nil if the first request is done. The error is KeyReused if
// the digests differ, StillRunning until the claim's deadline, and
// OutcomeUnknown afterwards or if the claim ended without a known outcome.
func (r record) refusal(digest string, now time.Time) error {
	switch {
	case r.Digest != digest:
		return bhcode.New(bhcode.KeyReused, "the idempotency key belongs to another request")
	case r.State == stateDone:
		return nil
	case r.State == stateRunning && now.Before(r.Deadline.Add(clockSkewAllowance)):
		err := bhcode.New(bhcode.StillRunning, "the first request with this key is still running")
		return err.WithRan(bhcode.RanUnknown).WithRetryAfter(runningRetryAfter)
	}
	return bhcode.New(bhcode.OutcomeUnknown, "the first request with this key may have run").WithRan(bhcode.RanUnknown)
}

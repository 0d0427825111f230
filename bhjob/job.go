// Package bhjob accepts batch jobs, keeps them in the platform's store, runs
// their items beside live requests, and lists each item's result once.
//
// A job is one record that changes by compare-and-set. Whoever holds a claim
// on an item runs it; only the change of the record that lists a result
// decides, so a late holder of a lost claim lists nothing.
package bhjob

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Item is one request of a job.
type Item struct {
	ID string `cbor:"1,keyasint"`
	// Target is the request target of the item at an upstream.
	Target string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens is the sum of the prompt and the longest output.
	Tokens int64 `cbor:"5,keyasint"`
}

// Submission is a job as a client sent it.
type Submission struct {
	ID      string
	Account string
	// Route and Host are those of the route that took the job.
	Route string
	Host  string
	Items []Item
	// RunTarget and Retention count from the acceptance.
	RunTarget time.Duration
	Retention time.Duration
	// Attempts is how often an item may fail before it is given up.
	Attempts int
	// MaxQueued bounds the waiting tokens of the account on the route; zero
	// means no bound.
	MaxQueued int64
}

// Status is the state of an item.
type Status int

// States of an item.
const (
	Waiting Status = iota
	Claimed
	Completed
	// Dead items were given up.
	Dead
)

// ItemState is what a job's record holds of an item.
type ItemState struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint,omitempty"`
	// Holder is the runner that claimed the item.
	Holder string `cbor:"4,keyasint,omitempty"`
	// Failures counts runs that ended with a failure of the upstream.
	Failures int `cbor:"5,keyasint,omitempty"`
	// SavedBy is the holder whose checkpoint of the item's output may be stored.
	SavedBy string `cbor:"7,keyasint,omitempty"`
}

// Unfinished reports whether the item has no result yet.
func (s *ItemState) Unfinished() bool { return s.Status == Waiting || s.Status == Claimed }

// Job is the record of a job. Times are of the store's clock.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Account  string        `cbor:"2,keyasint"`
	Route    string        `cbor:"3,keyasint"`
	Host     string        `cbor:"4,keyasint"`
	Accepted time.Duration `cbor:"5,keyasint"`
	// Due is when results are due, Expires when items may be given up.
	Due      time.Duration `cbor:"6,keyasint"`
	Expires  time.Duration `cbor:"7,keyasint"`
	Attempts int           `cbor:"8,keyasint"`
	Items    []ItemState   `cbor:"9,keyasint"`
	// ResultCount is the number of results.
	ResultCount int `cbor:"10,keyasint,omitempty"`
	// Ended reports that the client ended the job.
	Ended bool `cbor:"11,keyasint,omitempty"`

	// Version is that of the record the job was read from.
	Version bhplatform.Version `cbor:"-"`
}

// Done reports whether nothing of the job is left to run.
func (j *Job) Done() bool { return j.Ended || j.ResultCount == len(j.Items) }

// QueuedTokens returns the tokens of the items without a result.
func (j *Job) QueuedTokens() int64 {
	if j.Ended {
		return 0
	}
	var sum int64
	for i := range j.Items {
		if j.Items[i].Unfinished() {
			sum += j.Items[i].Tokens
		}
	}
	return sum
}

func (j *Job) clone() *Job {
	copied := *j
	copied.Items = slices.Clone(j.Items)
	return &copied
}

// item returns the state of the item, or nil.
func (j *Job) item(id string) *ItemState {
	for i := range j.Items {
		if j.Items[i].ID == id {
			return &j.Items[i]
		}
	}
	return nil
}

// Result is the listed end of an item.
type Result struct {
	ID     string `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint"`
	// Text holds the data of all events, separated by line feeds.
	Text string `cbor:"3,keyasint"`
	// Object names the stored object with the whole result if the text is too
	// long for a record.
	Object string `cbor:"100,keyasint,omitempty"`
}

// Results is a part of a job's results.
type Results struct {
	Total   int
	Results []Result
	// Next is the position after the last of Results.
	Next int
}

// Checkpoint is the output of an item so far.
type Checkpoint struct {
	LastEvent string `cbor:"1,keyasint"`
	Text      string `cbor:"2,keyasint"`
}

// Package bhjob stores batch jobs in the platform's table service and runs
// their items in the engine slots that live requests leave free. Gateways call
// JobStore to accept jobs and to read results; the runner process beside each
// engine calls Runner to execute items.
//
// A job is one record that changes by compare-and-set. The holder of an item's
// claim runs the item. A result counts only once a compare-and-set of the job's
// record has added it, so a holder that has lost its claim can't add a second
// result.
package bhjob

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// Item is one request of a job.
type Item struct {
	ID string `cbor:"1,keyasint"`
	// Target is the request target of the item at an upstream.
	Target string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens is the number of prompt tokens plus the maximum number of output
	// tokens.
	Tokens int64 `cbor:"5,keyasint"`
}

// Submission is a job as the client submitted it.
type Submission struct {
	ID      string
	Account string
	// Route is the name of the route that received the job, Host the host name
	// that the client addressed.
	Route string
	Host  string
	Items []Item
	// RunTarget and Retention are durations from the acceptance of the job:
	// until its results are due, and until its remaining items may be given up.
	RunTarget time.Duration
	Retention time.Duration
	// Attempts is the number of failed runs after which an item is given up.
	// Values below 1 mean 1.
	Attempts int
	// MaxQueued limits the tokens of the account's unfinished items on the
	// route, including this job's. Zero means no limit.
	MaxQueued int64
}

// Status is the state of an item.
type Status int

// States of an item.
const (
	Waiting Status = iota
	Claimed
	Completed
	// Dead items were given up: they failed too often, were rejected or
	// expired.
	Dead
)

// ItemState is the part of a job's record that describes one item.
type ItemState struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint,omitempty"`
	// Holder is the runner that holds the claim; empty unless Status is
	// Claimed.
	Holder string `cbor:"4,keyasint,omitempty"`
	// Failures counts the runs in which the upstream failed, with HTTP status
	// 500.
	Failures int `cbor:"5,keyasint,omitempty"`
	// SavedBy is the holder whose checkpoint of the item to resume from. The
	// checkpoint may be missing.
	SavedBy string `cbor:"7,keyasint,omitempty"`
}

// Unfinished reports whether the item has no result yet.
func (s *ItemState) Unfinished() bool { return s.Status == Waiting || s.Status == Claimed }

// Job is the record of a job. Its times are readings of the store's clock.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Account  string        `cbor:"2,keyasint"`
	Route    string        `cbor:"3,keyasint"`
	Host     string        `cbor:"4,keyasint"`
	Accepted time.Duration `cbor:"5,keyasint"`
	// Due is when all results are due. After Expires, items without a result
	// are given up.
	Due      time.Duration `cbor:"6,keyasint"`
	Expires  time.Duration `cbor:"7,keyasint"`
	Attempts int           `cbor:"8,keyasint"`
	Items    []ItemState   `cbor:"9,keyasint"`
	// ResultCount is the number of results recorded so far.
	ResultCount int `cbor:"10,keyasint,omitempty"`
	// Ended reports that the client ended the job.
	Ended bool `cbor:"11,keyasint,omitempty"`

	// Version is the store's version of the record that the job was read from.
	Version bhplatform.Version `cbor:"-"`
}

// Done reports whether no item of the job is left to run.
func (j *Job) Done() bool { return j.Ended || j.ResultCount == len(j.Items) }

// QueuedTokens returns the sum of the tokens of the items without a result;
// zero if the client ended the job.
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

// item returns the state of the item, or nil if the job has no such item.
func (j *Job) item(id string) *ItemState {
	for i := range j.Items {
		if j.Items[i].ID == id {
			return &j.Items[i]
		}
	}
	return nil
}

// Result is the recorded outcome of an item.
type Result struct {
	ID     string `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint"`
	// Text holds the data of all events, separated by line feeds.
	Text string `cbor:"3,keyasint"`
	// Object is the name of the stored object that holds the whole result if
	// the text is too long for a record; empty otherwise.
	Object string `cbor:"100,keyasint,omitempty"`
}

// Results is one page of a job's results.
type Results struct {
	// Total is the number of items of the job.
	Total   int
	Results []Result
	// Next is the position to continue reading from.
	Next int
}

// Checkpoint is an item's output so far, from which a later run resumes at an
// upstream of the same service and software version.
type Checkpoint struct {
	// LastEvent is the id of the last event in Text; empty if there is no
	// output.
	LastEvent string `cbor:"1,keyasint"`
	// Text holds the data of all events, separated by line feeds.
	Text string `cbor:"2,keyasint"`
	// Service and Version are those of the upstream that wrote the output. Both are
	// empty in a checkpoint of an earlier release.
	Service string `cbor:"3,keyasint,omitempty"`
	Version string `cbor:"4,keyasint,omitempty"`
}

// fits reports whether the instance may continue the output.
func (c *Checkpoint) fits(instance bhwatch.Instance) bool {
	return c.LastEvent == "" || c.Service == instance.Service && c.Version == instance.Version
}

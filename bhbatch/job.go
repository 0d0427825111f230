// Package bhbatch stores batches of requests and runs them once each: intake
// of files, job rows, chunk leases with fencing numbers, results, the runner
// of a sidecar and the HTTP handlers.
//
// A file is stored as object segments; one segment is one chunk, the unit that
// is leased and completed. Chunks are grouped in parts, one table row each.
// An item counts as completed only through the change of its part's row that
// names the result object of its chunk.
package bhbatch

import (
	"fmt"
	"time"
)

// Sizes of batches.
const (
	// MaxItems is the largest number of items in a file.
	MaxItems = 430_000
	// MaxLineBytes is the largest size of one line in a file.
	MaxLineBytes = 1 << 20
	// MaxSegmentBytes bounds a segment, and so the memory held by intake.
	MaxSegmentBytes = 4 << 20
	// DefaultChunkItems is the number of items in a full chunk.
	DefaultChunkItems = 100
	// PartChunks is the number of chunks whose state shares one row.
	PartChunks = 64
	// DefaultWindow is the time a job may take when no deadline is given.
	DefaultWindow = 24 * time.Hour
)

// State is the state of a job.
type State string

// States of a job. Cancelled and Completed are final.
const (
	Running   State = "in_progress"
	Completed State = "completed"
	Cancelled State = "cancelled"
)

// File describes an accepted input file.
type File struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Name    string `json:"name"`
	Digest  string `json:"digest"`
	// Model is the one model that all items name.
	Model   string    `json:"model"`
	Bytes   int64     `json:"bytes"`
	Items   int       `json:"items"`
	Chunks  int       `json:"chunks"`
	Created time.Time `json:"created"`
}

// Counts are the items of a job or chunk that have ended, and their work.
type Counts struct {
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Tokens    int `json:"tokens"`
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Completed: c.Completed + other.Completed,
		Failed:    c.Failed + other.Failed,
		Tokens:    c.Tokens + other.Tokens,
	}
}

// Job is the job row. It changes only when the job ends.
type Job struct {
	ID       string            `json:"id"`
	Account  string            `json:"account"`
	File     string            `json:"file"`
	Digest   string            `json:"digest"`
	Model    string            `json:"model"`
	Endpoint string            `json:"endpoint"`
	Items    int               `json:"items"`
	Chunks   int               `json:"chunks"`
	Created  time.Time         `json:"created"`
	Deadline time.Time         `json:"deadline"`
	Window   time.Duration     `json:"window"`
	Metadata map[string]string `json:"metadata,omitempty"`
	State    State             `json:"state"`
	Ended    time.Time         `json:"ended,omitzero"`
	// Counts is filled in when the job ends.
	Counts Counts `json:"counts"`
}

// Parts returns the number of part rows of the job.
func (j Job) Parts() int { return (j.Chunks + PartChunks - 1) / PartChunks }

// partChunks returns the number of chunks in part n.
func (j Job) partChunks(n int) int { return min(PartChunks, j.Chunks-n*PartChunks) }

// Open is the index row of a job that has not ended.
type Open struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	File     string    `json:"file"`
	Model    string    `json:"model"`
	Items    int       `json:"items"`
	Chunks   int       `json:"chunks"`
	Created  time.Time `json:"created"`
	Deadline time.Time `json:"deadline"`
}

// Key identifies the job in memory.
func (o Open) Key() string { return o.Account + "/" + o.ID }

const (
	prefixJob  = "batch/job/"
	prefixPart = "batch/part/"
	prefixOpen = "batch/open/"
	prefixFile = "batch/file/"
	keyHint    = "batch/hint"
)

func jobKey(account, id string) string  { return prefixJob + account + "/" + id }
func openKey(account, id string) string { return prefixOpen + account + "/" + id }
func fileKey(account, id string) string { return prefixFile + account + "/" + id }

func partPrefix(account, id string) string { return prefixPart + account + "/" + id + "/" }

func partKey(account, id string, part int) string {
	return fmt.Sprintf("%s%04d", partPrefix(account, id), part)
}

func segmentName(account, file string, chunk int) string {
	return fmt.Sprintf("batch/file/%s/%s/%06d", account, file, chunk)
}

func resultName(account, id string, chunk int, fence int64) string {
	return fmt.Sprintf("batch/result/%s/%s/%06d.%d", account, id, chunk, fence)
}

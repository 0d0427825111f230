// Package bhbatch stores batches of requests, runs their items and records
// exactly one result for each item. The entry calls Store and Handler to accept
// files and batches; each sidecar calls Runner to lease chunks of items and run
// them on its engines.
//
// An input file is stored as object segments. One segment is one chunk, the
// unit that is leased and completed. Up to PartChunks chunks form a part, which
// is one table row. An item counts as completed only once the row of its part
// records its chunk as done; the fencing token in that row names the chunk's
// result object.
package bhbatch

import (
	"fmt"
	"time"
)

// Limits and defaults of batches.
const (
	// MaxItems is the largest number of items in a file.
	MaxItems = 430_000
	// MaxLineBytes is the largest size of one line in a file.
	MaxLineBytes = 1 << 20
	// MaxSegmentBytes bounds the size of a segment, and so the memory that an
	// upload holds.
	MaxSegmentBytes = 4 << 20
	// DefaultChunkItems is the number of items in a full chunk.
	DefaultChunkItems = 100
	// PartChunks is the number of chunks whose states share one table row.
	PartChunks = 64
	// DefaultWindow is the time until the deadline of a job that names none.
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
	// Model is the model that every item names.
	Model   string    `json:"model"`
	Bytes   int64     `json:"bytes"`
	Items   int       `json:"items"`
	Chunks  int       `json:"chunks"`
	Created time.Time `json:"created"`
}

// Counts holds the numbers of ended items of a job or chunk, and the tokens
// generated for them.
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

// Job is the table row of a job. It changes only when the job ends.
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

// Parts returns the number of parts of the job.
func (j Job) Parts() int { return (j.Chunks + PartChunks - 1) / PartChunks }

// partChunks returns the number of chunks in part n.
func (j Job) partChunks(n int) int { return min(PartChunks, j.Chunks-n*PartChunks) }

// IndexRow is the index row of a job that has not ended. It is deleted when the
// job ends.
type IndexRow struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	File     string    `json:"file"`
	Model    string    `json:"model"`
	Items    int       `json:"items"`
	Chunks   int       `json:"chunks"`
	Created  time.Time `json:"created"`
	Deadline time.Time `json:"deadline"`
}

// Key returns the account and id of the job, which identify the job in memory.
func (o IndexRow) Key() string { return o.Account + "/" + o.ID }

const (
	prefixJob     = "batch/job/"
	prefixPart    = "batch/part/"
	prefixOpen    = "batch/open/"
	prefixFile    = "batch/file/"
	cancelHintKey = "batch/hint"
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

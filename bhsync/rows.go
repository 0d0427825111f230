package bhsync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Keys of table rows and names of objects.
const (
	headKey        = "config/head"
	changePrefix   = "config/change/"
	revokedPrefix  = "config/revoked/"
	fullCopyPrefix = "config/whole/"
)

const (
	// maxPatchBytes is the maximum size of a change in a row, in bytes. A
	// version with a larger change is stored as a full copy in the object
	// store.
	maxPatchBytes = 128 << 10
	// versionsPerFullCopy is the maximum number of versions from one full copy
	// to the next.
	versionsPerFullCopy = 32
	// maxHistoryVersions is the number of versions kept, which can be shown and
	// rolled back to.
	maxHistoryVersions = 10000
	// pageRows is the maximum number of rows per List call.
	pageRows = 64
)

// headRow points to the newest version. It is updated by compare-and-set.
type headRow struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// FullVersion is the newest version that has a full copy, and FullObject
	// the name of the object with the copy.
	FullVersion int64  `json:"whole"`
	FullObject  string `json:"object"`
	// Seal is random. Changing it changes the row version, so that a pending
	// commit fails.
	Seal string `json:"seal,omitempty"`
}

// changeRow is one version in the history.
type changeRow struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Patch is the change against the previous version as JSON. It is empty if
	// the version is stored only as a full copy; then FullVersion equals
	// Version.
	Patch json.RawMessage `json:"patch,omitempty"`
	// FullVersion is the newest version up to this one that has a full copy,
	// and FullObject the name of the object with the copy.
	FullVersion int64  `json:"whole"`
	FullObject  string `json:"object"`
	// ID is the ID of the push.
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"`
	// Size is the number of elements added, changed or removed.
	Size int `json:"size"`
}

// revokedRow is one record in the numbered list of revocations.
type revokedRow struct {
	Digests []string  `json:"digests"`
	Author  string    `json:"author,omitempty"`
	Time    time.Time `json:"time"`
}

func changeKey(version int64) string { return fmt.Sprintf("%s%012d", changePrefix, version) }

func revokedKey(recordNumber int64) string {
	return fmt.Sprintf("%s%012d", revokedPrefix, recordNumber)
}

// fullCopyName returns the object name of a full copy. It contains the end of
// the digest, so concurrent pushes of different configurations don't overwrite
// each other's copy.
func fullCopyName(version int64, digest string) string {
	return fmt.Sprintf("%s%012d-%s", fullCopyPrefix, version, digest[len(digest)-16:])
}

func parseRow[T any](value []byte) (T, error) {
	var row T
	err := json.Unmarshal(value, &row)
	return row, errors.Wrap(err, "row")
}

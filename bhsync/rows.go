package bhsync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Names of rows and objects.
const (
	headKey       = "config/head"
	changePrefix  = "config/change/"
	revokedPrefix = "config/revoked/"
	wholePrefix   = "config/whole/"
)

const (
	// maxPatch is the largest change kept in a row, in bytes. Larger ones are
	// kept as a whole copy in the object store.
	maxPatch = 128 << 10
	// wholeEvery is the number of versions between whole copies.
	wholeEvery = 32
	// historyKept is the number of versions that can be shown and rolled back to.
	historyKept = 10000
	// pageSize is the number of rows read at once.
	pageSize = 64
)

// headRow is the newest version. It changes by compare-and-set.
type headRow struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Whole is the newest version that has a whole copy, which is in Object.
	Whole  int64  `json:"whole"`
	Object string `json:"object"`
	// Seal is changed to make certain that a pending write fails.
	Seal string `json:"seal,omitempty"`
}

// changeRow is one version in the history.
type changeRow struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Patch is the change against the version before; empty if Whole is Version.
	Patch json.RawMessage `json:"patch,omitempty"`
	// Whole is the newest version up to this one with a whole copy, in Object.
	Whole  int64  `json:"whole"`
	Object string `json:"object"`
	// Id is that of the push.
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"`
	// Size is the number of elements that changed.
	Size int `json:"size"`
}

// revokedRow is one record in the log of revoked keys.
type revokedRow struct {
	Digests []string  `json:"digests"`
	Author  string    `json:"author,omitempty"`
	Time    time.Time `json:"time"`
}

func changeKey(version int64) string { return fmt.Sprintf("%s%012d", changePrefix, version) }

func revokedKey(number int64) string { return fmt.Sprintf("%s%012d", revokedPrefix, number) }

func wholeName(version int64, digest string) string {
	return fmt.Sprintf("%s%012d-%s", wholePrefix, version, digest[len(digest)-16:])
}

func parseRow[T any](value []byte) (T, error) {
	var row T
	err := json.Unmarshal(value, &row)
	return row, errors.Wrap(err, "row")
}

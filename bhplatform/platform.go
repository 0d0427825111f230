// Package bhplatform defines the interfaces to the platform on which baobabhaven
// runs (a transactional table, a partitioned store, an object store and a host
// list), and an HTTP client for all of them except the partitioned store. Entries
// and other packages use only these interfaces, so that supporting another
// platform protocol takes just a new implementation of them.
package bhplatform

import (
	"context"
	"io"
)

// Version is the version number of a row. It grows with each write of the row and
// is never reused for the same key, even after the row was deleted.
type Version int64

// Special versions for the Expect field of a Write.
const (
	// Absent requires that the row does not exist.
	Absent Version = 0
	// Any applies the write regardless of the row's version.
	Any Version = -1
)

// Row is one row of the table.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}

// Write is one conditional change of a row: the row's version must equal Expect.
// Delete removes the row. Check tests only the condition and changes nothing.
type Write struct {
	Key    string  `json:"key"`
	Value  []byte  `json:"value,omitempty"`
	Expect Version `json:"expect"`
	Delete bool    `json:"delete,omitempty"`
	Check  bool    `json:"check,omitempty"`
}

// Table is the transactional table service.
//
// Errors carry a bhcode: NotFound for a missing row, PlatformConflict if a
// condition did not hold (nothing was written), PlatformUnavailable if the
// operation certainly had no effect, PlatformUnknown if a write may have
// taken effect. After PlatformUnknown, the caller reads the rows back to determine
// the outcome.
type Table interface {
	// Get returns the row with the key.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys start with prefix and are
	// greater than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none, and returns the new versions in the
	// order of writes (zero for deletions and checks).
	Commit(ctx context.Context, writes ...Write) ([]Version, error)
}

// MaxObjectBytes is the size in bytes of the largest object that stores take.
const MaxObjectBytes = 8 << 20

// Objects is the object store. Errors carry the same codes as those of Table.
type Objects interface {
	// Put stores the bytes of body as the object name, replacing any existing
	// object. Readers never see a partly written object.
	Put(ctx context.Context, name string, body io.Reader) error
	// Get returns a reader of the object that starts at offset, in bytes. The
	// caller closes it.
	Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error)
	// Delete removes the object. Removing a missing object isn't an error.
	Delete(ctx context.Context, name string) error
}

// HostState is the state of a host in the platform's host list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name string `json:"name"`
	// Role is "entry" or "sidecar".
	Role string `json:"role"`
	// Link is the address, IP and port, of the host's link listener.
	Link   string    `json:"link"`
	Centre string    `json:"centre"`
	State  HostState `json:"state"`
}

// Hosts is the platform's list of live and leaving hosts. The list may be out of
// date.
type Hosts interface {
	// Hosts returns the platform's current list.
	Hosts(ctx context.Context) ([]Host, error)
	// Announce adds or replaces the list's entry for host, the caller's own host.
	Announce(ctx context.Context, host Host) error
}

// Platform holds the clients of the platform's table, object store and host list.
type Platform struct {
	Table   Table
	Objects Objects
	Hosts   Hosts
}

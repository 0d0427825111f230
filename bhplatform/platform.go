// Package bhplatform defines the narrow interfaces through which baobabhaven
// uses the platform: a transactional table, an object store and a host list.
// Another protocol for the platform is one new implementation of them.
package bhplatform

import (
	"context"
	"io"
)

// Version numbers a row. It grows with each write of the row and is never
// reused for the same key, also across deletion.
type Version int64

// Special versions for the Expect field of a Write.
const (
	// Absent requires that the row does not exist.
	Absent Version = 0
	// Any applies the write whatever the row's version is.
	Any Version = -1
)

// Row is one row of the table.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}

// Write is one conditional change of a row. With Delete the row is removed.
// With Check nothing is changed and only the condition is tested.
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
// taken effect. A write with an unknown outcome is settled by reading it back.
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

// Objects is the object store. Errors carry the same codes as those of Table.
type Objects interface {
	// Put stores the bytes of body under name, replacing any object there. An
	// object becomes visible whole or not at all.
	Put(ctx context.Context, name string, body io.Reader) error
	// Get opens the object from byte offset on. The caller closes it.
	Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error)
	// Delete removes the object. Removing a missing object is no error.
	Delete(ctx context.Context, name string) error
}

// HostState is what the platform believes of a host.
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

// Hosts is the platform's list of live and leaving hosts. It lags.
type Hosts interface {
	// Hosts returns the list as the platform knows it now.
	Hosts(ctx context.Context) ([]Host, error)
	// Announce enters or replaces the caller's own entry.
	Announce(ctx context.Context, host Host) error
}

// Platform bundles the three services.
type Platform struct {
	Table   Table
	Objects Objects
	Hosts   Hosts
}

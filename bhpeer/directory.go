package bhpeer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// peerTable holds one record for each gateway, named after its host.
	peerTable = "peer"
	// lookInterval is how often the records are read, enterInterval how often the
	// own one is written. A peer that is new is found within the first.
	lookInterval  = 2500 * time.Millisecond
	enterInterval = 10 * time.Second
	// goneAfter is how long a record may stand still before its host is passed
	// over, removeAfter before the record is removed.
	goneAfter   = 25 * time.Second
	removeAfter = 10 * time.Minute
	// restTime is how long a peer that didn't answer is passed over.
	restTime = time.Second
)

// DirectoryConfig configures a Directory.
type DirectoryConfig struct {
	Store bhplatform.Store
	// Host names the own host, Address is its socket's.
	Host    string
	Address netip.AddrPort
	Clock   bhclock.Clock
	Logger  bhlog.Logger
}

// Directory knows the gateways of the fleet by their records in the store.
type Directory struct {
	config DirectoryConfig

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is one gateway's record as it was last seen to change.
type peer struct {
	address netip.AddrPort
	version bhplatform.Version
	changed time.Duration
	// resting is until when the peer is passed over.
	resting time.Duration
}

// NewDirectory returns a directory that knows only the own host.
func NewDirectory(config DirectoryConfig) *Directory {
	own := &peer{address: config.Address}
	return &Directory{config: config, peers: map[string]*peer{config.Host: own}}
}

// Run enters the own host and follows the others until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	entered := time.Duration(0)
	for {
		now := d.config.Clock.Now()
		if entered == 0 || now-entered >= enterInterval {
			if err := d.enter(ctx); err == nil {
				entered = now
			} else if ctx.Err() == nil {
				bhlog.Problem(d.config.Logger, "peers.unentered", err)
			}
		}
		if err := d.look(ctx); err != nil && ctx.Err() == nil {
			bhlog.Problem(d.config.Logger, "peers.unread", err)
		}
		if !bhtree.Sleep(ctx, lookInterval) {
			return nil
		}
	}
}

func (d *Directory) enter(ctx context.Context) error {
	value, err := d.config.Address.MarshalText()
	if err != nil {
		return errors.WithStack(err)
	}
	key := bhplatform.Key{Table: peerTable, Name: d.config.Host}
	_, err = d.config.Store.Apply(ctx, bhplatform.Transaction{
		Puts:    []bhplatform.Put{{Key: key, Value: value}},
		Deletes: d.removable(),
	})
	return err
}

// removable returns the records of hosts that are gone for long.
func (d *Directory) removable() []bhplatform.Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	var keys []bhplatform.Key
	for host, known := range d.peers {
		if host != d.config.Host && now-known.changed > removeAfter {
			keys = append(keys, bhplatform.Key{Table: peerTable, Name: host})
		}
	}
	return keys
}

func (d *Directory) look(ctx context.Context) error {
	page, err := bhplatform.ScanAll(ctx, d.config.Store, bhplatform.Range{Table: peerTable})
	if err != nil {
		return err
	}
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{d.config.Host: true}
	for _, record := range page.Records {
		listed[record.Key.Name] = true
		d.take(record, now)
	}
	for host, known := range d.peers {
		if !listed[host] {
			delete(d.peers, host)
			bhlog.Event(d.config.Logger, "peer.removed", "peer", host, "address", known.address)
		}
	}
	return nil
}

// take takes in one record.
func (d *Directory) take(record bhplatform.Record, now time.Duration) {
	host := record.Key.Name
	known := d.peers[host]
	if host == d.config.Host || known != nil && known.version == record.Version {
		return
	}
	var address netip.AddrPort
	if err := address.UnmarshalText(record.Value); err != nil {
		bhlog.Problem(d.config.Logger, "peer.invalid", err, "peer", host, "version", record.Version)
		return
	}
	if known == nil {
		bhlog.Event(d.config.Logger, "peer.listed", "peer", host, "address", address, "version", record.Version)
	}
	d.peers[host] = &peer{address: address, version: record.Version, changed: now}
}

// Order returns the hosts that aren't resting, in the order in which the fleet
// turns to them for the key: the same at all gateways that know the same hosts.
// An invalid address stands for the own host.
func (d *Directory) Order(key string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	type ranked struct {
		rank    uint64
		address netip.AddrPort
	}
	var order []ranked
	for host, known := range d.peers {
		address := known.address
		if host == d.config.Host {
			address = netip.AddrPort{}
		} else if now < known.resting || now-known.changed > goneAfter {
			continue
		}
		order = append(order, ranked{rank: xxhash.Sum64String(key + "\x00" + host), address: address})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	addresses := make([]netip.AddrPort, len(order))
	for i, entry := range order {
		addresses[i] = entry.address
	}
	return addresses
}

// Rest passes over a peer that didn't answer for a while.
func (d *Directory) Rest(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for host, known := range d.peers {
		if known.address == address && host != d.config.Host {
			known.resting = d.config.Clock.Now() + restTime
			bhlog.Event(d.config.Logger, "peer.rest", "peer", host, "address", address, "rest", restTime)
		}
	}
}

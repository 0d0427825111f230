package bhpeer

import (
	"cmp"
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
	// peerTable holds one record for each gateway. The record is named after the
	// gateway's host and holds the address of its socket.
	peerTable = "peer"
	// scanInterval is the time between two reads of all records, which is also the
	// longest time until a new peer is found. heartbeatInterval is the time between
	// two writes of this gateway's record.
	scanInterval      = 2500 * time.Millisecond
	heartbeatInterval = 10 * time.Second
	// observeInterval is the time between two reads of an observer, which can do
	// without a new gateway for a while.
	observeInterval = 10 * time.Second
	// staleAfter is the time without a change of a record after which Order skips
	// its host. After removeAfter the record is deleted.
	staleAfter  = 25 * time.Second
	removeAfter = 10 * time.Minute
	// listValidity is the age of the list above which others may have dropped this gateway's
	// record as stale.
	listValidity = staleAfter - heartbeatInterval
	// skipDuration is how long Order skips a peer that didn't answer.
	skipDuration = time.Second
)

// DirectoryConfig configures a Directory.
type DirectoryConfig struct {
	Store bhplatform.Store
	// Host names the host of this gateway. Address is the address of its socket.
	Host    string
	Address netip.AddrPort
	// Observer says that this process lists the gateways without being one.
	Observer bool
	Clock    bhclock.Clock
	Logger   bhlog.Logger
}

// Directory lists the gateways of the fleet, which publish their addresses as
// records in the store. It is safe for concurrent use.
type Directory struct {
	config DirectoryConfig

	mu    sync.Mutex
	peers map[string]*peer
	// firstReadAt and lastReadAt are when the records were first and last read; zero if
	// they weren't.
	firstReadAt time.Duration
	lastReadAt  time.Duration
}

// peer is a gateway's record as of its last change. Times are those of the
// directory's clock.
type peer struct {
	address    netip.AddrPort
	version    bhplatform.Version
	lastChange time.Duration
	// skipUntil is when Order stops skipping the peer. It is reset when the record
	// changes.
	skipUntil time.Duration
}

// NewDirectory returns a directory that knows only this gateway's host, and that of an
// observer none.
func NewDirectory(config DirectoryConfig) *Directory {
	d := &Directory{config: config, peers: make(map[string]*peer)}
	if !config.Observer {
		d.peers[config.Host] = &peer{address: config.Address}
	}
	return d
}

// isSelf reports whether the host's record is that of this gateway.
func (d *Directory) isSelf(host string) bool { return !d.config.Observer && host == d.config.Host }

// Run publishes the record of this gateway and reads those of the others until
// ctx is done. It logs failures, tries again after scanInterval and returns nil.
func (d *Directory) Run(ctx context.Context) error {
	lastPublish := time.Duration(0)
	for {
		now := d.config.Clock.Now()
		if !d.config.Observer && (lastPublish == 0 || now-lastPublish >= heartbeatInterval) {
			if err := d.publish(ctx); err == nil {
				lastPublish = now
			} else if ctx.Err() == nil {
				bhlog.Problem(d.config.Logger, "peers.unentered", err)
			}
		}
		if err := d.refresh(ctx); err != nil && ctx.Err() == nil {
			bhlog.Problem(d.config.Logger, "peers.unread", err)
		}
		interval := scanInterval
		if d.config.Observer {
			interval = observeInterval
		}
		if !bhtree.Sleep(ctx, interval) {
			return nil
		}
	}
}

// publish writes the record of this gateway and deletes the expired records.
func (d *Directory) publish(ctx context.Context) error {
	value, err := d.config.Address.MarshalText()
	if err != nil {
		return errors.WithStack(err)
	}
	key := bhplatform.Key{Table: peerTable, Name: d.config.Host}
	_, err = d.config.Store.Apply(ctx, bhplatform.Transaction{
		Puts:    []bhplatform.Put{{Key: key, Value: value}},
		Deletes: d.expiredRecords(),
	})
	return err
}

// expiredRecords returns the keys of other hosts' records that have not changed
// for removeAfter.
func (d *Directory) expiredRecords() []bhplatform.Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	var keys []bhplatform.Key
	for host, known := range d.peers {
		if host != d.config.Host && now-known.lastChange > removeAfter {
			keys = append(keys, bhplatform.Key{Table: peerTable, Name: host})
		}
	}
	return keys
}

// refresh reads all records and drops the peers whose record was deleted.
func (d *Directory) refresh(ctx context.Context) error {
	page, err := bhplatform.ScanAll(ctx, d.config.Store, bhplatform.Range{Table: peerTable})
	if err != nil {
		return err
	}
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.firstReadAt == 0 {
		d.firstReadAt = now
	}
	d.lastReadAt = now
	listed := map[string]bool{d.config.Host: !d.config.Observer}
	for _, record := range page.Records {
		listed[record.Key.Name] = true
		d.applyRecord(record, now)
	}
	for host, known := range d.peers {
		if !listed[host] {
			delete(d.peers, host)
			bhlog.Event(d.config.Logger, "peer.removed", "peer", host, "address", known.address)
		}
	}
	return nil
}

// applyRecord stores the peer of a record that is new or has changed.
func (d *Directory) applyRecord(record bhplatform.Record, now time.Duration) {
	host := record.Key.Name
	known := d.peers[host]
	if d.isSelf(host) || known != nil && known.version == record.Version {
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
	d.peers[host] = &peer{address: address, version: record.Version, lastChange: now}
}

// Order returns the addresses of the gateways sorted by a hash of key and host
// (rendezvous hashing), so that all gateways that know the same hosts get the same
// order. It skips stale peers and those given to Rest. An invalid address stands
// for this gateway.
func (d *Directory) Order(key string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	var order []ranked
	for host, known := range d.peers {
		address := known.address
		if d.isSelf(host) {
			address = netip.AddrPort{}
		} else if now < known.skipUntil || now-known.lastChange > staleAfter {
			continue
		}
		order = append(order, newRanked(key, host, address))
	}
	return addressesByRank(order)
}

// Rank returns the addresses sorted by a hash of key and address (rendezvous hashing).
func Rank(key string, addresses []netip.AddrPort) []netip.AddrPort {
	order := make([]ranked, len(addresses))
	for i, address := range addresses {
		order[i] = newRanked(key, address.String(), address)
	}
	return addressesByRank(order)
}

// ranked is an address with the rank that rendezvous hashing gives it.
type ranked struct {
	rank    uint64
	address netip.AddrPort
}

func newRanked(key, name string, address netip.AddrPort) ranked {
	return ranked{rank: xxhash.Sum64String(key + "\x00" + name), address: address}
}

// addressesByRank returns the addresses in the order of their ranks.
func addressesByRank(order []ranked) []netip.AddrPort {
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	addresses := make([]netip.AddrPort, len(order))
	for i, entry := range order {
		addresses[i] = entry.address
	}
	return addresses
}

// Count returns the number of listed gateways, also of those that Order skips.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers)
}

// ListedFor returns how long ago the list was first read; zero if it wasn't, or if the last
// read is so old that others may list other gateways.
func (d *Directory) ListedFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	if d.firstReadAt == 0 || now-d.lastReadAt > listValidity {
		return 0
	}
	return now - d.firstReadAt
}

// Others returns the addresses of the other gateways, also of those that Order skips.
func (d *Directory) Others() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []netip.AddrPort
	for host, known := range d.peers {
		if !d.isSelf(host) {
			addresses = append(addresses, known.address)
		}
	}
	return addresses
}

// Rest makes Order skip a peer that didn't answer, for skipDuration.
func (d *Directory) Rest(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for host, known := range d.peers {
		if known.address == address && !d.isSelf(host) {
			known.skipUntil = d.config.Clock.Now() + skipDuration
			bhlog.Event(d.config.Logger, "peer.rest", "peer", host, "address", address, "rest", skipDuration)
		}
	}
}

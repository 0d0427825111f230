package bhsync

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Intervals, timeouts and numbers of probes of a Node.
const (
	entryPollInterval = time.Second
	pollTimeout       = 2 * time.Second
	// entrySilenceLimit is the time without a frame from an entry after which a
	// sidecar polls the platform itself.
	entrySilenceLimit   = 3 * time.Second
	sidecarPollInterval = 3 * time.Second
	peerCheckInterval   = 500 * time.Millisecond
	// pullDelay is the time from learning of a newer version to asking a peer
	// for it. In most cases the version is pushed within that time.
	pullDelay   = 300 * time.Millisecond
	pullTimeout = time.Second
	// maxContactAge is the age of the last contact at which a host begins to
	// probe entries.
	maxContactAge     = 1500 * time.Millisecond
	entryProbeCount   = 8
	sidecarProbeCount = 1
)

// NodeConfig configures a Node.
type NodeConfig struct {
	// Host is the name of this host.
	Host string
	// Entry reports whether this host is an entry; otherwise it is a sidecar.
	Entry bool
	// Store is the store that the node keeps up to date.
	Store    *Store
	Platform bhplatform.Platform
	// Logger may be nil; then nothing is logged.
	Logger bhlog.Logger
}

// Node keeps the store of a host up to date from the platform and from its
// peers, and sends the store's contents to its peers.
type Node struct {
	config  NodeConfig
	store   *Store
	archive *Archive

	mu    sync.Mutex
	links map[*Link]bool
	// originVersion is the newest version whose push this host carried out.
	originVersion int64
	// behindSince is the time since which a peer has had a newer version than
	// this host; zero if none has.
	behindSince time.Time
	pendingPull pullRequest
	// digestMismatch means that a message led to a configuration with another
	// digest than expected, so that a full configuration is needed.
	digestMismatch bool
	// lastEntryFrame is the time of the last frame from an entry.
	lastEntryFrame time.Time
	started        time.Time
	// loadTried reports whether a first attempt to load from the platform has
	// ended.
	loadTried bool
	// joined is closed and replaced at each AddPeer.
	joined chan struct{}
	// recordsRead is the number of the last revocation record read from the
	// platform, and durable holds the digests of all records read.
	recordsRead int64
	durable     map[string]bool
	// probeOffset rotates the entries to be probed.
	probeOffset int
	// hostsRead is the time of the last reading of the host list. It isn't
	// guarded by mu, since only the goroutine of runPoll uses it.
	hostsRead time.Time
}

// pullRequest is the last request to a peer for newer versions.
type pullRequest struct {
	link   *Link
	sentAt time.Time
}

// NewNode returns a node without peers. It polls the platform and its peers
// only while Run runs.
func NewNode(config NodeConfig) *Node {
	if config.Logger == nil {
		config.Logger = bhlog.Nop()
	}
	return &Node{
		config:  config,
		store:   config.Store,
		archive: NewArchive(config.Platform),
		links:   make(map[*Link]bool),
		joined:  make(chan struct{}),
		durable: make(map[string]bool),
	}
}

// Archive returns the configuration history on the platform.
func (n *Node) Archive() *Archive { return n.archive }

// Store returns the store that the node keeps up to date.
func (n *Node) Store() *Store { return n.store }

// Run polls the platform and peers, and records revocations, until ctx is done.
// It returns nil.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.started = time.Now()
	n.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.runPoll(ctx) })
	group.Go(func() error { return n.runRecorder(ctx) })
	group.Go(func() error { return n.runPeerChecks(ctx) })
	return group.Wait()
}

// Push adds a new version to the history on the platform. If it is accepted,
// Push applies it to the local store and sends it to the peers. The error is
// non-nil only if the configuration is invalid.
func (n *Node) Push(ctx context.Context, push Push) (PushResult, error) {
	result, err := n.archive.Push(ctx, push)
	bhlog.Event(n.config.Logger, "config.push", "id", push.ID, "base", push.Base, "author", push.Author,
		"outcome", result.Outcome, "version", result.Version, "message", result.Message)
	if result.message != nil {
		n.mu.Lock()
		n.originVersion = max(n.originVersion, result.Version)
		n.mu.Unlock()
		n.apply(*result.message, nil)
	}
	return result, err
}

// apply applies a message to the store. If the message doesn't apply to the
// current version, it notes that the peer of from has the version, so that the
// version is pulled later. After a digest mismatch the full configuration is
// pulled.
func (n *Node) apply(message bhwire.Config, from *Link) {
	previous := n.store.Version()
	needFull, err := n.store.Apply(message)
	if err != nil {
		bhlog.Problem(n.config.Logger, "config.apply", err, "version", message.Version)
	}
	if needFull && from != nil {
		n.mu.Lock()
		from.peerVersion = max(from.peerVersion, message.Version)
		n.digestMismatch = n.digestMismatch || err != nil
		n.mu.Unlock()
	}
	if n.store.Version() > previous {
		n.mu.Lock()
		n.behindSince, n.pendingPull, n.digestMismatch = time.Time{}, pullRequest{}, false
		n.mu.Unlock()
		n.notifyLinks()
	}
}

// recordEntryFrame notes the time of a frame that came over link, if its peer
// is an entry.
func (n *Node) recordEntryFrame(link *Link) {
	if !link.isEntry() {
		return
	}
	n.mu.Lock()
	n.lastEntryFrame = time.Now()
	n.mu.Unlock()
}

func (n *Node) notifyLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link := range n.links {
		link.notify()
	}
}

// pushesTo reports whether this host sends version to the link without a
// request. The entry that accepted a version pushes it to all other entries.
// Each sidecar gets it from one entry, chosen by rendezvous hashing so that
// entries with the same links agree on it. The caller holds mu.
func (n *Node) pushesTo(link *Link, version int64) bool {
	if !n.config.Entry {
		return false
	}
	if link.isEntry() {
		return version <= n.originVersion
	}
	own := rendezvousWeight(n.config.Host, link.hello.Host)
	for candidate := range n.links {
		if candidate.isEntry() && rendezvousWeight(candidate.hello.Host, link.hello.Host) > own {
			return false
		}
	}
	return true
}

// rendezvousWeight returns the weight of an entry for a sidecar; the entry with
// the highest weight pushes to the sidecar.
func rendezvousWeight(entry, sidecar string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + sidecar)
}

// runPeerChecks periodically pulls newer versions from peers and probes
// entries.
func (n *Node) runPeerChecks(ctx context.Context) error {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.pullNewerVersion(now)
			n.probeEntries(now)
		}
	}
}

// pullNewerVersion asks one random peer that has a newer version for it. If
// that peer doesn't deliver within pullTimeout, the next request goes to
// another one if there is any.
func (n *Node) pullNewerVersion(now time.Time) {
	version := n.store.Version()
	n.mu.Lock()
	defer n.mu.Unlock()
	var newer []*Link
	for link := range n.links {
		if link.peerVersion > version {
			newer = append(newer, link)
		}
	}
	if !n.pullDue(now, version, len(newer) > 0) {
		return
	}
	if len(newer) > 1 {
		newer = slices.DeleteFunc(newer, func(link *Link) bool { return link == n.pendingPull.link })
	}
	link := newer[rand.IntN(len(newer))]
	n.pendingPull = pullRequest{link: link, sentAt: now}
	link.pullQueued, link.pullAfter = true, version
	if n.digestMismatch {
		link.pullAfter = 0
	}
	link.notify()
}

// pullDue reports whether a peer should be asked for a newer version now; newer
// tells whether any peer has one. A host without a version first waits up to
// pollTimeout for its attempt to load from the platform. The caller holds mu.
func (n *Node) pullDue(now time.Time, version int64, newer bool) bool {
	if !newer {
		n.behindSince = time.Time{}
		return false
	}
	if n.behindSince.IsZero() {
		n.behindSince = now
	}
	if version == 0 && !n.loadTried && now.Sub(n.started) < pollTimeout {
		return false
	}
	return now.Sub(n.behindSince) >= pullDelay && now.Sub(n.pendingPull.sentAt) >= pullTimeout
}

// probeEntries probes entries if the last contact is older than maxContactAge.
// Half of the probes go to the entries that answered most recently, the others
// go to all entries in rotation. A sidecar probes one entry at a time.
func (n *Node) probeEntries(now time.Time) {
	lastContact := n.store.lastContact.Load()
	if lastContact != nil && now.Sub(*lastContact) < maxContactAge {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := n.entryLinks()
	slices.SortFunc(entries, func(a, b *Link) int {
		return cmp.Or(b.lastContact.Compare(a.lastContact), cmp.Compare(a.hello.Host, b.hello.Host))
	})
	probeCount := entryProbeCount
	if !n.config.Entry {
		probeCount = sidecarProbeCount
	}
	for i, link := range entries {
		if i < probeCount/2 || (i+n.probeOffset)%len(entries) < probeCount-probeCount/2 {
			link.probeDue = true
			link.notify()
		}
	}
	n.probeOffset += probeCount - probeCount/2
}

// entryLinks returns the links to entries, in no order. The caller holds mu.
func (n *Node) entryLinks() []*Link {
	var entries []*Link
	for link := range n.links {
		if link.isEntry() {
			entries = append(entries, link)
		}
	}
	return entries
}

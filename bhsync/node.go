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

// Times and sizes of a Node.
const (
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
	// quietLimit is how long a sidecar hears no entry before it polls itself.
	quietLimit          = 3 * time.Second
	sidecarPollInterval = 3 * time.Second
	tickInterval        = 500 * time.Millisecond
	// pullDelay lets a push arrive before a version is asked for.
	pullDelay   = 300 * time.Millisecond
	pullTimeout = time.Second
	// probeAfter is the age of the last contact from which entries probe each other.
	probeAfter        = 1500 * time.Millisecond
	probeRound        = 8
	sidecarProbeRound = 1
)

// NodeConfig configures a Node.
type NodeConfig struct {
	// Host is the name of this host.
	Host string
	// Entry says whether this host is an entry.
	Entry    bool
	Store    *Store
	Platform bhplatform.Platform
	Logger   bhlog.Logger
}

// Node keeps a host's store up to date from the platform and from its peers,
// and its peers from the store.
type Node struct {
	config  NodeConfig
	store   *Store
	archive *Archive

	mu    sync.Mutex
	links map[*Link]bool
	// origin is the newest version that was accepted through this host.
	origin int64
	// behind is since when a peer has had a newer version.
	behind time.Time
	pull   pull
	// mismatch is whether a change led to another digest than it should.
	mismatch bool
	// entryHeard is when a frame from an entry last came.
	entryHeard time.Time
	started    time.Time
	// loadTried is whether the platform was asked for a first version.
	loadTried bool
	// joined is closed at the next Join.
	joined chan struct{}
	// logged is the number of revocation records read from the platform, and
	// durable holds their digests.
	logged  int64
	durable map[string]bool
	rotate  int
	// listed is when the host list was last read; only runPoll uses it.
	listed time.Time
}

// pull is a question for a newer version that waits for its answer.
type pull struct {
	link *Link
	sent time.Time
}

// NewNode returns a node that has no peers yet.
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

// Archive returns the history on the platform.
func (n *Node) Archive() *Archive { return n.archive }

// Store returns the store that the node keeps up to date.
func (n *Node) Store() *Store { return n.store }

// Run keeps the node up to date until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.started = time.Now()
	n.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.runPoll(ctx) })
	group.Go(func() error { return n.runRecord(ctx) })
	group.Go(func() error { return n.runTick(ctx) })
	return group.Wait()
}

// Push asks the platform for a new version and, if it is accepted, puts it in
// force here and spreads it.
func (n *Node) Push(ctx context.Context, push Push) (Result, error) {
	result, err := n.archive.Push(ctx, push)
	bhlog.Event(n.config.Logger, "config.push", "id", push.ID, "base", push.Base, "author", push.Author,
		"outcome", result.Outcome, "version", result.Version, "message", result.Message)
	if result.applied != nil {
		n.mu.Lock()
		n.origin = max(n.origin, result.Version)
		n.mu.Unlock()
		n.apply(*result.applied, nil)
	}
	return result, err
}

// apply puts a message in force and asks for the whole configuration if the
// message doesn't fit.
func (n *Node) apply(message bhwire.Config, from *Link) {
	before := n.store.Version()
	needWhole, err := n.store.Apply(message)
	if err != nil {
		bhlog.Problem(n.config.Logger, "config.apply", err, "version", message.Version)
	}
	if needWhole && from != nil {
		n.mu.Lock()
		from.has = max(from.has, message.Version)
		n.mismatch = n.mismatch || err != nil
		n.mu.Unlock()
	}
	if n.store.Version() > before {
		n.mu.Lock()
		n.behind, n.pull, n.mismatch = time.Time{}, pull{}, false
		n.mu.Unlock()
		n.notify()
	}
}

func (n *Node) heard(link *Link) {
	if !link.isEntry() {
		return
	}
	n.mu.Lock()
	n.entryHeard = time.Now()
	n.mu.Unlock()
}

func (n *Node) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link := range n.links {
		link.notify()
	}
}

// pushes reports whether this host sends versions to the link unasked: the
// entry that accepted a version to all entries, and for each sidecar the one
// entry that all agree on. The caller holds mu.
func (n *Node) pushes(link *Link, version int64) bool {
	if !n.config.Entry {
		return false
	}
	if link.isEntry() {
		return version <= n.origin
	}
	own := weight(n.config.Host, link.hello.Host)
	for other := range n.links {
		if other.isEntry() && weight(other.hello.Host, link.hello.Host) > own {
			return false
		}
	}
	return true
}

func weight(entry, sidecar string) uint64 { return xxhash.Sum64String(entry + "\x00" + sidecar) }

// runTick asks peers for newer versions and for proof of contact.
func (n *Node) runTick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.pullNewer(now)
			n.probe(now)
		}
	}
}

// pullNewer asks one peer that has a newer version, and another one if the first
// doesn't answer.
func (n *Node) pullNewer(now time.Time) {
	version := n.store.Version()
	n.mu.Lock()
	defer n.mu.Unlock()
	var newer []*Link
	for link := range n.links {
		if link.has > version {
			newer = append(newer, link)
		}
	}
	if !n.pullDue(now, version, len(newer) > 0) {
		return
	}
	if len(newer) > 1 {
		newer = slices.DeleteFunc(newer, func(link *Link) bool { return link == n.pull.link })
	}
	link := newer[rand.IntN(len(newer))]
	n.pull = pull{link: link, sent: now}
	link.pulls, link.pulled = true, version
	if n.mismatch {
		link.pulled = 0
	}
	link.notify()
}

// pullDue reports whether a peer should be asked for a newer version now. The
// caller holds mu.
func (n *Node) pullDue(now time.Time, version int64, newer bool) bool {
	if !newer {
		n.behind = time.Time{}
		return false
	}
	if n.behind.IsZero() {
		n.behind = now
	}
	if version == 0 && !n.loadTried && now.Sub(n.started) < pollTimeout {
		return false
	}
	return now.Sub(n.behind) >= pullDelay && now.Sub(n.pull.sent) >= pullTimeout
}

// probe asks entries for proof of contact when there was none of late: those
// that answered last, and others in turn. A sidecar asks one at a time.
func (n *Node) probe(now time.Time) {
	last := n.store.contact.Load()
	if last != nil && now.Sub(*last) < probeAfter {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := n.entryLinks()
	slices.SortFunc(entries, func(a, b *Link) int {
		return cmp.Or(b.contact.Compare(a.contact), cmp.Compare(a.hello.Host, b.hello.Host))
	})
	round := probeRound
	if !n.config.Entry {
		round = sidecarProbeRound
	}
	for i, link := range entries {
		if i < round/2 || (i+n.rotate)%len(entries) < round-round/2 {
			link.ask = true
			link.notify()
		}
	}
	n.rotate += round - round/2
}

// entryLinks returns the links to entries. The caller holds mu.
func (n *Node) entryLinks() []*Link {
	var entries []*Link
	for link := range n.links {
		if link.isEntry() {
			entries = append(entries, link)
		}
	}
	return entries
}

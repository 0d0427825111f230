package bhsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// packetOverheadBytes is the size of the TCP, IP and WebSocket headers of a
	// message.
	packetOverheadBytes = 46
	linkDelay           = 2 * time.Millisecond
	redialInterval      = 500 * time.Millisecond
)

// fleet runs the nodes of several hosts in one process, connected by in-memory
// sessions.
type fleet struct {
	t        *testing.T
	platform *fakePlatform

	mu    sync.Mutex
	hosts map[string]*fakeHost
}

// fakeHost is a host of a fleet. It can be killed and started again.
type fakeHost struct {
	name  string
	entry bool
	fleet *fleet

	mu        sync.Mutex
	node      *Node
	stop      context.CancelFunc
	done      chan struct{}
	sentBytes int
	// partitioned means that the host reaches only reachableHosts, and neither
	// other hosts nor the platform.
	partitioned bool
	// keepsPlatform means that the host reaches the platform even if
	// partitioned.
	keepsPlatform bool
	// platformCut means that the host doesn't reach the platform.
	platformCut    bool
	reachableHosts map[string]bool
	// paused is closed by resume; nil if the host isn't paused.
	paused chan struct{}
}

func newFleet(t *testing.T, entries, sidecars int) *fleet {
	f := &fleet{t: t, platform: newFakePlatform(), hosts: make(map[string]*fakeHost)}
	for i := range entries {
		f.addHost(fmt.Sprintf("entry-%02d", i), true)
	}
	for i := range sidecars {
		f.addHost(fmt.Sprintf("sidecar-%03d", i), false)
	}
	return f
}

func (f *fleet) addHost(name string, entry bool) *fakeHost {
	host := &fakeHost{name: name, entry: entry, fleet: f}
	f.mu.Lock()
	f.hosts[name] = host
	f.mu.Unlock()
	role := string(bhconf.RoleSidecar)
	if entry {
		role = string(bhconf.RoleEntry)
	}
	f.platform.update(func(p *fakePlatform) { p.hosts = append(p.hosts, bhplatform.Host{Name: name, Role: role}) })
	host.start()
	return host
}

func (f *fleet) allHosts() []*fakeHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []*fakeHost
	for _, host := range f.hosts {
		hosts = append(hosts, host)
	}
	return hosts
}

func (f *fleet) host(name string) *fakeHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

func (f *fleet) close() {
	for _, host := range f.allHosts() {
		host.resume()
	}
	for _, host := range f.allHosts() {
		host.kill()
	}
}

// push pushes config through host, based on the host's current version.
func (f *fleet) push(host *fakeHost, config bhconf.Config) PushResult {
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	push := Push{ID: fmt.Sprint(time.Now().UnixNano()), Base: host.store().Version(), Config: config}
	result, err := host.node.Push(ctx, push)
	require.NoError(f.t, err)
	return result
}

func (h *fakeHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	view := &hostView{fakePlatform: h.fleet.platform, blocked: h.platformBlocked, waitWhilePaused: h.waitWhilePaused}
	store := NewStore(StoreConfig{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop, h.done = cancel, make(chan struct{})
	h.node = NewNode(NodeConfig{Host: h.name, Entry: h.entry, Store: store, Platform: view.platform()})
	go func(node *Node, done chan struct{}) {
		defer close(done)
		var group sync.WaitGroup
		group.Go(func() { _ = node.Run(ctx) })
		dialed := map[*fakeHost]bool{h: true}
		for ctx.Err() == nil {
			for _, host := range h.fleet.allHosts() {
				if host.entry && (!h.entry || host.name < h.name) && !dialed[host] {
					dialed[host] = true
					group.Go(func() { h.keepSession(ctx, node, host) })
				}
			}
			bhtree.Sleep(ctx, redialInterval)
		}
		group.Wait()
	}(h.node, h.done)
}

// kill stops the host, which loses its memory.
func (h *fakeHost) kill() {
	h.resume()
	h.mu.Lock()
	stop, done := h.stop, h.done
	h.mu.Unlock()
	stop()
	<-done
}

func (h *fakeHost) store() *Store {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.store
}

func (h *fakeHost) bytesSent() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sentBytes
}

func (h *fakeHost) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = make(chan struct{})
}

func (h *fakeHost) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused != nil {
		close(h.paused)
		h.paused = nil
	}
}

// waitWhilePaused blocks while the host is paused, as when its process is
// stopped.
func (h *fakeHost) waitWhilePaused() {
	h.mu.Lock()
	resumed := h.paused
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (h *fakeHost) setPartitioned(partitioned bool, reachable ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned, h.reachableHosts = partitioned, make(map[string]bool)
	for _, name := range reachable {
		h.reachableHosts[name] = true
	}
}

func (h *fakeHost) setPlatformCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.platformCut = cut
}

func (h *fakeHost) platformBlocked() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.platformCut || h.partitioned && !h.keepsPlatform
}

func (h *fakeHost) reaches(other *fakeHost) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.partitioned || h.reachableHosts[other.name]
}

func (h *fakeHost) hello() bhwire.Hello {
	role := bhconf.RoleSidecar
	if h.entry {
		role = bhconf.RoleEntry
	}
	return bhwire.Hello{Host: h.name, Role: string(role)}
}

// keepSession runs sessions to an entry whenever both hosts are up and reach
// each other.
func (h *fakeHost) keepSession(ctx context.Context, node *Node, entry *fakeHost) {
	for ctx.Err() == nil {
		entry.mu.Lock()
		entryDone, entryNode := entry.done, entry.node
		entry.mu.Unlock()
		if entryDone != nil && h.reaches(entry) && entry.reaches(h) {
			runSession(ctx, entryDone, h, entry, node, entryNode)
		}
		bhtree.Sleep(ctx, redialInterval)
	}
}

// runSession delivers frames between two nodes until one of them stops or the
// hosts no longer reach each other.
func runSession(ctx context.Context, entryDone chan struct{}, a, b *fakeHost, nodeA, nodeB *Node) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	toB, toA := newFrameQueue(a), newFrameQueue(b)
	linkA, linkB := nodeA.AddPeer(toB, b.hello()), nodeB.AddPeer(toA, a.hello())
	var group sync.WaitGroup
	group.Go(func() { toB.deliver(ctx, b, linkB) })
	group.Go(func() { toA.deliver(ctx, a, linkA) })
	for a.reaches(b) && b.reaches(a) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-entryDone:
			cancel()
		case <-time.After(redialInterval):
		}
	}
	cancel()
	_ = linkA.Close()
	_ = linkB.Close()
	group.Wait()
}

// frameQueue is one direction of a session, with frames in encoded form. It
// implements Peer.
type frameQueue struct {
	from   *fakeHost
	frames chan []byte
}

func newFrameQueue(from *fakeHost) *frameQueue {
	return &frameQueue{from: from, frames: make(chan []byte, 256)}
}

func (p *frameQueue) SendMessage(ctx context.Context, kind bhwire.Kind, stream uint64, message any) error {
	p.from.waitWhilePaused()
	frame, err := bhwire.Encode(kind, stream, message)
	if err != nil {
		return err
	}
	data, err := bhwire.AppendFrame(nil, frame)
	if err != nil {
		return err
	}
	select {
	case p.frames <- data:
	case <-ctx.Done():
		return bhcode.New(bhcode.LinkLost, "full")
	}
	p.from.mu.Lock()
	p.from.sentBytes += len(data) + packetOverheadBytes
	p.from.mu.Unlock()
	return nil
}

func (p *frameQueue) deliver(ctx context.Context, to *fakeHost, link *Link) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-p.frames:
			bhtree.Sleep(ctx, linkDelay)
			to.waitWhilePaused()
			if !p.from.reaches(to) || !to.reaches(p.from) || ctx.Err() != nil {
				return
			}
			frame, _, err := bhwire.NextFrame(data)
			if err != nil {
				return
			}
			_, _ = link.Handle(frame)
		}
	}
}

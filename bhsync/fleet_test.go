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
	// packetBytes is what TCP, IP and WebSocket headers add to a message.
	packetBytes = 46
	linkDelay   = 2 * time.Millisecond
	redialDelay = 500 * time.Millisecond
)

// fleet runs nodes in one process with links in memory.
type fleet struct {
	t        *testing.T
	platform *fakePlatform

	mu    sync.Mutex
	hosts map[string]*fakeHost
}

// fakeHost is one host, which may be started several times.
type fakeHost struct {
	name  string
	entry bool
	fleet *fleet

	mu   sync.Mutex
	node *Node
	stop context.CancelFunc
	done chan struct{}
	sent int
	// cut hosts reach nobody but the hosts in island. frozen is closed on thaw.
	cut bool
	// online says that the platform is reached all the same.
	online bool
	// offline says that the platform isn't reached.
	offline bool
	island  map[string]bool
	frozen  chan struct{}
}

func newFleet(t *testing.T, entries, sidecars int) *fleet {
	f := &fleet{t: t, platform: newFakePlatform(), hosts: make(map[string]*fakeHost)}
	for i := range entries {
		f.add(fmt.Sprintf("entry-%02d", i), true)
	}
	for i := range sidecars {
		f.add(fmt.Sprintf("sidecar-%03d", i), false)
	}
	return f
}

func (f *fleet) add(name string, entry bool) *fakeHost {
	host := &fakeHost{name: name, entry: entry, fleet: f}
	f.mu.Lock()
	f.hosts[name] = host
	f.mu.Unlock()
	role := string(bhconf.RoleSidecar)
	if entry {
		role = string(bhconf.RoleEntry)
	}
	f.platform.set(func(p *fakePlatform) { p.hosts = append(p.hosts, bhplatform.Host{Name: name, Role: role}) })
	host.start()
	return host
}

func (f *fleet) all() []*fakeHost {
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
	for _, host := range f.all() {
		host.thaw()
	}
	for _, host := range f.all() {
		host.kill()
	}
}

// push pushes config on the newest version through a host.
func (f *fleet) push(host *fakeHost, config bhconf.Config) Result {
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	push := Push{ID: fmt.Sprint(time.Now().UnixNano()), Base: host.store().Version(), Config: config}
	result, err := host.node.Push(ctx, push)
	require.NoError(f.t, err)
	return result
}

func (h *fakeHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	view := &view{fakePlatform: h.fleet.platform, blocked: h.isCut, gate: h.gate}
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
			for _, other := range h.fleet.all() {
				if other.entry && (!h.entry || other.name < h.name) && !dialed[other] {
					dialed[other] = true
					group.Go(func() { h.dial(ctx, node, other) })
				}
			}
			bhtree.Sleep(ctx, redialDelay)
		}
		group.Wait()
	}(h.node, h.done)
}

// kill ends the host. Its memory is lost.
func (h *fakeHost) kill() {
	h.thaw()
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

func (h *fakeHost) bytes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent
}

func (h *fakeHost) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = make(chan struct{})
}

func (h *fakeHost) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
}

func (h *fakeHost) gate() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (h *fakeHost) setCut(cut bool, island ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut, h.island = cut, make(map[string]bool)
	for _, name := range island {
		h.island[name] = true
	}
}

func (h *fakeHost) setOffline(offline bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offline = offline
}

func (h *fakeHost) isCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offline || h.cut && !h.online
}

func (h *fakeHost) reaches(other *fakeHost) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.cut || h.island[other.name]
}

func (h *fakeHost) hello() bhwire.Hello {
	role := bhconf.RoleSidecar
	if h.entry {
		role = bhconf.RoleEntry
	}
	return bhwire.Hello{Host: h.name, Role: string(role)}
}

// dial keeps a session to an entry while both are up and reach each other.
func (h *fakeHost) dial(ctx context.Context, node *Node, entry *fakeHost) {
	for ctx.Err() == nil {
		entry.mu.Lock()
		up, other := entry.done, entry.node
		entry.mu.Unlock()
		if up != nil && h.reaches(entry) && entry.reaches(h) {
			session(ctx, up, h, entry, node, other)
		}
		bhtree.Sleep(ctx, redialDelay)
	}
}

// session carries frames between two nodes until one ends or they lose each other.
func session(ctx context.Context, up chan struct{}, a, b *fakeHost, nodeA, nodeB *Node) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	toB, toA := newPipe(a), newPipe(b)
	linkA, linkB := nodeA.Join(toB, b.hello()), nodeB.Join(toA, a.hello())
	var group sync.WaitGroup
	group.Go(func() { toB.deliver(ctx, b, linkB) })
	group.Go(func() { toA.deliver(ctx, a, linkA) })
	for a.reaches(b) && b.reaches(a) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-up:
			cancel()
		case <-time.After(redialDelay):
		}
	}
	cancel()
	_ = linkA.Close()
	_ = linkB.Close()
	group.Wait()
}

// pipe is one direction of a session. It implements Peer.
type pipe struct {
	from   *fakeHost
	frames chan []byte
}

func newPipe(from *fakeHost) *pipe { return &pipe{from: from, frames: make(chan []byte, 256)} }

func (p *pipe) SendMessage(ctx context.Context, kind bhwire.Kind, stream uint64, message any) error {
	p.from.gate()
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
	p.from.sent += len(data) + packetBytes
	p.from.mu.Unlock()
	return nil
}

func (p *pipe) deliver(ctx context.Context, to *fakeHost, link *Link) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-p.frames:
			bhtree.Sleep(ctx, linkDelay)
			to.gate()
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

package bhbatch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// node is one host's access to the platform and its engine. It can be frozen
// (everything waits until it is thawed) and killed (nothing has an effect).
type node struct {
	fake *fakePlatform
	mu   sync.Mutex
	dead bool
	ice  chan struct{}
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ice == nil {
		n.ice = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ice != nil {
		close(n.ice)
		n.ice = nil
	}
}

func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.thaw()
}

func (n *node) pass() error {
	n.mu.Lock()
	ice := n.ice
	n.mu.Unlock()
	if ice != nil {
		<-ice
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		return bhcode.New(bhcode.PlatformUnavailable, "host is dead")
	}
	return nil
}

func (n *node) Get(ctx context.Context, key string) (bhplatform.Row, error) {
	if err := n.pass(); err != nil {
		return bhplatform.Row{}, err
	}
	row, err := n.fake.Get(ctx, key)
	if dead := n.pass(); dead != nil {
		return bhplatform.Row{}, dead
	}
	return row, err
}

func (n *node) List(ctx context.Context, prefix, after string, limit int) ([]bhplatform.Row, error) {
	if err := n.pass(); err != nil {
		return nil, err
	}
	return n.fake.List(ctx, prefix, after, limit)
}

func (n *node) Commit(ctx context.Context, writes ...bhplatform.Write) ([]bhplatform.Version, error) {
	if err := n.pass(); err != nil {
		return nil, err
	}
	versions, err := n.fake.Commit(ctx, writes...)
	if dead := n.pass(); dead != nil {
		return nil, dead
	}
	return versions, err
}

type nodeObjects struct{ *node }

func (n nodeObjects) Put(ctx context.Context, name string, body io.Reader) error {
	if err := n.pass(); err != nil {
		return err
	}
	return fakeObjects{n.fake}.Put(ctx, name, body)
}

func (n nodeObjects) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	if err := n.pass(); err != nil {
		return nil, err
	}
	return fakeObjects{n.fake}.Get(ctx, name, offset)
}

func (n nodeObjects) Delete(ctx context.Context, name string) error {
	return fakeObjects{n.fake}.Delete(ctx, name)
}

// nodeEngine is the engine of a host.
type nodeEngine struct {
	node   *node
	engine *fakeEngine
}

func (e nodeEngine) Run(ctx context.Context, item Item, resume Resume, emit func(string, int)) (Result, error) {
	result, err := e.engine.Run(ctx, item, resume, func(text string, tokens int) {
		if e.node.pass() == nil {
			emit(text, tokens)
		}
	})
	if dead := e.node.pass(); dead != nil {
		return Result{}, dead
	}
	return result, err
}

// host is a node with a runner.
type host struct {
	node   *node
	engine *fakeEngine
	stop   func()
}

func startHost(fake *fakePlatform, name string, poison map[string]bhcode.Code) *host {
	n := &node{fake: fake}
	platform := bhplatform.Platform{Table: n, Objects: nodeObjects{n}}
	engine := newFakeEngine()
	engine.poison = poison
	store := NewStore(StoreConfig{Platform: platform, ChunkItems: 5})
	_, stop := start(store, nodeEngine{node: n, engine: engine}, newFakeGate(4), name)
	return &host{node: n, engine: engine, stop: stop}
}

// faultKind is one kind of fault.
type faultKind string

const (
	faultKill    faultKind = "kill"
	faultFreeze  faultKind = "freeze"
	faultTable   faultKind = "table down"
	faultObjects faultKind = "objects down"
	faultSlow    faultKind = "slow"
	faultLost    faultKind = "replies lost"
	faultLate    faultKind = "writes late"
	faultRefused faultKind = "operations refused"
	faultBurst   faultKind = "engine crash"
)

var faultKinds = []faultKind{
	faultKill, faultFreeze, faultTable, faultObjects, faultSlow, faultLost, faultLate, faultRefused, faultBurst,
}

// fault is a fault that begins at a time and lasts for another.
type fault struct {
	Kind  faultKind
	After time.Duration
	Lasts time.Duration
	Host  int
}

// trial is a set of hosts that run jobs under faults.
type trial struct {
	fake   *fakePlatform
	mu     sync.Mutex
	hosts  []*host
	poison map[string]bhcode.Code
}

const trialHosts = 3

func newTrial(seed uint64, poison map[string]bhcode.Code) *trial {
	t := &trial{fake: newFakePlatform(seed), poison: poison}
	for i := range trialHosts {
		t.hosts = append(t.hosts, startHost(t.fake, fmt.Sprintf("s%d", i), poison))
	}
	return t
}

func (t *trial) host(i int) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[i]
}

// apply begins a fault and returns the function that ends it.
func (t *trial) apply(f fault) func() {
	set := func(begin, end func(*fakePlatform)) func() {
		t.fake.set(begin)
		return func() { t.fake.set(end) }
	}
	switch f.Kind {
	case faultKill:
		old := t.host(f.Host)
		old.node.kill()
		old.engine.crash()
		return func() {
			old.stop()
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.hosts[f.Host] == old {
				t.hosts[f.Host] = startHost(t.fake, fmt.Sprintf("s%d", f.Host), t.poison)
			}
		}
	case faultFreeze:
		t.host(f.Host).node.freeze()
		return t.host(f.Host).node.thaw
	case faultTable:
		return set(func(p *fakePlatform) { p.tableDown = true }, func(p *fakePlatform) { p.tableDown = false })
	case faultObjects:
		return set(func(p *fakePlatform) { p.objectsDown = true }, func(p *fakePlatform) { p.objectsDown = false })
	case faultSlow:
		return set(func(p *fakePlatform) { p.delay = 700 * time.Millisecond }, func(p *fakePlatform) { p.delay = 0 })
	case faultLost:
		return set(func(p *fakePlatform) { p.lost = 0.5 }, func(p *fakePlatform) { p.lost = 0 })
	case faultLate:
		return set(func(p *fakePlatform) { p.late = 0.5 }, func(p *fakePlatform) { p.late = 0 })
	case faultRefused:
		return set(func(p *fakePlatform) { p.refused = 0.3 }, func(p *fakePlatform) { p.refused = 0 })
	case faultBurst:
		t.host(f.Host).engine.crash()
	}
	return func() {}
}

// play applies the faults one after the other and each until its end, so that
// they overlap.
func (t *trial) play(faults []fault) {
	var group sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.After)
		end := t.apply(f)
		group.Go(func() {
			time.Sleep(f.Lasts)
			end()
		})
	}
	group.Wait()
}

func (t *trial) close() {
	for i := range t.hosts {
		t.host(i).stop()
	}
}

// history checks that what was acknowledged never changes.
type history struct {
	store *Store
	id    string
	last  Counts
	lines map[string]string
}

// observe reads counts and results and compares them with earlier ones.
func (h *history) observe(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	status, err := h.store.Get(ctx, account, h.id)
	if err != nil {
		return
	}
	require.GreaterOrEqual(t, status.Counts.Completed, h.last.Completed)
	require.GreaterOrEqual(t, status.Counts.Failed, h.last.Failed)
	h.last = status.Counts
	body, err := h.store.Results(ctx, account, h.id, SelectAll)
	if err != nil {
		return
	}
	defer body.Close()
	data, err := io.ReadAll(body)
	if err != nil {
		return
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(data)) {
		id, _, _ := strings.Cut(line, `"custom_id"`)
		require.NotContains(t, lines, id)
		lines[id] = line
	}
	for id, line := range h.lines {
		require.Equal(t, line, lines[id], "an acknowledged result changed")
	}
	h.lines = lines
}

// runTrial runs two jobs under the faults and checks what came of them.
func runTrial(t *testing.T, seed uint64, faults []fault) {
	synctest.Test(t, func(t *testing.T) {
		poison := map[string]bhcode.Code{"item-7": bhcode.UpstreamLost, "item-31": bhcode.BadRequest}
		trial := newTrial(seed, poison)
		defer trial.close()
		// The entry is lost right after the acknowledgement: another store reads.
		first := submit(t, newStore(trial.fake, 5), 120, "a")
		second := submit(t, newStore(trial.fake, 5), 40, "b")
		done := make(chan struct{})
		go func() {
			defer close(done)
			trial.play(faults)
		}()
		reader := newStore(trial.fake, 5)
		histories := []*history{{store: reader, id: first.ID}, {store: reader, id: second.ID}}
		for range 20 {
			time.Sleep(5 * time.Second)
			for _, h := range histories {
				h.observe(t)
			}
		}
		<-done
		failed := map[string]string{"item-7": "item_crashed (6005)", "item-31": "bad_request (1001)"}
		for i, items := range []int{120, 40} {
			h := histories[i]
			status := await(t, reader, h.id, 2*time.Hour)
			require.Equal(t, Counts{Completed: items - 2, Failed: 2, Tokens: 10 * (items - 2)}, status.Counts)
			h.observe(t)
			requireAnswers(t, results(t, reader, h.id), items, failed)
		}
	})
}

func TestExactlyOnceUnderEachFault(t *testing.T) {
	for _, kind := range faultKinds {
		t.Run(string(kind), func(t *testing.T) {
			runTrial(t, 1, []fault{
				{Kind: kind, After: 4 * time.Second, Lasts: 3 * time.Minute},
				{Kind: kind, After: 2 * time.Second, Lasts: 100 * time.Second, Host: 1},
			})
		})
	}
}

func TestExactlyOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		faults := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
			return fault{
				Kind:  rapid.SampledFrom(faultKinds).Draw(r, "kind"),
				After: time.Duration(rapid.IntRange(0, 15_000).Draw(r, "after")) * time.Millisecond,
				Lasts: time.Duration(rapid.IntRange(100, 180_000).Draw(r, "lasts")) * time.Millisecond,
				Host:  rapid.IntRange(0, trialHosts-1).Draw(r, "host"),
			}
		}), 1, 12).Draw(r, "faults")
		runTrial(t, seed, faults)
	})
}

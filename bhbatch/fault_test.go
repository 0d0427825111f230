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

// hostAccess is one host's access to the platform. While it is paused every
// call waits; once it is killed every call fails.
type hostAccess struct {
	fake *fakePlatform
	mu   sync.Mutex
	dead bool
	// resumed is closed when a pause ends; nil while there is no pause.
	resumed chan struct{}
}

func (a *hostAccess) pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.resumed == nil {
		a.resumed = make(chan struct{})
	}
}

func (a *hostAccess) resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.resumed != nil {
		close(a.resumed)
		a.resumed = nil
	}
}

func (a *hostAccess) kill() {
	a.mu.Lock()
	a.dead = true
	a.mu.Unlock()
	a.resume()
}

// waitAlive waits while the host is paused and returns an error once it is
// killed.
func (a *hostAccess) waitAlive() error {
	a.mu.Lock()
	resumed := a.resumed
	a.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dead {
		return bhcode.New(bhcode.PlatformUnavailable, "host is dead")
	}
	return nil
}

func (a *hostAccess) Get(ctx context.Context, key string) (bhplatform.Row, error) {
	if err := a.waitAlive(); err != nil {
		return bhplatform.Row{}, err
	}
	row, err := a.fake.Get(ctx, key)
	if dead := a.waitAlive(); dead != nil {
		return bhplatform.Row{}, dead
	}
	return row, err
}

func (a *hostAccess) List(ctx context.Context, prefix, after string, limit int) ([]bhplatform.Row, error) {
	if err := a.waitAlive(); err != nil {
		return nil, err
	}
	return a.fake.List(ctx, prefix, after, limit)
}

func (a *hostAccess) Commit(ctx context.Context, writes ...bhplatform.Write) ([]bhplatform.Version, error) {
	if err := a.waitAlive(); err != nil {
		return nil, err
	}
	versions, err := a.fake.Commit(ctx, writes...)
	if dead := a.waitAlive(); dead != nil {
		return nil, dead
	}
	return versions, err
}

type hostObjects struct{ *hostAccess }

func (o hostObjects) Put(ctx context.Context, name string, body io.Reader) error {
	if err := o.waitAlive(); err != nil {
		return err
	}
	return fakeObjects{o.fake}.Put(ctx, name, body)
}

func (o hostObjects) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	if err := o.waitAlive(); err != nil {
		return nil, err
	}
	return fakeObjects{o.fake}.Get(ctx, name, offset)
}

func (o hostObjects) Delete(ctx context.Context, name string) error {
	return fakeObjects{o.fake}.Delete(ctx, name)
}

// hostEngine is the engine of a host that can be paused and killed.
type hostEngine struct {
	access *hostAccess
	engine *fakeEngine
}

func (e hostEngine) Run(ctx context.Context, item Item, resume ResumePoint, emit func(Piece)) (Result, error) {
	result, err := e.engine.Run(ctx, item, resume, func(piece Piece) {
		if e.access.waitAlive() == nil {
			emit(piece)
		}
	})
	if dead := e.access.waitAlive(); dead != nil {
		return Result{}, dead
	}
	return result, err
}

// host is one host with its engine and the function that stops its runner.
type host struct {
	access *hostAccess
	engine *fakeEngine
	stop   func()
}

func startHost(fake *fakePlatform, name string, itemErrors map[string]bhcode.Code) *host {
	a := &hostAccess{fake: fake}
	platform := bhplatform.Platform{Table: a, Objects: hostObjects{a}}
	engine := newFakeEngine()
	engine.itemErrors = itemErrors
	store := NewStore(StoreConfig{Platform: platform, ChunkItems: 5})
	_, stop := startNewRunner(store, hostEngine{access: a, engine: engine}, newFakeGate(4), name)
	return &host{access: a, engine: engine, stop: stop}
}

// faultKind is one kind of fault.
type faultKind string

const (
	faultKill        faultKind = "kill"
	faultPause       faultKind = "freeze"
	faultTable       faultKind = "table down"
	faultObjects     faultKind = "objects down"
	faultSlow        faultKind = "slow"
	faultLost        faultKind = "replies lost"
	faultLate        faultKind = "writes late"
	faultRefused     faultKind = "operations refused"
	faultEngineCrash faultKind = "engine crash"
)

var faultKinds = []faultKind{
	faultKill, faultPause, faultTable, faultObjects, faultSlow, faultLost, faultLate, faultRefused, faultEngineCrash,
}

// fault is a fault that begins After the previous one began and lasts for
// Duration.
type fault struct {
	Kind     faultKind
	After    time.Duration
	Duration time.Duration
	Host     int
}

// faultCluster is a set of hosts that run jobs under faults.
type faultCluster struct {
	fake       *fakePlatform
	mu         sync.Mutex
	hosts      []*host
	itemErrors map[string]bhcode.Code
}

const clusterHosts = 3

func newFaultCluster(seed uint64, itemErrors map[string]bhcode.Code) *faultCluster {
	c := &faultCluster{fake: newFakePlatform(seed), itemErrors: itemErrors}
	for i := range clusterHosts {
		c.hosts = append(c.hosts, startHost(c.fake, fmt.Sprintf("s%d", i), itemErrors))
	}
	return c
}

func (c *faultCluster) host(i int) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[i]
}

// startFault begins a fault and returns the function that ends it.
func (c *faultCluster) startFault(f fault) func() {
	set := func(begin, end func(*fakePlatform)) func() {
		c.fake.update(begin)
		return func() { c.fake.update(end) }
	}
	switch f.Kind {
	case faultKill:
		old := c.host(f.Host)
		old.access.kill()
		old.engine.crash()
		return func() {
			old.stop()
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.hosts[f.Host] == old {
				c.hosts[f.Host] = startHost(c.fake, fmt.Sprintf("s%d", f.Host), c.itemErrors)
			}
		}
	case faultPause:
		c.host(f.Host).access.pause()
		return c.host(f.Host).access.resume
	case faultTable:
		return set(func(p *fakePlatform) { p.tableDown = true }, func(p *fakePlatform) { p.tableDown = false })
	case faultObjects:
		return set(func(p *fakePlatform) { p.objectsDown = true }, func(p *fakePlatform) { p.objectsDown = false })
	case faultSlow:
		return set(func(p *fakePlatform) { p.delay = 700 * time.Millisecond }, func(p *fakePlatform) { p.delay = 0 })
	case faultLost:
		return set(func(p *fakePlatform) { p.lostReplyShare = 0.5 }, func(p *fakePlatform) { p.lostReplyShare = 0 })
	case faultLate:
		return set(func(p *fakePlatform) { p.lateWriteShare = 0.5 }, func(p *fakePlatform) { p.lateWriteShare = 0 })
	case faultRefused:
		return set(func(p *fakePlatform) { p.refusedShare = 0.3 }, func(p *fakePlatform) { p.refusedShare = 0 })
	case faultEngineCrash:
		c.host(f.Host).engine.crash()
	}
	return func() {}
}

// injectFaults begins the faults one after the other and ends each after its
// duration, so that they overlap. It returns once all have ended.
func (c *faultCluster) injectFaults(faults []fault) {
	var group sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.After)
		end := c.startFault(f)
		group.Go(func() {
			time.Sleep(f.Duration)
			end()
		})
	}
	group.Wait()
}

func (c *faultCluster) close() {
	for i := range c.hosts {
		c.host(i).stop()
	}
}

// resultObserver checks that acknowledged counts never fall and that
// acknowledged results never change.
type resultObserver struct {
	store *Store
	id    string
	last  Counts
	lines map[string]string
}

// observe reads the counts and results and compares them with those read
// earlier. It returns early if a read fails.
func (o *resultObserver) observe(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	status, err := o.store.Get(ctx, testAccount, o.id)
	if err != nil {
		return
	}
	require.GreaterOrEqual(t, status.Counts.Completed, o.last.Completed)
	require.GreaterOrEqual(t, status.Counts.Failed, o.last.Failed)
	o.last = status.Counts
	body, err := o.store.Results(ctx, testAccount, o.id, SelectAll)
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
	for id, line := range o.lines {
		require.Equal(t, line, lines[id], "an acknowledged result changed")
	}
	o.lines = lines
}

// runUnderFaults runs two jobs under the faults and requires exactly one right
// result of each item.
func runUnderFaults(t *testing.T, seed uint64, faults []fault) {
	synctest.Test(t, func(t *testing.T) {
		itemErrors := map[string]bhcode.Code{"item-7": bhcode.UpstreamLost, "item-31": bhcode.BadRequest}
		cluster := newFaultCluster(seed, itemErrors)
		defer cluster.close()
		// The loss of the entry right after the acknowledgement is simulated:
		// each batch is created through its own store and read through another
		// one.
		first := submitBatch(t, newStore(cluster.fake, 5), 120, "a")
		second := submitBatch(t, newStore(cluster.fake, 5), 40, "b")
		done := make(chan struct{})
		go func() {
			defer close(done)
			cluster.injectFaults(faults)
		}()
		reader := newStore(cluster.fake, 5)
		observers := []*resultObserver{{store: reader, id: first.ID}, {store: reader, id: second.ID}}
		for range 20 {
			time.Sleep(5 * time.Second)
			for _, observer := range observers {
				observer.observe(t)
			}
		}
		<-done
		failed := map[string]string{"item-7": "item_crashed (6005)", "item-31": "bad_request (1001)"}
		for i, items := range []int{120, 40} {
			observer := observers[i]
			status := awaitEnd(t, reader, observer.id, 2*time.Hour)
			require.Equal(t, Counts{Completed: items - 2, Failed: 2, Tokens: 10 * (items - 2)}, status.Counts)
			observer.observe(t)
			requireAnswers(t, readResults(t, reader, observer.id), items, failed)
		}
	})
}

func TestExactlyOnceUnderEachFault(t *testing.T) {
	for _, kind := range faultKinds {
		t.Run(string(kind), func(t *testing.T) {
			runUnderFaults(t, 1, []fault{
				{Kind: kind, After: 4 * time.Second, Duration: 3 * time.Minute},
				{Kind: kind, After: 2 * time.Second, Duration: 100 * time.Second, Host: 1},
			})
		})
	}
}

func TestExactlyOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		faults := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
			return fault{
				Kind:     rapid.SampledFrom(faultKinds).Draw(r, "kind"),
				After:    time.Duration(rapid.IntRange(0, 15_000).Draw(r, "after")) * time.Millisecond,
				Duration: time.Duration(rapid.IntRange(100, 180_000).Draw(r, "lasts")) * time.Millisecond,
				Host:     rapid.IntRange(0, clusterHosts-1).Draw(r, "host"),
			}
		}), 1, 12).Draw(r, "faults")
		runUnderFaults(t, seed, faults)
	})
}

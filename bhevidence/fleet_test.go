package bhevidence

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// window is the time within which all machines must know what one has learned.
	window = 3 * time.Second
	// allowedRetries is how often a crashing request may be sent later than that.
	allowedRetries = 3
)

// testFleet runs registries that exchange frames over a network in memory.
type testFleet struct {
	t     *testing.T
	store bhplatform.Store

	mu        sync.Mutex
	random    *rand.Rand
	processes []*testProcess
	// loss is the share of the datagrams that are lost.
	loss float64
	// cut holds the numbers of the processes that reach none of the others.
	cut map[int]bool
	// answersLost says that the answers about trials are lost.
	answersLost bool
	// storeCut holds those that don't reach the store.
	storeCut map[int]bool
	// upstreams counts the upstreams that have ended, one for each crash.
	upstreams int
}

// testProcess is one process of the fleet. It implements Peers.
type testProcess struct {
	fleet    *testFleet
	number   int
	registry *Registry
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

func newTestFleet(t *testing.T, size int, store bhplatform.Store) *testFleet {
	f := &testFleet{t: t, store: store, random: rand.New(rand.NewPCG(1, 1)), cut: make(map[int]bool), storeCut: make(map[int]bool)}
	for i := range size {
		f.processes = append(f.processes, &testProcess{fleet: f, number: i})
	}
	for _, p := range f.processes {
		p.start()
	}
	return f
}

func (f *testFleet) stop() {
	for _, p := range f.processes {
		p.kill()
	}
}

// receiver returns the registry that a datagram from one process to the other reaches;
// nil if it is lost.
func (f *testFleet) receiver(from, to int) *Registry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.cut[to] || f.random.Float64() < f.loss {
		return nil
	}
	return f.processes[to].registry
}

func (f *testFleet) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answersLost
}

func (f *testFleet) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *testFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// start starts the process without evidence.
func (p *testProcess) start() {
	registry := New(Config{
		Peers: p, Store: p, Refuses: func(context.Context, string) bool { return true }, Logger: bhlog.Nop(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.fleet.set(func() { p.registry = registry })
	p.loops.Go(func() { _ = registry.Sync(ctx) })
	p.loops.Go(func() { _ = registry.Gossip(ctx) })
}

// kill ends the process.
func (p *testProcess) kill() {
	p.cancel()
	p.loops.Wait()
	p.fleet.set(func() { p.registry = nil })
}

func testAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 256), byte(number)}), 7)
}

func numberOf(address netip.AddrPort) int {
	bytes := address.Addr().As4()
	return int(bytes[2])*256 + int(bytes[3])
}

// Order implements Peers.
func (p *testProcess) Order(key string) []netip.AddrPort {
	order := make([]netip.AddrPort, len(p.fleet.processes))
	for i := range order {
		if number := (i + int(key[0])) % len(order); number != p.number {
			order[i] = testAddress(number)
		}
	}
	return order
}

// All implements Peers.
func (p *testProcess) All() []netip.AddrPort {
	return slices.DeleteFunc(p.Order("0"), func(address netip.AddrPort) bool { return !address.IsValid() })
}

// Tell implements Peers.
func (p *testProcess) Tell(kind bhwire.Kind, message any, peers ...netip.AddrPort) {
	for _, peer := range peers {
		p.fleet.send(p.number, numberOf(peer), kind, message)
	}
}

// send delivers a frame and returns the answer, if there is one.
func (f *testFleet) send(from, to int, kind bhwire.Kind, message any) (bhwire.Frame, bool) {
	registry := f.receiver(from, to)
	if registry == nil {
		return bhwire.Frame{}, false
	}
	frame, err := bhwire.Encode(kind, 1, message)
	require.NoError(f.t, err)
	data, err := bhwire.AppendFrame(nil, frame)
	require.NoError(f.t, err)
	require.LessOrEqual(f.t, len(data), 1400, "the frame fits into a datagram")
	if kind == bhwire.KindLosses {
		registry.handleLosses(frame)
		return bhwire.Frame{}, false
	}
	kind, answer := registry.handleTry(frame)
	if kind == "" || f.loseAnswer() || f.receiver(to, from) == nil {
		return bhwire.Frame{}, false
	}
	frame, err = bhwire.Encode(kind, 1, answer)
	require.NoError(f.t, err)
	return frame, true
}

// Ask implements Peers.
func (p *testProcess) Ask(_ context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame {
	answers := make(map[netip.AddrPort]bhwire.Frame)
	for _, peer := range peers {
		if frame, ok := p.fleet.send(p.number, numberOf(peer), kind, message); ok {
			answers[peer] = frame
		}
	}
	if len(answers) < len(peers) {
		time.Sleep(wait)
	}
	return answers
}

// Scan implements bhplatform.Store.
func (p *testProcess) Scan(ctx context.Context, scan bhplatform.Range) (bhplatform.Page, error) {
	if err := p.reachStore(); err != nil {
		return bhplatform.Page{}, err
	}
	return p.fleet.store.Scan(ctx, scan)
}

// Apply implements bhplatform.Store.
func (p *testProcess) Apply(ctx context.Context, transaction bhplatform.Transaction) (bhplatform.Receipt, error) {
	if err := p.reachStore(); err != nil {
		return bhplatform.Receipt{}, err
	}
	return p.fleet.store.Apply(ctx, transaction)
}

func (p *testProcess) reachStore() error {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.storeCut[p.number] {
		return bhcode.New(bhcode.PlatformUnavailable, "cut off")
	}
	return nil
}

// lethal is the digest of a request that ends each upstream.
var lethal = bhcrash.Content{Account: "zoo", Target: "/kill"}.Traits()

// lethalPart is the digest of a part of prompts that ends each upstream.
var lethalPart = promptWith("bad").Parts[1]

// promptWith returns the traits of a request with the part in its prompt after the
// account's own, and with content that no other has.
func promptWith(part string) bhcrash.Traits {
	return bhcrash.Content{Account: "zoo", Target: fmt.Sprint("/chat/", rand.Uint64()), Parts: []string{"system", part}}.Traits()
}

// serve runs a request at the process as a gateway does: the lethal one ends its
// upstream. It reports whether the request was sent.
func (p *testProcess) serve(traits bhcrash.Traits) bool {
	permit, err := p.registry.Admit(context.Background(), traits)
	if err != nil {
		return false
	}
	if traits.Content != lethal.Content && !slices.Contains(traits.Parts, lethalPart) {
		p.registry.Whole(traits)
		return true
	}
	p.fleet.mu.Lock()
	p.fleet.upstreams++
	upstream := fmt.Sprint("i-", p.fleet.upstreams)
	p.fleet.mu.Unlock()
	p.registry.Lost(context.Background(), Loss{Traits: traits, Upstream: bhcrash.Source{Host: upstream}, SentAt: time.Now(), Permit: permit})
	return true
}

// sendEverywhere sends lethal requests to all processes for the time, one every 100 ms,
// and returns how often one was sent on to an upstream.
func (f *testFleet) sendEverywhere(length time.Duration, next func() bhcrash.Traits) int {
	sent := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(100 * time.Millisecond) {
		p := f.processes[f.randomInt(len(f.processes))]
		if p.registry != nil && p.serve(next()) {
			sent++
		}
	}
	return sent
}

// theLethal returns the lethal request.
func theLethal() bhcrash.Traits { return lethal }

// troubles are what happens to a fleet after crashes.
var troubles = map[string]func(f *testFleet){
	"calm":              func(*testFleet) {},
	"datagrams lost":    func(f *testFleet) { f.set(func() { f.loss = 0.5 }) },
	"no datagrams":      func(f *testFleet) { f.set(func() { f.loss = 1 }) },
	"without the store": func(f *testFleet) { f.cutStore() },
	"without the store, restarted one after the other": func(f *testFleet) {
		f.cutStore()
		for _, p := range f.processes {
			p.kill()
			p.start()
			time.Sleep(500 * time.Millisecond)
		}
	},
	"some cut off from the others": func(f *testFleet) { f.set(func() { f.cut[1], f.cut[2], f.cut[3] = true, true, true }) },
	"all killed at once": func(f *testFleet) {
		for _, p := range f.processes {
			p.kill()
		}
		for _, p := range f.processes {
			p.start()
		}
	},
}

// TestCrashingRequestIsRefusedEverywhere guards against a request that goes on ending
// upstreams through machines that haven't heard of it: in a fleet that loses datagrams,
// without the store, in cuts, and after kills of some and of all.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 9, bhstand.NewStore(bhstand.StoreConfig{}))
				defer f.stop()
				for range 3 {
					require.True(t, f.processes[f.randomInt(9)].serve(lethal))
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				trouble(f)
				f.sendEverywhere(window, theLethal)
				assert.LessOrEqual(t, f.sendEverywhere(2*time.Minute, theLethal), allowedRetries)
				assert.True(t, f.processes[4].serve(bhcrash.Content{Account: "zoo", Target: "/ok"}.Traits()))
			})
		})
	}
}

// TestCrashingPartIsRefusedEverywhere is TestCrashingRequestIsRefusedEverywhere for
// requests that share one part of their prompts. Those with the account's other parts are
// served.
func TestCrashingPartIsRefusedEverywhere(t *testing.T) {
	bad := func() bhcrash.Traits { return promptWith("bad") }
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 9, bhstand.NewStore(bhstand.StoreConfig{}))
				defer f.stop()
				for range 5 {
					f.processes[f.randomInt(9)].serve(bad())
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				trouble(f)
				f.sendEverywhere(window, bad)
				for number := range f.processes {
					f.processes[number].serve(promptWith("good"))
					time.Sleep(500 * time.Millisecond)
				}
				assert.LessOrEqual(t, f.sendEverywhere(2*time.Minute, bad), allowedRetries)
				for number, p := range f.processes {
					assert.True(t, p.serve(promptWith("good")), "process %d", number)
				}
			})
		})
	}
}

func (f *testFleet) cutStore() {
	f.set(func() {
		for i := range f.processes {
			f.storeCut[i] = true
		}
	})
}

// TestRequestThatDiedInABurstIsServed guards against a refusal of a request whose
// upstreams ended for another reason: one trial in the fleet clears it everywhere.
func TestRequestThatDiedInABurstIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 9, bhstand.NewStore(bhstand.StoreConfig{}))
		defer f.stop()
		status := bhcrash.Content{Account: "zoo", Target: "/status"}.Traits()
		for i := range 5 {
			f.processes[i].registry.Lost(t.Context(), Loss{Traits: status, Upstream: bhcrash.Source{Host: fmt.Sprint("i-", i)}})
		}
		assert.False(t, f.processes[8].serve(status))
		time.Sleep(1300 * time.Millisecond)
		require.True(t, f.processes[8].serve(status), "as the trial")
		for _, p := range f.processes {
			assert.True(t, p.serve(status))
		}
	})
}

// TestRestartUnderTheSameIDIsAnotherCrash guards against crashes that count once because
// the upstream is back under its ID before the list shows its new start.
func TestRestartUnderTheSameIDIsAnotherCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, bhstand.NewStore(bhstand.StoreConfig{}))
		defer f.stop()
		for range 3 {
			sentAt := time.Now()
			time.Sleep(20 * time.Millisecond)
			for _, p := range f.processes {
				p.registry.Lost(t.Context(), Loss{Traits: lethal, Upstream: bhcrash.Source{Host: "i-1", Incarnation: 7}, SentAt: sentAt})
			}
			time.Sleep(500 * time.Millisecond)
		}
		for _, p := range f.processes {
			assert.Len(t, p.registry.knownEntries(), 3)
			assert.True(t, bhcode.Is(p.registry.Withheld(lethal), bhcode.Withheld))
		}
	})
}

// TestBrokenConnectionAloneIsNoEvidence guards against requests that are held to have
// crashed an upstream that still listens.
func TestBrokenConnectionAloneIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := New(Config{Refuses: func(context.Context, string) bool { return false }, Logger: bhlog.Nop(), Scope: tally.NoopScope})
		for i := range 10 {
			registry.Lost(t.Context(), Loss{Traits: lethal, Upstream: bhcrash.Source{Host: fmt.Sprint("i-", i)}})
		}
		require.NoError(t, registry.Close())
		permit, err := registry.Admit(t.Context(), lethal)
		require.NoError(t, err)
		assert.Nil(t, permit)
	})
}

// TestStoreIsSwept guards against records that stay in the store when they no longer
// count.
func TestStoreIsSwept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, bhstand.NewStore(bhstand.StoreConfig{}))
		defer f.stop()
		f.sendEverywhere(window, theLethal)
		count := func(table string) int {
			page, err := bhplatform.ScanAll(t.Context(), f.store, bhplatform.Range{Table: table})
			require.NoError(t, err)
			return len(page.Records)
		}
		assert.GreaterOrEqual(t, count(evidenceTable), 3)
		assert.Equal(t, 1, count(trialTable))
		time.Sleep(bhcrash.Window + 10*syncInterval)
		assert.Zero(t, count(evidenceTable))
		assert.Zero(t, count(trialTable))
	})
}

// TestInvalidEvidenceIsIgnored guards against frames and records of others that can't
// be read.
func TestInvalidEvidenceIsIgnored(t *testing.T) {
	registry := New(Config{Logger: bhlog.Nop(), Scope: tally.NoopScope})
	registry.handleLosses(bhwire.Frame{Kind: bhwire.KindLosses, Body: []byte{0xff}})
	frame, err := bhwire.Encode(bhwire.KindLosses, 0, bhwire.Losses{Losses: []bhwire.Loss{{Digest: []byte("short"), Upstream: "i-1"}, {Digest: encodeDigest(lethal.Content), Upstream: "i-1", Age: -time.Second}}})
	require.NoError(t, err)
	registry.handleLosses(frame)
	assert.Empty(t, registry.knownEntries())
	for _, name := range []string{"", "x", lethal.Content, lethal.Content + "/i-1", lethal.Content + "/i-1/x", lethal.Content + "/i-1/1"} {
		_, _, err := decodeRecord(bhplatform.Record{Key: bhplatform.Key{Name: name}, Value: []byte("?")})
		assert.Error(t, err, name)
	}
}

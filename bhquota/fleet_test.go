package bhquota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

var tolerance = Tolerance{Over: 0.1, Slack: 20}

// window is the length of time for which the bound is checked.
const window = 5 * time.Second

// fleet is some gateways over one store.
type fleet struct {
	t     *testing.T
	store *bhstand.Store
	index atomic.Pointer[bhpolicy.Index]
	all   []*gateway

	mu    sync.Mutex
	taken map[string][]time.Duration
	draws int
	start time.Time
}

// gateway is one limiter whose host may be frozen, cut off or killed.
type gateway struct {
	fleet   *fleet
	host    string
	limiter *Limiter
	stop    context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	frozen time.Time
	cut    bool
	dead   bool
}

func newFleet(t *testing.T, store *bhstand.Store, accounts ...bhpolicy.Account) *fleet {
	f := &fleet{t: t, store: store, taken: make(map[string][]time.Duration), start: time.Now()}
	f.index.Store(bhpolicy.NewIndex(&bhpolicy.Policy{Accounts: accounts}))
	return f
}

// add starts a gateway on a host of its own.
func (f *fleet) add() *gateway { return f.startAt(fmt.Sprint("host-", len(f.all))) }

// startAt starts a gateway on the host.
func (f *fleet) startAt(host string) *gateway {
	g := &gateway{fleet: f, host: host, done: make(chan struct{})}
	g.limiter = New(Config{
		Peers:     g,
		Store:     g,
		Holder:    fmt.Sprintf("%s.%d", host, len(f.all)),
		Index:     f.index.Load,
		Tolerance: func() Tolerance { return tolerance },
		Clock:     bhclock.NewRuntime(),
		Logger:    bhlog.Nop(),
		Scope:     tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	g.stop = cancel
	go func() {
		defer close(g.done)
		_ = g.limiter.Run(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, g)
	return g
}

// gateways returns all gateways so far.
func (f *fleet) gateways() []*gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.all)
}

// Order implements Peers: the first gateways come first.
func (g *gateway) Order(string) []netip.AddrPort {
	var order []netip.AddrPort
	for i, other := range g.fleet.gateways() {
		other.mu.Lock()
		dead := other.dead
		other.mu.Unlock()
		switch {
		case other == g:
			order = append(order, netip.AddrPort{})
		case !dead || i%2 == 0: // some dead ones are still listed
			order = append(order, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)))
		}
	}
	return order
}

// Draw implements Peers. Frozen gateways answer late, dead ones never.
func (g *gateway) Draw(ctx context.Context, peer netip.AddrPort, account string) (bhwire.Drawn, bool) {
	other := g.fleet.gateways()[peer.Port()-1]
	other.mu.Lock()
	silent := other.dead || time.Now().Before(other.frozen)
	other.mu.Unlock()
	lost := g.fleet.lose()
	if silent || lost {
		_ = bhtree.Sleep(ctx, drawTimeout)
		if !silent {
			other.limiter.Lend(account) // the answer was lost
		}
		return bhwire.Drawn{}, false
	}
	drawn := other.limiter.Lend(account)
	time.Sleep(time.Millisecond)
	if frozen, _ := g.state(); frozen > 0 {
		time.Sleep(frozen)
	}
	return drawn, true
}

// lose reports whether a datagram is lost.
func (f *fleet) lose() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draws++
	return f.draws%50 == 0
}

// Rest implements Peers.
func (g *gateway) Rest(netip.AddrPort) {}

func (f *fleet) close() {
	for _, g := range f.all {
		g.stop()
		<-g.done
	}
	require.NoError(f.t, f.store.Close())
}

func (g *gateway) state() (frozen time.Duration, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.frozen), g.cut || g.dead
}

// pass waits out a freeze and reports whether the store can be reached.
func (g *gateway) pass() error {
	frozen, cut := g.state()
	if frozen > 0 {
		time.Sleep(frozen)
	}
	if cut {
		return bhcode.New(bhcode.PlatformUnavailable, "cut off")
	}
	return nil
}

// Scan implements bhplatform.Store.
func (g *gateway) Scan(ctx context.Context, scan bhplatform.Range) (bhplatform.Page, error) {
	if err := g.pass(); err != nil {
		return bhplatform.Page{}, err
	}
	page, err := g.fleet.store.Scan(ctx, scan)
	return page, firstError(g.pass(), err)
}

// Apply implements bhplatform.Store.
func (g *gateway) Apply(ctx context.Context, transaction bhplatform.Transaction) (bhplatform.Receipt, error) {
	if err := g.pass(); err != nil {
		return bhplatform.Receipt{}, err
	}
	receipt, err := g.fleet.store.Apply(ctx, transaction)
	if g.pass() != nil {
		return bhplatform.Receipt{}, bhcode.New(bhcode.PlatformUnknown, "cut off meanwhile")
	}
	return receipt, err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// take asks for a token unless the gateway can't act, and notes when it got one.
func (g *gateway) take(ctx context.Context, account string) bool {
	g.mu.Lock()
	idle := g.dead || time.Now().Before(g.frozen)
	g.mu.Unlock()
	if idle {
		return false
	}
	_, ok := g.limiter.Take(ctx, g.fleet.index.Load().AccountNamed(account))
	if frozen, _ := g.state(); frozen > 0 {
		time.Sleep(frozen) // the request is sent after the thaw
	}
	if ok {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		g.fleet.taken[account] = append(g.fleet.taken[account], time.Since(g.fleet.start))
	}
	return ok
}

// worst returns the most tokens taken in any window, and the bound on them.
func (f *fleet) worst(account *bhpolicy.Account) (int, float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.taken[account.Name]
	most, from := 0, 0
	for i := range times {
		for times[i]-times[from] > window {
			from++
		}
		most = max(most, i-from+1)
	}
	bound := (account.Rate*window.Seconds()+account.Burst)*(1+tolerance.Over) + tolerance.Slack
	return most, bound
}

// drive sends requests of the account at a rate, at random gateways, for a time.
func (f *fleet) drive(random *rand.Rand, account string, rate float64, length time.Duration) (asked, got int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		g := f.all[random.IntN(len(f.all))]
		asked++
		group.Go(func() {
			if g.take(context.Background(), account) {
				mu.Lock()
				defer mu.Unlock()
				got++
			}
		})
	}
	group.Wait()
	return asked, got
}

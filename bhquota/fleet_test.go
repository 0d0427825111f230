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

var tolerance = Tolerance{Over: 0.1, Slack: 20, Window: window}

// window is the length of the windows in which the bound is checked.
const window = 5 * time.Second

// patience is how long a request waits for a token: a fifth of a latency objective
// of 300 ms.
const patience = 60 * time.Millisecond

// fleet is a set of gateways that share one store. The takenAt times are
// counted from startedAt.
type fleet struct {
	t        *testing.T
	store    *bhstand.Store
	index    atomic.Pointer[bhpolicy.Index]
	gateways []*gateway
	// starts counts the processes, which are different holders.
	starts atomic.Int64

	mu sync.Mutex
	// takenAt holds the times at which tokens were taken, by account.
	takenAt   map[string][]time.Duration
	drawCount int
	startedAt time.Time
	// strangersUntil is until when gateways don't know each other.
	strangersUntil time.Time
}

// gateway is one limiter on a host that a test can freeze until frozenUntil, cut
// off from the store, or kill. It is the limiter's Store and Peers.
type gateway struct {
	fleet   *fleet
	host    string
	limiter *Limiter
	stop    context.CancelFunc
	done    chan struct{}

	mu          sync.Mutex
	frozenUntil time.Time
	cutOff      bool
	dead        bool
	restUntil   map[netip.AddrPort]time.Time
}

func newFleet(t *testing.T, store *bhstand.Store, accounts ...bhpolicy.Account) *fleet {
	f := &fleet{t: t, store: store, takenAt: make(map[string][]time.Duration), startedAt: time.Now()}
	f.index.Store(bhpolicy.NewIndex(&bhpolicy.Policy{Accounts: accounts}))
	return f
}

// addGateway starts a gateway on a host of its own.
func (f *fleet) addGateway() *gateway { return f.startGateway(fmt.Sprint("host-", len(f.gateways))) }

// startGateway starts a gateway on the host.
func (f *fleet) startGateway(host string) *gateway {
	g := &gateway{fleet: f, host: host, done: make(chan struct{})}
	g.limiter = New(Config{
		Peers:     g,
		Store:     g,
		Holder:    fmt.Sprintf("%s.%d", host, f.starts.Add(1)),
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
	f.gateways = append(f.gateways, g)
	return g
}

// listGateways returns all gateways started so far, including dead ones.
func (f *fleet) listGateways() []*gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.gateways)
}

// Order implements Peers. The order is that in which the gateways were started.
func (g *gateway) Order(string) []netip.AddrPort {
	if time.Now().Before(g.fleet.strangersUntil) {
		return []netip.AddrPort{{}}
	}
	var peers []netip.AddrPort
	for i, peer := range g.fleet.listGateways() {
		peer.mu.Lock()
		dead := peer.dead
		peer.mu.Unlock()
		address := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
		switch {
		case peer == g:
			peers = append(peers, netip.AddrPort{})
		case !g.rests(address) && (!dead || i%2 == 0): // dead gateways at even positions are still listed
			peers = append(peers, address)
		}
	}
	return peers
}

// Count implements Peers.
func (g *gateway) Count() int {
	if time.Now().Before(g.fleet.strangersUntil) {
		return 1
	}
	return len(g.fleet.listGateways())
}

// Draw implements Peers. Frozen and dead gateways don't answer. A frozen caller
// gets the answer only after its freeze.
func (g *gateway) Draw(ctx context.Context, peer netip.AddrPort, draw bhwire.Draw) (bhwire.Drawn, bool) {
	lender := g.fleet.listGateways()[peer.Port()-1]
	lender.mu.Lock()
	silent := lender.dead || time.Now().Before(lender.frozenUntil)
	lender.mu.Unlock()
	lost := g.fleet.loseDatagram()
	if silent || lost {
		_ = bhtree.Sleep(ctx, drawTimeout)
		if !silent {
			lender.limiter.Lend(draw) // the answer was lost
		}
		return bhwire.Drawn{}, false
	}
	drawn := lender.limiter.Lend(draw)
	time.Sleep(time.Millisecond)
	if frozen, _ := g.faults(); frozen > 0 {
		time.Sleep(frozen)
	}
	return drawn, true
}

// loseDatagram reports whether the datagram of this call is lost: every 50th is.
func (f *fleet) loseDatagram() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drawCount++
	return f.drawCount%50 == 0
}

// Rest implements Peers. Order leaves the peer out for a second.
func (g *gateway) Rest(peer netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.restUntil == nil {
		g.restUntil = make(map[netip.AddrPort]time.Time)
	}
	g.restUntil[peer] = time.Now().Add(time.Second)
}

// rests reports whether the peer was given to Rest in the last second.
func (g *gateway) rests(peer netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.restUntil[peer])
}

// close stops the gateways and the store.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.stop()
		<-g.done
	}
	require.NoError(f.t, f.store.Close())
}

// faults returns how much longer the gateway is frozen, and whether it is cut off
// from the store or dead.
func (g *gateway) faults() (frozen time.Duration, cutOff bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.frozenUntil), g.cutOff || g.dead
}

// checkStoreAccess waits until the gateway isn't frozen. It returns an error if
// the store can't be reached.
func (g *gateway) checkStoreAccess() error {
	frozen, cutOff := g.faults()
	if frozen > 0 {
		time.Sleep(frozen)
	}
	if cutOff {
		return bhcode.New(bhcode.PlatformUnavailable, "cut off")
	}
	return nil
}

// Scan implements bhplatform.Store.
func (g *gateway) Scan(ctx context.Context, scan bhplatform.Range) (bhplatform.Page, error) {
	if err := g.checkStoreAccess(); err != nil {
		return bhplatform.Page{}, err
	}
	page, err := g.fleet.store.Scan(ctx, scan)
	return page, firstError(g.checkStoreAccess(), err)
}

// Apply implements bhplatform.Store.
func (g *gateway) Apply(ctx context.Context, transaction bhplatform.Transaction) (bhplatform.Receipt, error) {
	if err := g.checkStoreAccess(); err != nil {
		return bhplatform.Receipt{}, err
	}
	receipt, err := g.fleet.store.Apply(ctx, transaction)
	if g.checkStoreAccess() != nil {
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

// takeToken takes a token unless the gateway is dead or frozen, and records when
// it got one.
func (g *gateway) takeToken(ctx context.Context, account string) bool {
	g.mu.Lock()
	unavailable := g.dead || time.Now().Before(g.frozenUntil)
	g.mu.Unlock()
	if unavailable {
		return false
	}
	ok := g.limiter.Take(ctx, g.fleet.index.Load().AccountNamed(account), patience).Granted
	if frozen, _ := g.faults(); frozen > 0 {
		time.Sleep(frozen) // the request is sent once the gateway isn't frozen
	}
	if ok {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		g.fleet.takenAt[account] = append(g.fleet.takenAt[account], time.Since(g.fleet.startedAt))
	}
	return ok
}

// maxTakenInWindow returns the most tokens taken in any window, and the bound
// on them.
func (f *fleet) maxTakenInWindow(account *bhpolicy.Account) (int, float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.takenAt[account.Name]
	maxTaken, first := 0, 0
	for i := range times {
		for times[i]-times[first] > window {
			first++
		}
		maxTaken = max(maxTaken, i-first+1)
	}
	bound := (account.Rate*window.Seconds()+account.Burst)*(1+tolerance.Over) + tolerance.Slack
	return maxTaken, bound
}

// sendRequests sends requests of the account to random gateways for the duration,
// at the rate in requests per second with exponential gaps. It returns how many
// were sent and how many of them were granted.
func (f *fleet) sendRequests(random *rand.Rand, account string, rate float64, duration time.Duration) (sent, granted int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		g := f.gateways[random.IntN(len(f.gateways))]
		sent++
		group.Go(func() {
			if g.takeToken(context.Background(), account) {
				mu.Lock()
				defer mu.Unlock()
				granted++
			}
		})
	}
	group.Wait()
	return sent, granted
}

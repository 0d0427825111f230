package bhquota

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// lender is the only other gateway. Its answers take 2 ms.
type lender struct {
	answer func(draw bhwire.Draw) (bhwire.Drawn, bool)

	mu     sync.Mutex
	draws  []bhwire.Draw
	rested int
}

var lenderAddress = netip.MustParseAddrPort("10.0.0.1:7000")

// Order implements Peers.
func (l *lender) Order(string) []netip.AddrPort { return []netip.AddrPort{lenderAddress, {}} }

// Count implements Peers.
func (l *lender) Count() int { return 2 }

// Rest implements Peers.
func (l *lender) Rest(netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rested++
}

// Draw implements Peers.
func (l *lender) Draw(_ context.Context, _ netip.AddrPort, draw bhwire.Draw) (bhwire.Drawn, bool) {
	l.mu.Lock()
	l.draws = append(l.draws, draw)
	l.mu.Unlock()
	drawn, ok := l.answer(draw)
	time.Sleep(2 * time.Millisecond)
	return drawn, ok
}

// takeMany takes the number of tokens at once, with 60 ms of patience each, and returns
// how many of the requests had each outcome.
func takeMany(d *drawer, requests int) map[drawOutcome]int {
	outcomes := make(map[drawOutcome]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			outcome := d.take(ctx, []netip.AddrPort{lenderAddress})
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	group.Wait()
	return outcomes
}

func newTestDrawer(answer func(bhwire.Draw) (bhwire.Drawn, bool)) (*drawer, *lender) {
	peer := &lender{answer: answer}
	return newDrawer(drawerConfig{Account: "zoo", Peers: peer, Clock: bhclock.NewRuntime()}), peer
}

func TestOneDrawServesAllWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, peer := newTestDrawer(func(draw bhwire.Draw) (bhwire.Drawn, bool) {
			return bhwire.Drawn{Tokens: draw.Count, Reached: true}, true
		})
		assert.Equal(t, map[drawOutcome]int{drawGranted: 100}, takeMany(d, 100))
		assert.LessOrEqual(t, len(peer.draws), 2)
	})
}

// An account that is over its rate has its requests refused at once, without a datagram
// for each. The next draw tells how many there were.
func TestRequestsOfAnAccountOverItsRateAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, peer := newTestDrawer(func(bhwire.Draw) (bhwire.Drawn, bool) {
			return bhwire.Drawn{Over: true, Reached: true, Wait: 400 * time.Millisecond}, true
		})
		started := time.Now()
		for range 10 {
			assert.Equal(t, 5, takeMany(d, 5)[drawRefused])
			for range 5 {
				d.refuse(100)
			}
		}
		assert.LessOrEqual(t, time.Since(started), 10*time.Millisecond)
		assert.LessOrEqual(t, len(peer.draws), 2)
		wait, over := d.refuse(100)
		assert.True(t, over)
		assert.InDelta(t, 910, wait.Milliseconds(), 55, "400 ms, and 10 ms for each of those refused since")
		time.Sleep(maxOverAge)
		_, over = d.refuse(100)
		assert.False(t, over, "the answer is too old")
		takeMany(d, 1)
		refused := 0
		for _, draw := range peer.draws {
			refused += draw.Refused
		}
		assert.Equal(t, 52, refused)
	})
}

func TestRequestWaitsForTheTokenThatAccruesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		d, _ := newTestDrawer(func(bhwire.Draw) (bhwire.Drawn, bool) {
			if time.Since(started) < 30*time.Millisecond {
				return bhwire.Drawn{Over: true, Reached: true, Wait: 30 * time.Millisecond}, true
			}
			return bhwire.Drawn{Tokens: 1, Reached: true}, true
		})
		assert.Equal(t, map[drawOutcome]int{drawGranted: 1}, takeMany(d, 1))
	})
}

func TestSilentLenderLeavesRequestsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, peer := newTestDrawer(func(bhwire.Draw) (bhwire.Drawn, bool) { return bhwire.Drawn{}, false })
		assert.Equal(t, map[drawOutcome]int{drawOpen: 20}, takeMany(d, 20))
		assert.Positive(t, peer.rested)
	})
}

// Tokens that come after their requests have left go to the next ones, but not for long.
func TestTokensOfRequestsThatLeftServeTheNextOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var granted atomic.Int64
		d, _ := newTestDrawer(func(bhwire.Draw) (bhwire.Drawn, bool) {
			granted.Add(1)
			return bhwire.Drawn{Tokens: 3, Reached: true}, true
		})
		assert.Equal(t, 1, takeMany(d, 1)[drawGranted])
		assert.Equal(t, 2, takeMany(d, 2)[drawGranted])
		assert.EqualValues(t, 1, granted.Load())
		assert.Equal(t, 1, takeMany(d, 1)[drawGranted])
		time.Sleep(lentTokenValidity)
		assert.Equal(t, 1, takeMany(d, 1)[drawGranted])
		assert.EqualValues(t, 3, granted.Load())
	})
}

func TestRefusedRequestsAreToldToReturnInLine(t *testing.T) {
	line := refusalLine{rate: 10}
	assert.Equal(t, 100*time.Millisecond, line.wait(time.Second))
	line.add(time.Second, 5)
	assert.Equal(t, 600*time.Millisecond, line.wait(time.Second))
	assert.Equal(t, 200*time.Millisecond, line.wait(1400*time.Millisecond))
	line.add(2*time.Second, 1000)
	assert.Equal(t, maxRetryAfter, line.wait(2*time.Second))
	assert.Equal(t, maxRetryAfter, tokensDuration(1, 0))
}

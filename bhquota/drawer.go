package bhquota

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// drawOutcome is what became of a request that waited for a token of another gateway.
type drawOutcome int

const (
	// drawOpen says that no gateway answered that has a token or reaches the store.
	drawOpen drawOutcome = iota
	drawGranted
	// drawRefused says that a gateway that reaches the store had no token in time.
	drawRefused
)

// drawerConfig configures a drawer.
type drawerConfig struct {
	Account string
	Peers   Peers
	Clock   bhclock.Clock
}

// drawer draws tokens of one account from other gateways for the requests that wait
// here. One of the requests draws for all, so that a busy gateway sends one datagram
// for many requests. It is safe for concurrent use.
type drawer struct {
	config drawerConfig
	// turn holds an entry while a request draws.
	turn chan struct{}

	mu sync.Mutex
	// waiting is in order of arrival.
	waiting []*waitingDraw
	// spare is the number of tokens that came after their requests had left. They
	// may be used until spareUntil.
	spare      int
	spareUntil time.Duration
	// refused is the number of requests refused since the last draw.
	refused int
	// over is the last answer that said that the account has used up its tokens, and
	// overUntil until when requests are refused by it.
	over      bhwire.Drawn
	overUntil time.Duration
}

// waitingDraw is a request that waits in a drawer until done is closed.
type waitingDraw struct {
	deadline time.Duration
	outcome  drawOutcome
	done     chan struct{}
}

func newDrawer(config drawerConfig) *drawer {
	return &drawer{config: config, turn: make(chan struct{}, 1)}
}

// take waits for a token of one of the peers, which are asked in their order, until
// ctx is done. It must have a deadline.
func (d *drawer) take(ctx context.Context, peers []netip.AddrPort) drawOutcome {
	w := d.enter(ctx)
	defer d.leave(w)
	for {
		select {
		case <-w.done:
			return w.outcome
		case <-ctx.Done():
			return d.outcome(w, drawRefused)
		case d.turn <- struct{}{}:
			d.drawForAll(ctx, w, peers)
			<-d.turn
		}
	}
}

// enter adds a request, or settles it at once with a spare token or by the last answer.
func (d *drawer) enter(ctx context.Context) *waitingDraw {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	w := &waitingDraw{done: make(chan struct{})}
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = now + time.Until(deadline)
	}
	switch {
	case d.spare > 0 && now < d.spareUntil:
		d.spare--
		w.settle(drawGranted)
	case now < d.overUntil && now+d.over.Wait > w.deadline:
		w.settle(drawRefused)
	default:
		d.waiting = append(d.waiting, w)
	}
	return w
}

// leave removes a request.
func (d *drawer) leave(w *waitingDraw) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.waiting, w); i >= 0 {
		d.waiting = slices.Delete(d.waiting, i, i+1)
	}
}

// outcome returns the outcome of a request, or the given one if it isn't settled.
func (d *drawer) outcome(w *waitingDraw, unsettled drawOutcome) drawOutcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.settled() {
		return w.outcome
	}
	return unsettled
}

// drawForAll asks the peers for tokens for the waiting requests until the request is
// settled or ctx is done. Without an answer it settles those that wait as open.
func (d *drawer) drawForAll(ctx context.Context, w *waitingDraw, peers []netip.AddrPort) {
	unansweredInAll := 0
	for _, peer := range peers {
		for unanswered := 0; ctx.Err() == nil; {
			draw := d.nextDraw()
			if draw.Count == 0 {
				return
			}
			askedAt := d.config.Clock.Now()
			// The tokens are for all, so that the draw outlives this request.
			drawn, ok := d.config.Peers.Draw(context.WithoutCancel(ctx), peer, draw)
			if !ok {
				d.recordRefused(draw.Refused)
				unanswered++
				if unansweredInAll++; unansweredInAll >= maxUnansweredInAll {
					d.settleAll(drawOpen)
					return
				}
				if unanswered < maxUnansweredDraws {
					continue
				}
				d.config.Peers.Rest(peer)
				break
			}
			d.distribute(drawn, askedAt)
			if d.outcome(w, drawOpen) != drawOpen {
				return
			}
			if !drawn.Reached {
				break
			}
			if !bhtree.Sleep(ctx, drawRetryDelay) {
				return
			}
		}
	}
	if ctx.Err() == nil {
		d.settleAll(drawOpen)
	}
}

// nextDraw returns the next draw. Its Count is zero if no request waits.
func (d *drawer) nextDraw() bhwire.Draw {
	d.mu.Lock()
	defer d.mu.Unlock()
	draw := bhwire.Draw{Account: d.config.Account, Count: len(d.waiting), Refused: d.refused}
	if draw.Count > 0 {
		d.refused = 0
	}
	return draw
}

// recordRefused counts refused requests, for the next draw.
func (d *drawer) recordRefused(count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused += count
}

// distribute gives the tokens of an answer to the waiting requests in order of their
// arrival. It refuses the rest if the account has used up its tokens and the next ones
// accrue too late.
func (d *drawer) distribute(drawn bhwire.Drawn, askedAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	if now-askedAt >= lentTokenValidity {
		// This host was suspended, and the tokens are too old to use.
		drawn.Tokens = 0
	}
	granted := min(drawn.Tokens, len(d.waiting))
	for _, w := range d.waiting[:granted] {
		w.settle(drawGranted)
	}
	d.waiting = d.waiting[granted:]
	if d.spare = drawn.Tokens - granted; d.spare > 0 {
		d.spareUntil = askedAt + lentTokenValidity
	}
	d.overUntil = 0
	if !drawn.Over || len(d.waiting) == 0 {
		return
	}
	d.over, d.overUntil = drawn, now+min(drawn.Wait, maxOverAge)
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waitingDraw) bool {
		if now+drawn.Wait <= w.deadline {
			return false
		}
		w.settle(drawRefused)
		return true
	})
}

// settleAll settles all waiting requests.
func (d *drawer) settleAll(outcome drawOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.waiting {
		w.settle(outcome)
	}
	d.waiting = nil
}

// refuse counts a refused request. It returns when a token accrues for it, and true, if
// a recent answer said that the account has used up its tokens. The rate is in tokens
// per second.
func (d *drawer) refuse(rate float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused++
	if d.config.Clock.Now() >= d.overUntil {
		return 0, false
	}
	return d.over.Wait + tokensDuration(float64(d.refused), rate), true
}

// settle sets the outcome. It must be called once, with the drawer's mutex held.
func (w *waitingDraw) settle(outcome drawOutcome) {
	w.outcome = outcome
	close(w.done)
}

// settled reports whether settle was called.
func (w *waitingDraw) settled() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

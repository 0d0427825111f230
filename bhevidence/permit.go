package bhevidence

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// tryWait bounds the wait for a gateway's answer about a trial, a few round trips
	// between data centres of a region. maxAsked gateways are asked in turn.
	tryWait  = 15 * time.Millisecond
	maxAsked = 3
	// leaseTime is how long a trial may run before the next one is granted.
	leaseTime = 5 * time.Second
	// maxLeases bounds the trials that one gateway grants at a time.
	maxLeases = 1 << 10
	// busyRetryAfter is sent while another request runs the trial.
	busyRetryAfter = 250 * time.Millisecond
)

// lease is the time for which a trial is granted, and the number of the trial.
type lease struct {
	trial    uint64
	from, to time.Time
}

// returnedPermit is a permit that was given back at the time.
type returnedPermit struct {
	permit *Permit
	at     time.Time
}

// Permit is the right to run the trial of suspects. A nil Permit is that of a request
// that needs none.
type Permit struct {
	registry *Registry
	decision bhcrash.Decision
	// trial is a random number that tells this trial from others of the same suspects.
	trial uint64
	// asked are the gateways that may have granted the trial. The last one has if
	// granted is true, else this process has granted it itself.
	asked   []netip.AddrPort
	granted bool
}

// testOf returns how the run, which lasted for the time, tests the digest.
func (p *Permit) testOf(digest string, ran time.Duration) bhcrash.Test {
	if p == nil {
		return bhcrash.NotTested
	}
	return p.decision.TestOfRun(digest, ran)
}

// Return gives the right back without a run, so that another request may run the
// trial at once.
func (p *Permit) Return() {
	if p == nil {
		return
	}
	p.registry.leaveTrial(p.decision.Suspects[0])
	p.release()
}

// release gives the leases back to all gateways that may have granted them: the answer of
// one of them may have been lost.
func (p *Permit) release() {
	p.registry.returnLease(p.decision.Suspects[0], p.trial)
	if len(p.asked) == 0 {
		return
	}
	p.tellReturned()
	p.registry.mu.Lock()
	defer p.registry.mu.Unlock()
	p.registry.returned = append(p.registry.returned, returnedPermit{permit: p, at: time.Now()})
	p.registry.returned = p.registry.returned[max(0, len(p.registry.returned)-maxFresh):]
}

// tellReturned tells the gateways that were asked that the trial doesn't run.
func (p *Permit) tellReturned() {
	p.registry.config.Peers.Tell(bhwire.KindTry, bhwire.Try{Digest: encodeDigest(p.decision.Suspects[0]), Trial: p.trial, Returned: true}, p.asked...)
}

// grantedBy returns the gateway that granted the trial; invalid if this process did.
func (p *Permit) grantedBy() netip.AddrPort {
	if !p.granted {
		return netip.AddrPort{}
	}
	return p.asked[len(p.asked)-1]
}

// beginTrial acquires the trial of the suspects. If another request runs it, it returns nil
// and the time to wait.
func (r *Registry) beginTrial(ctx context.Context, decision bhcrash.Decision, until time.Time) (*Permit, time.Duration) {
	permit, wait := r.askForTrial(ctx, decision, until)
	if permit == nil {
		return nil, wait
	}
	if entered, wait := r.enterTrial(ctx, decision.Suspects[0]); !entered {
		permit.release()
		return nil, wait
	}
	return permit, 0
}

// askForTrial asks the gateway that comes first for the suspects for their trial. If that
// is denied, it returns nil and the time until it may be granted.
func (r *Registry) askForTrial(ctx context.Context, decision bhcrash.Decision, until time.Time) (*Permit, time.Duration) {
	digest := decision.Suspects[0]
	permit := &Permit{registry: r, decision: decision, trial: rand.Uint64()}
	try := bhwire.Try{Digest: encodeDigest(digest), Trial: permit.trial}
	if !until.IsZero() {
		try.Left = max(1, time.Until(until))
	}
	for _, peer := range r.granters(digest) {
		if !peer.IsValid() {
			break
		}
		permit.asked = append(permit.asked, peer)
		frame, answered := r.config.Peers.Ask(ctx, tryWait, bhwire.KindTry, try, peer)[peer]
		if !answered {
			continue
		}
		tried, err := bhwire.Decode[bhwire.Tried](frame)
		if err != nil {
			bhlog.Trace(r.config.Logger, "crash.invalid", "peer", peer, "err", err)
			continue
		}
		if !tried.Granted {
			permit.asked = permit.asked[:len(permit.asked)-1]
			permit.release()
			return nil, max(tried.Wait, busyRetryAfter)
		}
		permit.granted = true
		return permit, 0
	}
	if granted, wait := r.grant(digest, permit.trial, until); !granted {
		permit.release()
		return nil, wait
	}
	return permit, 0
}

// granters returns the gateways to ask for a trial of the digest.
func (r *Registry) granters(digest string) []netip.AddrPort {
	if r.config.Peers == nil {
		return nil
	}
	order := r.config.Peers.Order(digest)
	return order[:min(maxAsked, len(order))]
}

// grant grants the trial of a digest unless it is granted already or, by what this
// process knows, not due. If it isn't granted, it returns how long to wait.
func (r *Registry) grant(digest string, trial uint64, until time.Time) (bool, time.Duration) {
	if decision := r.ledger.DecideAlone(digest, until); decision.Status == bhcrash.Quarantined {
		return false, decision.RetryAfter
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.leases[digest].to) {
		return false, busyRetryAfter
	}
	if len(r.leases) >= maxLeases {
		maps.DeleteFunc(r.leases, func(_ string, held lease) bool { return !now.Before(held.to) })
		if len(r.leases) >= maxLeases {
			return false, busyRetryAfter
		}
	}
	r.leases[digest] = lease{trial: trial, from: now, to: now.Add(leaseTime)}
	return true, 0
}

// returnLease ends the lease if it is that of the trial.
func (r *Registry) returnLease(digest string, trial uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leases[digest].trial == trial {
		delete(r.leases, digest)
	}
}

// endLease ends the lease of a trial whose outcome is known by the evidence. Evidence
// from before the lease is that of an earlier trial, which is gossiped again and again.
func (r *Registry) endLease(e entry) {
	if !e.clears() && e.test == bhcrash.NotTested {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.leases[e.digest]; ok && e.at.After(held.from) {
		delete(r.leases, e.digest)
	}
}

package bhevidence

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// gossipInterval is the time between two rounds of gossip, in which own evidence
	// goes to all peers again for repeatFor, and all that matters to gossipPeers at
	// random. A process that has lost all datagrams of a crash hears of it from
	// others within a second or two.
	gossipInterval = 500 * time.Millisecond
	repeatFor      = 1800 * time.Millisecond
	gossipPeers    = 2
	// maxFresh bounds the own evidence that is sent again.
	maxFresh = 1024
	// entriesPerFrame keeps a frame within a datagram, with upstream IDs of at most
	// maxUpstreamID bytes. framesPerRound bounds what one round sends to a peer.
	entriesPerFrame = 8
	maxUpstreamID   = 64
	framesPerRound  = 8
	// sharedSources is the number of upstreams that must have ended under a digest
	// before its evidence is gossiped and saved. Most digests die with one.
	sharedSources = 2
	digestBytes   = 16
)

// RegisterHandlers registers the handlers by which other processes share evidence with
// this one. It must be called before the socket runs. Only gateways grant trials.
func (r *Registry) RegisterHandlers(socket *bhpeer.Socket, grants bool) {
	socket.Handle(bhwire.KindLosses, r.handleLosses)
	if grants {
		socket.Handle(bhwire.KindTry, r.handleTry)
	}
}

func (r *Registry) handleLosses(frame bhwire.Frame) (bhwire.Kind, any) {
	r.Receive(frame)
	return "", nil
}

// Receive adds the evidence of a frame of the kind KindLosses. It ignores what is invalid.
func (r *Registry) Receive(frame bhwire.Frame) {
	losses, err := bhwire.Decode[bhwire.Losses](frame)
	if err != nil {
		bhlog.Trace(r.config.Logger, "crash.invalid", "bytes", len(frame.Body), "err", err)
		return
	}
	for _, loss := range losses.Losses {
		if len(loss.Digest) != digestBytes || len(loss.Upstream) > maxUpstreamID || loss.Age < 0 {
			bhlog.Trace(r.config.Logger, "crash.invalid", "digest_bytes", len(loss.Digest), "upstream", loss.Upstream, "age", loss.Age)
			continue
		}
		r.merge(entry{
			source: bhcrash.Source{Host: loss.Upstream, Incarnation: uint64(loss.Born)},
			digest: hex.EncodeToString(loss.Digest), test: bhcrash.Test(loss.Test), at: time.Now().Add(-loss.Age),
		})
	}
}

// merge adds evidence of another process to the ledger.
func (r *Registry) merge(e entry) {
	if e.source.Host == "" {
		e.source = bhcrash.Source{}
	}
	r.ledger.Merge(e.source, e.digest, e.evidence(time.Now()))
	r.endLease(e)
	if !e.clears() {
		r.recordEnded(e.source, e.at, "peer")
	}
}

func (r *Registry) handleTry(frame bhwire.Frame) (bhwire.Kind, any) {
	try, err := bhwire.Decode[bhwire.Try](frame)
	if err != nil || len(try.Digest) != digestBytes {
		bhlog.Trace(r.config.Logger, "crash.invalid", "bytes", len(frame.Body), "err", err)
		return "", nil
	}
	digest := hex.EncodeToString(try.Digest)
	if try.Returned {
		r.returnLease(digest, try.Trial)
		return "", nil
	}
	var until time.Time
	if try.Left > 0 {
		until = time.Now().Add(try.Left)
	}
	granted, wait := r.grant(digest, try.Trial, until)
	return bhwire.KindTried, bhwire.Tried{Granted: granted, Wait: wait}
}

// share sends own evidence to all peers, now and in the next rounds of gossip, and has
// it saved.
func (r *Registry) share(entries []entry) {
	r.mu.Lock()
	r.fresh = append(r.fresh, entries...)
	r.fresh = r.fresh[max(0, len(r.fresh)-maxFresh):]
	r.mu.Unlock()
	if r.config.Peers != nil {
		r.tell(entries, r.config.Peers.All())
	}
	if len(r.unsaved()) == 0 {
		return
	}
	select {
	case r.saveSignal <- struct{}{}:
	default:
	}
}

// tell sends the entries to the peers.
func (r *Registry) tell(entries []entry, peers []netip.AddrPort) {
	if len(peers) == 0 {
		return
	}
	now := time.Now()
	for len(entries) > 0 {
		count := min(entriesPerFrame, len(entries))
		message := bhwire.Losses{}
		for _, e := range entries[:count] {
			message.Losses = append(message.Losses, bhwire.Loss{
				Digest: encodeDigest(e.digest), Upstream: e.source.Host, Born: int64(e.source.Incarnation), Test: string(e.test), Age: e.evidence(now).Age,
			})
		}
		r.config.Peers.Tell(bhwire.KindLosses, message, peers...)
		entries = entries[count:]
	}
}

// Gossip sends evidence to other processes again until ctx is done, since datagrams get
// lost and processes start anew. It also looks which upstreams the list has replaced.
func (r *Registry) Gossip(ctx context.Context) error {
	for bhtree.Sleep(ctx, gossipInterval) {
		r.recordReplaced()
		if r.config.Peers == nil {
			continue
		}
		peers := r.config.Peers.All()
		r.tell(r.freshEntries(), peers)
		for _, permit := range r.returnedPermits() {
			permit.tellReturned()
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		known := r.knownEntries()
		rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		r.tell(known[:min(len(known), framesPerRound*entriesPerFrame)], peers[:min(gossipPeers, len(peers))])
	}
	return nil
}

// freshEntries returns the own evidence of the last repeatFor.
func (r *Registry) freshEntries() []entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.fresh) > 0 && time.Since(r.fresh[0].at) > repeatFor {
		r.fresh = r.fresh[1:]
	}
	return append([]entry(nil), r.fresh...)
}

// returnedPermits returns the permits that were given back in the last repeatFor.
func (r *Registry) returnedPermits() []*Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.returned) > 0 && time.Since(r.returned[0].at) > repeatFor {
		r.returned = r.returned[1:]
	}
	var permits []*Permit
	for _, returned := range r.returned {
		permits = append(permits, returned.permit)
	}
	return permits
}

// knownEntries returns the evidence that matters, whoever reported it.
func (r *Registry) knownEntries() []entry {
	now := time.Now()
	var entries []entry
	r.ledger.VisitShared(sharedSources, func(source bhcrash.Source, digest string, evidence bhcrash.Evidence) {
		entries = append(entries, entry{source: source, digest: digest, test: evidence.Test(), at: now.Add(-evidence.Age)})
	})
	return entries
}

package bhlimit

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// heardCacheTime is how long the computed set of heard members is reused.
const heardCacheTime = 50 * time.Millisecond

// peer is what this host knows of another entry.
type peer struct {
	member    Member
	lastHeard time.Time
	// firstHeard is when the peer's current incarnation was first heard.
	firstHeard time.Time
	leaving    bool
	// epoch is the number of the peer's epoch.
	epoch int64
	// heardMembers is the set of members that the peer hears, a bit for each
	// index into the epoch's members.
	heardMembers uint64
	// voteExpires is when the peer's vote for the epoch expires, counted from
	// when the question was sent.
	voteExpires time.Time
	// seenAdoptedAt is when the peer was first known to have adopted the
	// current epoch or a later one.
	seenAdoptedAt time.Time
	// questionsSent holds when each unanswered question was sent, by sequence
	// number.
	questionsSent map[uint64]time.Time
}

// membership decides until when this host may act as a member of its epoch,
// and from when no host can act on the previous epoch any more.
type membership struct {
	timings Timings
	self    Member
	epoch   Epoch
	// adoptedAt is when this host adopted the epoch.
	adoptedAt time.Time
	// carriedUntil is until when the confirmation of the previous epoch
	// lasts.
	carriedUntil time.Time
	// tableConfirmedAt is the latest known time at which the epoch was the
	// newest in the table.
	tableConfirmedAt time.Time
	// previousClosed is set once no host can act on the previous epoch.
	previousClosed bool
	// leaving is set once this host drains.
	leaving bool
	peers   map[string]*peer
	// questionSeq is the sequence number of the last question.
	questionSeq uint64
	// changeWantedSince is since when the desired members differ from the
	// epoch's, or zero if they don't.
	changeWantedSince time.Time
	// lastProposalCheck is when proposeEpoch was last called.
	lastProposalCheck time.Time

	// The result of heardMembers and the time and epoch that it is for.
	heardCachedAt    time.Time
	heardCachedEpoch int64
	heardCachedBits  uint64
}

// newMembership returns a membership in no epoch that knows no peers.
func newMembership(self Member, timings Timings) *membership {
	return &membership{timings: timings, self: self, peers: map[string]*peer{}}
}

// isMember reports whether this incarnation of the host is a member of its
// epoch.
func (ms *membership) isMember() bool { return slices.Contains(ms.epoch.Members, ms.self) }

// validUntil returns until when the host may act as a member of its epoch, or
// the zero time if it is none. The epoch is confirmed by a recent read of the
// table, here or on a peer, by the votes of a majority for a limited time
// without the table, or by a confirmation carried over from the previous
// epoch.
func (ms *membership) validUntil() time.Time {
	if !ms.isMember() {
		return time.Time{}
	}
	outageEnd := ms.tableConfirmedAt.Add(ms.timings.MaxTableOutage)
	if ms.tableConfirmedAt.IsZero() {
		outageEnd = time.Time{}
	}
	votesEnd := ms.votesValidUntil()
	if outageEnd.Before(votesEnd) {
		votesEnd = outageEnd
	}
	return latestTime(ms.carriedUntil, ms.tableConfirmedAt.Add(ms.timings.ConfirmationTTL), votesEnd)
}

// votesValidUntil returns until when the votes of a majority of the members
// confirm the epoch, or the zero time if there are too few votes. The host's
// own vote lasts as long as it stays in the epoch.
func (ms *membership) votesValidUntil() time.Time {
	var expiries []time.Time
	for _, m := range ms.epoch.Members {
		if p := ms.peers[m.Host]; m != ms.self && p != nil && p.member == m {
			expiries = append(expiries, p.voteExpires)
		}
	}
	needed := len(ms.epoch.Members) / 2
	if needed == 0 {
		return ms.tableConfirmedAt.Add(ms.timings.MaxTableOutage)
	}
	if len(expiries) < needed {
		return time.Time{}
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[needed-1]
}

// adopt switches to the epoch if it is newer than the current one, and
// reports whether it was. The epoch was the newest in the table at
// confirmedAt.
func (ms *membership) adopt(now time.Time, epoch Epoch, confirmedAt time.Time) bool {
	if epoch.Number < ms.epoch.Number {
		return false
	}
	if epoch.Number == ms.epoch.Number {
		ms.tableConfirmedAt = latestTime(ms.tableConfirmedAt, confirmedAt)
		return false
	}
	carriedUntil := ms.validUntil()
	ms.epoch = epoch
	ms.adoptedAt = now
	ms.tableConfirmedAt = confirmedAt
	ms.carriedUntil = time.Time{}
	if ms.isMember() {
		ms.carriedUntil = carriedUntil
	}
	ms.previousClosed = len(epoch.Previous) == 0
	ms.changeWantedSince = time.Time{}
	for _, p := range ms.peers {
		p.voteExpires = time.Time{}
		p.seenAdoptedAt = time.Time{}
	}
	return true
}

// closePrevious marks the previous epoch as closed once no host can act on
// it, nor on a lease made in it. It reports whether this call closed it.
func (ms *membership) closePrevious(now time.Time) bool {
	if ms.previousClosed || ms.epoch.Number == 0 || now.Before(ms.previousClosesAt()) {
		return false
	}
	ms.previousClosed = true
	ms.carriedUntil = time.Time{}
	return true
}

// previousClosesAt returns from when no host can act on the previous epoch.
// That is the fence delay after the remaining members have become too few for
// a majority, or after the longest time that votes confirm an epoch without
// the table, whichever is earlier.
func (ms *membership) previousClosesAt() time.Time {
	latestClose := ms.adoptedAt.Add(ms.timings.MaxTableOutage + ms.timings.fenceDelay())
	var adoptions []time.Time
	for _, m := range ms.epoch.Previous {
		if at := ms.memberAdoptedAt(m); !at.IsZero() {
			adoptions = append(adoptions, at)
		}
	}
	size := len(ms.epoch.Previous)
	needed := size - size/2
	if len(adoptions) < needed {
		return latestClose
	}
	slices.SortFunc(adoptions, time.Time.Compare)
	earlyClose := adoptions[needed-1].Add(ms.timings.fenceDelay())
	if latestClose.Before(earlyClose) {
		return latestClose
	}
	return earlyClose
}

// memberAdoptedAt returns a time by which the member had left the previous
// epoch, or the zero time if that isn't known. A later incarnation of its
// host proves that the member's process has ended.
func (ms *membership) memberAdoptedAt(m Member) time.Time {
	if m == ms.self {
		return ms.adoptedAt
	}
	p := ms.peers[m.Host]
	switch {
	case m.Host == ms.self.Host:
		return ms.adoptedAt
	case p == nil || p.member.Incarnation < m.Incarnation:
		return time.Time{}
	case p.member.Incarnation > m.Incarnation:
		return p.firstHeard
	}
	return p.seenAdoptedAt
}

// newQuestion returns a message that asks the host for its vote for the
// epoch. It forgets unanswered questions that are too old to confirm the
// epoch.
func (ms *membership) newQuestion(now time.Time, host string) bhwire.Vote {
	p := ms.ensurePeer(host)
	ms.questionSeq++
	for seq, at := range p.questionsSent {
		if now.Sub(at) > ms.timings.ConfirmationTTL {
			delete(p.questionsSent, seq)
		}
	}
	p.questionsSent[ms.questionSeq] = now
	return ms.newVote(now, ms.questionSeq)
}

// answerQuestion handles a peer's question and returns the answer. The answer
// grants the vote if both hosts are members of the same epoch, and holds this
// host's epoch if that of the peer is older.
func (ms *membership) answerQuestion(now time.Time, v bhwire.Vote) bhwire.Vote {
	p := ms.recordMessage(now, v)
	answer := ms.newVote(now, v.Seq)
	answer.Answer = true
	asker := Member{Host: v.Host, Incarnation: v.Start}
	known := v.Epoch == ms.epoch.Number && ms.isMember() && p.member == asker
	answer.Granted = known && slices.Contains(ms.epoch.Members, asker)
	if v.Epoch < ms.epoch.Number {
		answer.Body = ms.epoch.Value()
	}
	return answer
}

// handleAnswer handles a peer's answer to a question. It reports whether this
// host adopted a newer epoch.
func (ms *membership) handleAnswer(now time.Time, v bhwire.Vote) bool {
	p := ms.ensurePeer(v.Host)
	sent, ok := p.questionsSent[v.Seq]
	delete(p.questionsSent, v.Seq)
	if !ok || ms.recordMessage(now, v).member != (Member{Host: v.Host, Incarnation: v.Start}) {
		return false
	}
	if v.Epoch > ms.epoch.Number && len(v.Body) > 0 {
		epoch, err := ParseEpoch(v.Epoch, v.Body)
		if err != nil {
			return false
		}
		newer := ms.adopt(now, epoch, sent.Add(-v.Proof))
		ms.recordMessage(now, v)
		return newer
	}
	if v.Epoch == ms.epoch.Number {
		ms.tableConfirmedAt = latestTime(ms.tableConfirmedAt, sent.Add(-v.Proof))
		if v.Granted {
			p.voteExpires = latestTime(p.voteExpires, sent.Add(ms.timings.ConfirmationTTL))
		}
	}
	return false
}

// recordMessage updates what is known of the sender of a message and returns
// it. It ignores messages of an earlier incarnation of the sender.
func (ms *membership) recordMessage(now time.Time, v bhwire.Vote) *peer {
	p := ms.ensurePeer(v.Host)
	if v.Start < p.member.Incarnation {
		return p
	}
	if v.Start > p.member.Incarnation {
		*p = peer{member: Member{Host: v.Host, Incarnation: v.Start}, firstHeard: now, questionsSent: p.questionsSent}
	}
	p.lastHeard = now
	p.leaving = v.Leaving
	p.epoch = v.Epoch
	p.heardMembers = v.Seen
	if v.Epoch >= ms.epoch.Number && p.seenAdoptedAt.IsZero() {
		p.seenAdoptedAt = now
	}
	return p
}

// alive reports whether the host was heard within Timings.PeerTimeout.
func (ms *membership) alive(now time.Time, host string) bool {
	p := ms.peers[host]
	return p != nil && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < ms.timings.PeerTimeout
}

// heardMembers returns the set of members that this host hears, a bit for
// each index into the epoch's members. The set is at most heardCacheTime old.
func (ms *membership) heardMembers(now time.Time) uint64 {
	if ms.heardCachedEpoch == ms.epoch.Number && now.Sub(ms.heardCachedAt) < heardCacheTime {
		return ms.heardCachedBits
	}
	ms.heardCachedAt, ms.heardCachedEpoch, ms.heardCachedBits = now, ms.epoch.Number, 0
	for i, m := range ms.epoch.Members {
		if p := ms.peers[m.Host]; p != nil && p.member == m && ms.alive(now, m.Host) {
			ms.heardCachedBits |= bit(i)
		}
	}
	return ms.heardCachedBits
}

// bit returns the bit of the member with the index, or 0 for an index above
// 63.
func bit(index int) uint64 { return 1 << uint(index) }

// newVote returns a question with the sequence number. Without a confirmation
// by the table, its Proof is so old that no receiver can use it.
func (ms *membership) newVote(now time.Time, seq uint64) bhwire.Vote {
	confirmationAge := 2 * ms.timings.MaxTableOutage
	if !ms.tableConfirmedAt.IsZero() {
		confirmationAge = now.Sub(ms.tableConfirmedAt)
	}
	return bhwire.Vote{
		Seq: seq, Host: ms.self.Host, Start: ms.self.Incarnation, Epoch: ms.epoch.Number,
		Leaving: ms.leaving, Seen: ms.heardMembers(now), Proof: confirmationAge,
	}
}

// ensurePeer returns the host's peer, which it adds if it isn't known yet.
func (ms *membership) ensurePeer(host string) *peer {
	p := ms.peers[host]
	if p == nil {
		p = &peer{member: Member{Host: host}, questionsSent: map[uint64]time.Time{}}
		ms.peers[host] = p
	}
	return p
}

func latestTime(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

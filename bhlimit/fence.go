package bhlimit

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// seenInterval is how long a list of the members heard is used.
const seenInterval = 50 * time.Millisecond

// peer is what a fence knows of another entry.
type peer struct {
	member Member
	heard  time.Time
	// since is when this start of the peer was first heard.
	since   time.Time
	leaving bool
	// epoch and seen are the peer's epoch and the members that it hears.
	epoch int64
	seen  uint64
	// vote is until when the peer's promise lasts, counted from the question.
	vote time.Time
	// moved is when the peer had certainly left all earlier epochs.
	moved time.Time
	// asked holds when the questions that await an answer were sent.
	asked map[uint64]time.Time
}

// fence decides how long this host may act as a member of its epoch, and when
// no host can act on the epoch before it any more.
type fence struct {
	terms   Terms
	self    Member
	epoch   Epoch
	adopted time.Time
	// carry is until when a confirmation of the epoch before lasts.
	carry time.Time
	// proof is a time at which the epoch was the newest in the table.
	proof   time.Time
	closed  bool
	leaving bool
	peers   map[string]*peer
	seq     uint64
	// wanted is since when the membership should change.
	wanted  time.Time
	planned time.Time

	seenAt    time.Time
	seenEpoch int64
	seenBits  uint64
}

func newFence(self Member, terms Terms) *fence {
	return &fence{terms: terms, self: self, peers: map[string]*peer{}}
}

// member reports whether this start of the host is a member.
func (f *fence) member() bool { return slices.Contains(f.epoch.Members, f.self) }

// end returns until when the host may act as a member.
func (f *fence) end() time.Time {
	if !f.member() {
		return time.Time{}
	}
	blind := f.proof.Add(f.terms.Blind)
	if f.proof.IsZero() {
		blind = time.Time{}
	}
	voted := f.voted()
	if blind.Before(voted) {
		voted = blind
	}
	return latest(f.carry, f.proof.Add(f.terms.Vote), voted)
}

// voted returns until when a majority of the members has promised to honour
// the epoch. The host's own promise holds as long as the epoch is its own.
func (f *fence) voted() time.Time {
	var votes []time.Time
	for _, m := range f.epoch.Members {
		if p := f.peers[m.Host]; m != f.self && p != nil && p.member == m {
			votes = append(votes, p.vote)
		}
	}
	others := len(f.epoch.Members) / 2
	if others == 0 {
		return f.proof.Add(f.terms.Blind)
	}
	if len(votes) < others {
		return time.Time{}
	}
	slices.SortFunc(votes, func(a, b time.Time) int { return b.Compare(a) })
	return votes[others-1]
}

// adopt takes a newer epoch that was the table's newest at proof. It reports
// whether the epoch was newer.
func (f *fence) adopt(now time.Time, epoch Epoch, proof time.Time) bool {
	if epoch.Number < f.epoch.Number {
		return false
	}
	if epoch.Number == f.epoch.Number {
		f.proof = latest(f.proof, proof)
		return false
	}
	carry := f.end()
	f.epoch = epoch
	f.adopted = now
	f.proof = proof
	f.carry = time.Time{}
	if f.member() {
		f.carry = carry
	}
	f.closed = len(epoch.Previous) == 0
	f.wanted = time.Time{}
	for _, p := range f.peers {
		p.vote = time.Time{}
		p.moved = time.Time{}
	}
	return true
}

// close reports whether it has just become certain that no host acts on the
// epoch before, nor on a loan made then.
func (f *fence) close(now time.Time) bool {
	if f.closed || f.epoch.Number == 0 || now.Before(f.closing()) {
		return false
	}
	f.closed = true
	f.carry = time.Time{}
	return true
}

// closing returns from when on the epoch before can't be acted on.
func (f *fence) closing() time.Time {
	blind := f.adopted.Add(f.terms.Blind + f.terms.lockout())
	var moved []time.Time
	for _, m := range f.epoch.Previous {
		if at := f.movedAt(m); !at.IsZero() {
			moved = append(moved, at)
		}
	}
	size := len(f.epoch.Previous)
	need := size - size/2
	if len(moved) < need {
		return blind
	}
	slices.SortFunc(moved, time.Time.Compare)
	at := moved[need-1].Add(f.terms.lockout())
	if blind.Before(at) {
		return blind
	}
	return at
}

// movedAt returns when the member had left the epochs before the current one,
// or the zero time if that isn't known. A later start of its host proves that
// the member's process has ended.
func (f *fence) movedAt(m Member) time.Time {
	if m == f.self {
		return f.adopted
	}
	p := f.peers[m.Host]
	switch {
	case m.Host == f.self.Host:
		return f.adopted
	case p == nil || p.member.Start < m.Start:
		return time.Time{}
	case p.member.Start > m.Start:
		return p.since
	}
	return p.moved
}

// ask returns the question to the host.
func (f *fence) ask(now time.Time, host string) bhwire.Vote {
	p := f.peer(host)
	f.seq++
	for seq, at := range p.asked {
		if now.Sub(at) > f.terms.Vote {
			delete(p.asked, seq)
		}
	}
	p.asked[f.seq] = now
	return f.message(now, f.seq)
}

// question handles a peer's question and returns the answer.
func (f *fence) question(now time.Time, v bhwire.Vote) bhwire.Vote {
	p := f.hear(now, v)
	answer := f.message(now, v.Seq)
	answer.Answer = true
	asker := Member{Host: v.Host, Start: v.Start}
	known := v.Epoch == f.epoch.Number && f.member() && p.member == asker
	answer.Granted = known && slices.Contains(f.epoch.Members, asker)
	if v.Epoch < f.epoch.Number {
		answer.Body = f.epoch.Value()
	}
	return answer
}

// answer handles a peer's answer. It reports whether a newer epoch was adopted.
func (f *fence) answer(now time.Time, v bhwire.Vote) bool {
	p := f.peer(v.Host)
	sent, ok := p.asked[v.Seq]
	delete(p.asked, v.Seq)
	if !ok || f.hear(now, v).member != (Member{Host: v.Host, Start: v.Start}) {
		return false
	}
	if v.Epoch > f.epoch.Number && len(v.Body) > 0 {
		epoch, err := ParseEpoch(v.Epoch, v.Body)
		if err != nil {
			return false
		}
		newer := f.adopt(now, epoch, sent.Add(-v.Proof))
		f.hear(now, v)
		return newer
	}
	if v.Epoch == f.epoch.Number {
		f.proof = latest(f.proof, sent.Add(-v.Proof))
		if v.Granted {
			p.vote = latest(p.vote, sent.Add(f.terms.Vote))
		}
	}
	return false
}

// hear notes the sender of a message.
func (f *fence) hear(now time.Time, v bhwire.Vote) *peer {
	p := f.peer(v.Host)
	if v.Start < p.member.Start {
		return p
	}
	if v.Start > p.member.Start {
		*p = peer{member: Member{Host: v.Host, Start: v.Start}, since: now, asked: p.asked}
	}
	p.heard = now
	p.leaving = v.Leaving
	p.epoch = v.Epoch
	p.seen = v.Seen
	if v.Epoch >= f.epoch.Number && p.moved.IsZero() {
		p.moved = now
	}
	return p
}

// alive reports whether the host was heard lately.
func (f *fence) alive(now time.Time, host string) bool {
	p := f.peers[host]
	return p != nil && !p.heard.IsZero() && now.Sub(p.heard) < f.terms.Silence
}

// seen returns the members that the host hears, one bit each. It is computed
// anew once in seenInterval.
func (f *fence) seen(now time.Time) uint64 {
	if f.seenEpoch == f.epoch.Number && now.Sub(f.seenAt) < seenInterval {
		return f.seenBits
	}
	f.seenAt, f.seenEpoch, f.seenBits = now, f.epoch.Number, 0
	for i, m := range f.epoch.Members {
		if p := f.peers[m.Host]; p != nil && p.member == m && f.alive(now, m.Host) {
			f.seenBits |= bit(i)
		}
	}
	return f.seenBits
}

// bit returns the bit of a member, or none for members past the last bit.
func bit(index int) uint64 { return 1 << uint(index) }

func (f *fence) message(now time.Time, seq uint64) bhwire.Vote {
	proof := 2 * f.terms.Blind
	if !f.proof.IsZero() {
		proof = now.Sub(f.proof)
	}
	return bhwire.Vote{
		Seq: seq, Host: f.self.Host, Start: f.self.Start, Epoch: f.epoch.Number,
		Leaving: f.leaving, Seen: f.seen(now), Proof: proof,
	}
}

func (f *fence) peer(host string) *peer {
	p := f.peers[host]
	if p == nil {
		p = &peer{member: Member{Host: host}, asked: map[uint64]time.Time{}}
		f.peers[host] = p
	}
	return p
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

package bhlimit

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Actions of a grant message.
const (
	actionAsk    = "ask"
	actionGive   = "give"
	actionReturn = "return"
)

// lend answers an ask of host out of what this host owns. What it gives is
// subtracted before the answer is sent, so a lost answer loses tokens until
// the loan ends. Negative tokens in an ask are given back.
// An ask that goes on with a loan that has ended gives nothing.
func (b *bucket) lend(now time.Time, host string, ask bhwire.Grant, term time.Duration) bhwire.Grant {
	answer := bhwire.Grant{ID: ask.ID, Seq: ask.Seq, Action: actionGive, Account: ask.Account, Left: b.tokens}
	l := find(b.lent, host, ask.ID)
	if l == nil && ask.Seq > 1 {
		return answer
	}
	if l != nil && ask.Seq <= l.seq {
		return answer
	}
	fresh := l == nil
	if fresh {
		l = &loan{host: host, id: ask.ID}
	}
	b.tokens += max(0, -ask.Tokens)
	if !fresh && b.overlent() {
		l.seq = ask.Seq
		b.clamp()
		return answer
	}
	tokens, more := b.offer(l, ask)
	if fresh && tokens+more.Rate+more.Burst <= tolerance {
		return answer
	}
	if fresh {
		b.lent = append(b.lent, l)
	}
	l.seq = ask.Seq
	l.Rate += more.Rate
	l.Burst += more.Burst
	l.until = now.Add(min(ask.Term, term))
	b.tokens -= tokens
	b.clamp()
	answer.Tokens = tokens
	answer.Left = b.tokens
	answer.Share = l.Rate
	answer.Burst = l.Burst
	answer.Term = min(ask.Term, term)
	return answer
}

// offer decides how many tokens and how much more rate and burst to give.
func (b *bucket) offer(l *loan, ask bhwire.Grant) (float64, Limit) {
	out := b.lentOut()
	freeRate := max(0, b.own.Rate-out.Rate-b.wantRate())
	freeBurst := max(0, b.own.Burst-out.Burst)
	more := Limit{Rate: clip(ask.Share-l.Rate, freeRate)}
	askedBurst := max(0, ask.Burst-l.Burst)
	space := max(0, ask.Tokens-askedBurst)
	burst := clip(askedBurst, freeBurst)
	tokens := clip(ask.Tokens, min(b.spare(), space+burst))
	more.Burst = min(burst, max(0, tokens-space))
	if more.Rate > 0 {
		more.Burst = burst
	}
	excess := b.tokens - (freeBurst - more.Burst)
	tokens = max(tokens, clip(excess, space+more.Burst))
	return clip(tokens, b.tokens), more
}

// overlent reports whether more is lent than is owned, as after a change to a
// lower limit. Loans then end and aren't renewed, until what is lent fits again.
func (b *bucket) overlent() bool {
	out := b.lentOut()
	return out.Rate > b.own.Rate+tolerance || out.Burst > b.own.Burst+tolerance
}

// regain takes back a loan that its borrower returned.
func (b *bucket) regain(host string, back bhwire.Grant) {
	l := find(b.lent, host, back.ID)
	if l == nil {
		return
	}
	b.lent = slices.DeleteFunc(b.lent, func(o *loan) bool { return o == l })
	b.tokens += clip(back.Tokens, l.Burst)
	b.clamp()
}

func find(loans []*loan, host string, id uint64) *loan {
	for _, l := range loans {
		if l.host == host && l.id == id {
			return l
		}
	}
	return nil
}

// clip returns value within 0 and limit.
func clip(value, limit float64) float64 { return max(0, min(value, limit)) }

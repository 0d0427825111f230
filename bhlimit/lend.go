package bhlimit

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Actions of a grant message: a borrower asks for a lease, the lender gives
// it, and the borrower returns it.
const (
	actionAsk    = "ask"
	actionGive   = "give"
	actionReturn = "return"
)

// lend returns the answer to a host's request for a lease of what this host
// owns. What it lends is subtracted before the answer is sent, so that it
// can't be spent twice. If the answer is lost, so are its tokens, and the
// rate and burst stay unused until the lease expires. Negative tokens in the
// request are tokens that the borrower returns. The answer gives nothing if
// the request is a repetition, or renews a lease that has expired.
func (b *bucket) lend(now time.Time, host string, request bhwire.Grant, maxTerm time.Duration) bhwire.Grant {
	answer := bhwire.Grant{ID: request.ID, Seq: request.Seq, Action: actionGive, Account: request.Account, Left: b.tokens}
	l := findLease(b.lent, host, request.ID)
	if l == nil && request.Seq > 1 {
		return answer
	}
	if l != nil && request.Seq <= l.seq {
		return answer
	}
	isNew := l == nil
	if isNew {
		l = &lease{host: host, id: request.ID}
	}
	b.tokens += max(0, -request.Tokens)
	if !isNew && b.lentExceedsOwned() {
		l.seq = request.Seq
		b.capTokens()
		return answer
	}
	tokens, added := b.offer(l, request)
	if isNew && tokens+added.Rate+added.Burst <= roundingTolerance {
		return answer
	}
	if isNew {
		b.lent = append(b.lent, l)
	}
	l.seq = request.Seq
	l.Rate += added.Rate
	l.Burst += added.Burst
	l.expires = now.Add(min(request.Term, maxTerm))
	b.tokens -= tokens
	b.capTokens()
	answer.Tokens = tokens
	answer.Left = b.tokens
	answer.Share = l.Rate
	answer.Burst = l.Burst
	answer.Term = min(request.Term, maxTerm)
	return answer
}

// offer returns how many tokens this host gives on a request for the lease l,
// and how much rate and burst it adds to l.
func (b *bucket) offer(l *lease, request bhwire.Grant) (float64, Limit) {
	lent := b.lentTotal()
	freeRate := max(0, b.owned.Rate-lent.Rate-b.neededRate())
	freeBurst := max(0, b.owned.Burst-lent.Burst)
	added := Limit{Rate: clip(request.Share-l.Rate, freeRate)}
	requestedBurst := max(0, request.Burst-l.Burst)
	borrowerSpace := max(0, request.Tokens-requestedBurst)
	burst := clip(requestedBurst, freeBurst)
	tokens := clip(request.Tokens, min(b.spareTokens(), borrowerSpace+burst))
	added.Burst = min(burst, max(0, tokens-borrowerSpace))
	if added.Rate > 0 {
		added.Burst = burst
	}
	excess := b.tokens - (freeBurst - added.Burst)
	tokens = max(tokens, clip(excess, borrowerSpace+added.Burst))
	return clip(tokens, b.tokens), added
}

// lentExceedsOwned reports whether this host has lent more than it owns, as
// happens after the limit was lowered. It then renews no leases until enough
// of them have expired.
func (b *bucket) lentExceedsOwned() bool {
	lent := b.lentTotal()
	return lent.Rate > b.owned.Rate+roundingTolerance || lent.Burst > b.owned.Burst+roundingTolerance
}

// reclaim ends a lease that its borrower returned and adds the returned
// tokens.
func (b *bucket) reclaim(host string, returned bhwire.Grant) {
	l := findLease(b.lent, host, returned.ID)
	if l == nil {
		return
	}
	b.lent = slices.DeleteFunc(b.lent, func(o *lease) bool { return o == l })
	b.tokens += clip(returned.Tokens, l.Burst)
	b.capTokens()
}

// findLease returns the lease with the host and ID, or nil.
func findLease(leases []*lease, host string, id uint64) *lease {
	for _, l := range leases {
		if l.host == host && l.id == id {
			return l
		}
	}
	return nil
}

// clip restricts value to the range from 0 to limit.
func clip(value, limit float64) float64 { return max(0, min(value, limit)) }

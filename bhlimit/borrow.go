package bhlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// requestTimeout is how long a request for a lease waits for its answer.
	requestTimeout = 100 * time.Millisecond
	// shortLeaseTerm is the term of a short-term lease.
	shortLeaseTerm = 200 * time.Millisecond
	// smallBurst is the burst in tokens below which short-term leases are
	// returned as soon as no request waits.
	smallBurst = 20
	// tokenRoundPause is how long no owner is asked for tokens after all
	// owners were asked without success.
	tokenRoundPause = 100 * time.Millisecond
)

// outgoingGrant is a message that requests or returns a lease, and its
// receiver.
type outgoingGrant struct {
	host  string
	grant bhwire.Grant
}

// borrowerHost holds what a bucket needs from its host in order to borrow.
type borrowerHost struct {
	selfHost    string
	leaseTerm   time.Duration
	nextLeaseID func() uint64
	// alive reports whether this host has recently heard from another one.
	alive func(host string) bool
}

// requestTokens requests the tokens that are missing for the waiting requests
// from one owner. It reports whether the waiting requests should keep
// waiting: an answer is pending, or the bucket already has enough tokens.
// Once it has asked all owners without success it returns the short-term
// leases, so that their tokens aren't left unused.
func (b *bucket) requestTokens(now time.Time, waitingCost float64, borrower borrowerHost) ([]outgoingGrant, bool) {
	pending := b.expireRequests(now)
	shortfall := waitingCost - b.tokens - pending
	if shortfall <= roundingTolerance {
		return nil, true
	}
	if now.Before(b.nextTokenRound) {
		return nil, pending > 0
	}
	if now.Sub(b.tokenRoundStart) > tokenRoundPause {
		b.tokenRoundStart = now
		b.tokenRoundOwners = nil
	}
	for _, host := range b.lenders(now, borrower) {
		if slices.Contains(b.tokenRoundOwners, host) {
			continue
		}
		b.tokenRoundOwners = append(b.tokenRoundOwners, host)
		return []outgoingGrant{b.requestTokensFrom(now, host, shortfall, borrower)}, true
	}
	if pending > 0 {
		return nil, true
	}
	b.nextTokenRound = now.Add(tokenRoundPause)
	return b.returnShortTermLeases(b.tokens > 0), false
}

// returnShortTermLeases returns the short-term leases that have no pending
// request, if force is set or the account's burst is below smallBurst. With a
// small burst the owners need the burst they lent; with a larger one the
// leases may simply expire.
func (b *bucket) returnShortTermLeases(force bool) []outgoingGrant {
	if !force && b.limit.Burst >= smallBurst {
		return nil
	}
	var grants []outgoingGrant
	for _, l := range slices.Clone(b.borrowed) {
		if l.shortTerm && l.requestedAt.IsZero() {
			grants = append(grants, b.returnLease(l))
		}
	}
	return grants
}

// requestTokensFrom requests a short-term lease of tokens from the host.
func (b *bucket) requestTokensFrom(now time.Time, host string, tokens float64, borrower borrowerHost) outgoingGrant {
	l := &lease{host: host, id: borrower.nextLeaseID(), shortTerm: true, seq: 1, requestedAt: now, requestedTokens: tokens}
	b.borrowed = append(b.borrowed, l)
	space := max(0, b.burst()-b.tokens)
	return outgoingGrant{host: host, grant: bhwire.Grant{
		ID: l.id, Seq: l.seq, Action: actionAsk, Account: b.account,
		Tokens: tokens, Burst: max(0, tokens-space), Term: shortLeaseTerm,
	}}
}

// maintainLeases updates the demand, renews the rate leases that are still
// needed, returns the others, and requests more rate if the demand exceeds
// the rate. It is called on every tick.
func (b *bucket) maintainLeases(now time.Time, borrower borrowerHost) []outgoingGrant {
	b.updateDemand(now)
	b.expireRequests(now)
	var grants []outgoingGrant
	for _, l := range slices.Clone(b.borrowed) {
		if !l.requestedAt.IsZero() || l.shortTerm {
			continue
		}
		if b.leaseUnneeded(l) {
			grants = append(grants, b.returnLease(l))
			continue
		}
		if l.expires.Sub(now) < borrower.leaseTerm/2 && borrower.alive(l.host) {
			grants = append(grants, b.requestLease(now, l.host, 0, borrower))
		}
	}
	return append(grants, b.requestRate(now, borrower)...)
}

// requestRate requests rate from one more owner if the bucket accrues less
// than the demand needs and has few tokens in reserve.
func (b *bucket) requestRate(now time.Time, borrower borrowerHost) []outgoingGrant {
	missingRate := b.neededRate() - b.rate()
	if b.demand < minRateLeaseDemand || missingRate < negligibleRate || b.tokens > 2*b.neededBurst() {
		return nil
	}
	if now.Sub(b.rateRoundStart) > borrower.leaseTerm/2 {
		b.rateRoundStart = now
		b.rateRoundOwners = nil
	}
	for _, host := range b.lenders(now, borrower) {
		l := b.rateLeaseFrom(host)
		if slices.Contains(b.rateRoundOwners, host) || l != nil && !l.requestedAt.IsZero() {
			continue
		}
		b.rateRoundOwners = append(b.rateRoundOwners, host)
		return []outgoingGrant{b.requestLease(now, host, missingRate, borrower)}
	}
	return nil
}

// handleAnswer applies a lender's answer to a request. It ignores answers
// that don't belong to the last request of a lease, and those that arrive
// after the lease's term, which starts when the request is sent.
func (b *bucket) handleAnswer(now time.Time, host string, answer bhwire.Grant) {
	b.lenderTokens[host] = tokenReport{tokens: answer.Left, at: now}
	l := findLease(b.borrowed, host, answer.ID)
	if l == nil || l.requestedAt.IsZero() || l.seq != answer.Seq {
		return
	}
	expires := l.requestedAt.Add(answer.Term)
	l.requestedAt = time.Time{}
	if answer.Share+answer.Burst+answer.Tokens <= roundingTolerance || !now.Before(expires) {
		b.dropIfEmpty(l)
		return
	}
	l.Rate = answer.Share
	l.Burst = answer.Burst
	l.expires = expires
	b.tokens += answer.Tokens
	b.capTokens()
	b.dropIfEmpty(l)
	if l.shortTerm && answer.Tokens+roundingTolerance >= l.requestedTokens {
		b.tokenRoundOwners = slices.DeleteFunc(b.tokenRoundOwners, func(owner string) bool { return owner == host })
		b.nextTokenRound = time.Time{}
	}
}

// requestLease renews the host's rate lease, or requests a new one, with
// extraRate tokens per second added to its rate. The request also returns the
// tokens that this host doesn't need.
func (b *bucket) requestLease(now time.Time, host string, extraRate float64, borrower borrowerHost) outgoingGrant {
	l := b.rateLeaseFrom(host)
	if l == nil {
		l = &lease{host: host, id: borrower.nextLeaseID()}
		b.borrowed = append(b.borrowed, l)
	}
	l.seq++
	l.requestedAt = now
	returnedTokens := clip(b.spareTokens()-b.neededBurst(), l.Burst)
	b.tokens -= returnedTokens
	burst := max(l.Burst, 1+(l.Rate+extraRate)*reserveTime.Seconds())
	return outgoingGrant{host: host, grant: bhwire.Grant{
		ID: l.id, Seq: l.seq, Action: actionAsk, Account: b.account, Tokens: -returnedTokens,
		Share: l.Rate + extraRate, Burst: burst, Term: borrower.leaseTerm,
	}}
}

// leaseUnneeded reports whether this host's demand is met without the lease.
func (b *bucket) leaseUnneeded(l *lease) bool {
	if l.Rate+l.Burst == 0 {
		return false
	}
	rate := b.rate() - l.Rate
	burst := b.burst() - l.Burst
	return rate >= b.neededRate() && burst >= b.neededBurst()
}

// returnLease drops the lease and returns the message that gives it back,
// with the tokens that this host doesn't need. They are subtracted before the
// message is sent, so that they can't be spent twice.
func (b *bucket) returnLease(l *lease) outgoingGrant {
	b.borrowed = slices.DeleteFunc(b.borrowed, func(o *lease) bool { return o == l })
	tokens := clip(b.spareTokens(), l.Burst)
	tokens = max(tokens, clip(b.tokens-b.burst(), l.Burst))
	b.tokens -= tokens
	b.capTokens()
	return outgoingGrant{host: l.host, grant: bhwire.Grant{
		ID: l.id, Seq: l.seq, Action: actionReturn, Account: b.account, Tokens: tokens,
	}}
}

// expireRequests drops the requests that have timed out and returns the
// number of tokens that the other pending requests asked for.
func (b *bucket) expireRequests(now time.Time) float64 {
	pending := 0.0
	for _, l := range slices.Clone(b.borrowed) {
		switch {
		case l.requestedAt.IsZero():
		case now.Sub(l.requestedAt) < requestTimeout:
			pending += l.requestedTokens
		default:
			l.requestedAt = time.Time{}
			b.dropIfEmpty(l)
		}
	}
	return pending
}

// dropIfEmpty drops a lease that has neither rate nor burst, as when the
// lender gave nothing.
func (b *bucket) dropIfEmpty(l *lease) {
	if l.Rate+l.Burst == 0 {
		b.borrowed = slices.DeleteFunc(b.borrowed, func(o *lease) bool { return o == l })
	}
}

// lenders returns the other owners that are alive, those with the most
// estimated tokens first. Ties are in an order that differs between
// borrowers, to spread their requests over the owners.
func (b *bucket) lenders(now time.Time, borrower borrowerHost) []string {
	var hosts []string
	for _, host := range b.owners {
		if host != borrower.selfHost && borrower.alive(host) {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	offset := int(hostScore(b.account, borrower.selfHost) % uint64(len(hosts)))
	hosts = append(hosts[offset:], hosts[:offset]...)
	slices.SortStableFunc(hosts, func(x, y string) int {
		return cmp.Compare(b.estimateTokens(now, y), b.estimateTokens(now, x))
	})
	return hosts
}

// estimateTokens returns how many tokens the owner should have at now, from
// its last report and its share of the limit.
func (b *bucket) estimateTokens(now time.Time, host string) float64 {
	share := ownerShare(b.limit, b.owners, host)
	report, ok := b.lenderTokens[host]
	if !ok {
		return share.Burst
	}
	return min(share.Burst, report.tokens+share.Rate*now.Sub(report.at).Seconds())
}

// rateLeaseFrom returns the rate lease borrowed from the host, or nil.
func (b *bucket) rateLeaseFrom(host string) *lease {
	for _, l := range b.borrowed {
		if l.host == host && !l.shortTerm {
			return l
		}
	}
	return nil
}

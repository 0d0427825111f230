package bhlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// askTimeout is how long an ask may go unanswered.
	askTimeout = 100 * time.Millisecond
	// briefTerm is how long borrowed tokens may be spent.
	briefTerm = 200 * time.Millisecond
	// smallBurst is the burst below which used loans are returned at once.
	smallBurst = 20
	// dryTime is how long no new round of asks begins after one in vain.
	dryTime = 100 * time.Millisecond
)

// outgoing is an ask or a return for a host.
type outgoing struct {
	host  string
	grant bhwire.Grant
}

// borrower is what a bucket needs to know of its host to borrow.
type borrower struct {
	self  string
	term  time.Duration
	next  func() uint64
	alive func(host string) bool
}

// want asks an owner for the tokens that the waiting requests lack. It reports
// whether an answer is awaited.
func (b *bucket) want(now time.Time, waiting float64, by borrower) ([]outgoing, bool) {
	pending := b.expireAsks(now)
	missing := waiting - b.tokens - pending
	if missing <= tolerance {
		return nil, true
	}
	if now.Before(b.dry) {
		return nil, pending > 0
	}
	if now.Sub(b.began) > dryTime {
		b.began = now
		b.tried = nil
	}
	for _, host := range b.lenders(now, by) {
		if slices.Contains(b.tried, host) {
			continue
		}
		b.tried = append(b.tried, host)
		return []outgoing{b.askTokens(now, host, missing, by)}, true
	}
	if pending > 0 {
		return nil, true
	}
	b.dry = now.Add(dryTime)
	return b.finish(b.tokens > 0), false
}

// finish returns the brief loans once no request waits for them: always if
// the account's burst is so small that its owners miss what they have lent.
func (b *bucket) finish(always bool) []outgoing {
	if !always && b.limit.Burst >= smallBurst {
		return nil
	}
	var outs []outgoing
	for _, l := range slices.Clone(b.borrowed) {
		if l.brief && l.sent.IsZero() {
			outs = append(outs, b.giveBack(l))
		}
	}
	return outs
}

// askTokens asks the host for tokens to spend at once.
func (b *bucket) askTokens(now time.Time, host string, tokens float64, by borrower) outgoing {
	l := &loan{host: host, id: by.next(), brief: true, seq: 1, sent: now, asked: tokens}
	b.borrowed = append(b.borrowed, l)
	space := max(0, b.burst()-b.tokens)
	return outgoing{host: host, grant: bhwire.Grant{
		ID: l.id, Seq: l.seq, Action: actionAsk, Account: b.account,
		Tokens: tokens, Burst: max(0, tokens-space), Term: briefTerm,
	}}
}

// settle renews the loans that are still needed, returns the others, and asks
// for more rate when demand exceeds it. It is called regularly.
func (b *bucket) settle(now time.Time, by borrower) []outgoing {
	b.measure(now)
	b.expireAsks(now)
	var outs []outgoing
	for _, l := range slices.Clone(b.borrowed) {
		if !l.sent.IsZero() || l.brief {
			continue
		}
		if b.surplus(l) {
			outs = append(outs, b.giveBack(l))
			continue
		}
		if l.until.Sub(now) < by.term/2 && by.alive(l.host) {
			outs = append(outs, b.ask(now, l.host, 0, by))
		}
	}
	return append(outs, b.seek(now, by)...)
}

// seek asks one more owner for rate when the tokens don't last for the demand
// and what the bucket accrues is less.
func (b *bucket) seek(now time.Time, by borrower) []outgoing {
	lack := b.wantRate() - b.rate()
	if b.demand < rateDemand || lack < quiet || b.tokens > 2*b.wantBurst() {
		return nil
	}
	if now.Sub(b.search) > by.term/2 {
		b.search = now
		b.sought = nil
	}
	for _, host := range b.lenders(now, by) {
		l := b.loanFrom(host)
		if slices.Contains(b.sought, host) || l != nil && !l.sent.IsZero() {
			continue
		}
		b.sought = append(b.sought, host)
		return []outgoing{b.ask(now, host, lack, by)}
	}
	return nil
}

// receive takes in the answer to an ask. Only the answer to the last ask of a
// loan counts, and only before the loan's term is over.
func (b *bucket) receive(now time.Time, host string, give bhwire.Grant) {
	b.hints[host] = hint{tokens: give.Left, at: now}
	l := find(b.borrowed, host, give.ID)
	if l == nil || l.sent.IsZero() || l.seq != give.Seq {
		return
	}
	until := l.sent.Add(give.Term)
	l.sent = time.Time{}
	if give.Share+give.Burst+give.Tokens <= tolerance || !now.Before(until) {
		b.forgetEmpty(l)
		return
	}
	l.Rate = give.Share
	l.Burst = give.Burst
	l.until = until
	b.tokens += give.Tokens
	b.clamp()
	b.forgetEmpty(l)
	if l.brief && give.Tokens+tolerance >= l.asked {
		b.tried = slices.DeleteFunc(b.tried, func(tried string) bool { return tried == host })
		b.dry = time.Time{}
	}
}

// ask renews the host's loan or asks for a new one, with share in addition to
// what it lends. The tokens that aren't needed go back with it.
func (b *bucket) ask(now time.Time, host string, share float64, by borrower) outgoing {
	l := b.loanFrom(host)
	if l == nil {
		l = &loan{host: host, id: by.next()}
		b.borrowed = append(b.borrowed, l)
	}
	l.seq++
	l.sent = now
	back := clip(b.spare()-b.wantBurst(), l.Burst)
	b.tokens -= back
	burst := max(l.Burst, 1+(l.Rate+share)*tokenSpan.Seconds())
	return outgoing{host: host, grant: bhwire.Grant{
		ID: l.id, Seq: l.seq, Action: actionAsk, Account: b.account, Tokens: -back,
		Share: l.Rate + share, Burst: burst, Term: by.term,
	}}
}

// surplus reports whether the host's demand is met without the loan.
func (b *bucket) surplus(l *loan) bool {
	if l.Rate+l.Burst == 0 {
		return false
	}
	rate := b.rate() - l.Rate
	burst := b.burst() - l.Burst
	return rate >= b.wantRate() && burst >= b.wantBurst()
}

// giveBack drops the loan and returns it with the tokens that the host doesn't
// need. It subtracts before it sends.
func (b *bucket) giveBack(l *loan) outgoing {
	b.borrowed = slices.DeleteFunc(b.borrowed, func(o *loan) bool { return o == l })
	tokens := clip(b.spare(), l.Burst)
	tokens = max(tokens, clip(b.tokens-b.burst(), l.Burst))
	b.tokens -= tokens
	b.clamp()
	return outgoing{host: l.host, grant: bhwire.Grant{
		ID: l.id, Seq: l.seq, Action: actionReturn, Account: b.account, Tokens: tokens,
	}}
}

// expireAsks gives up on asks that were not answered in time and returns the
// tokens that the others await.
func (b *bucket) expireAsks(now time.Time) float64 {
	pending := 0.0
	for _, l := range slices.Clone(b.borrowed) {
		switch {
		case l.sent.IsZero():
		case now.Sub(l.sent) < askTimeout:
			pending += l.asked
		default:
			l.sent = time.Time{}
			b.forgetEmpty(l)
		}
	}
	return pending
}

// forgetEmpty drops a loan that never came about.
func (b *bucket) forgetEmpty(l *loan) {
	if l.Rate+l.Burst == 0 {
		b.borrowed = slices.DeleteFunc(b.borrowed, func(o *loan) bool { return o == l })
	}
}

// lenders returns the owners that may be asked: the one that should have most
// tokens first, and else each host in an order of its own.
func (b *bucket) lenders(now time.Time, by borrower) []string {
	var hosts []string
	for _, host := range b.owners {
		if host != by.self && by.alive(host) {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	turn := int(order(b.account, by.self) % uint64(len(hosts)))
	hosts = append(hosts[turn:], hosts[:turn]...)
	slices.SortStableFunc(hosts, func(x, y string) int {
		return cmp.Compare(b.estimate(now, y), b.estimate(now, x))
	})
	return hosts
}

// estimate returns the tokens that the owner should have by now.
func (b *bucket) estimate(now time.Time, host string) float64 {
	full := portion(b.limit, b.owners, host)
	h, ok := b.hints[host]
	if !ok {
		return full.Burst
	}
	return min(full.Burst, h.tokens+full.Rate*now.Sub(h.at).Seconds())
}

func (b *bucket) loanFrom(host string) *loan {
	for _, l := range b.borrowed {
		if l.host == host && !l.brief {
			return l
		}
	}
	return nil
}

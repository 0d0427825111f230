// Package bhquota holds client accounts to their rates over all gateways.
//
// A token bucket for each account lies in the platform's store. Gateways draw
// tokens ahead of requests, and a part of the rate: what accrues by it accrues
// with them, so that they need few writes and get through short outages. The
// bucket's level and the most that gateways can hold never exceed its capacity
// together, and its own rate and theirs add up to the account's. So in any
// window of length w at most capacity + rate x w requests pass, whatever
// happens to gateways.
package bhquota

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhhost"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// holdLimit is how long drawn tokens may be used without renewal. A gateway
// that can't reach the store for longer can't prove keys either.
const holdLimit = 4 * time.Second

// reserve is the share of the tolerated excess that is left unused.
const reserve = 0.2

// lentShare is the part of a rate that may accrue with gateways. The rest fills
// the bucket itself for gateways without a share.
const lentShare = 0.85

// holding is what one gateway has drawn. Gateways that drew nothing are listed
// too, until they lapse, so that the number of contenders is known.
type holding struct {
	Tokens float64 `cbor:"1,keyasint"`
	// Rate is what accrues with the holder, in tokens a second, up to Cap tokens.
	Rate float64 `cbor:"4,keyasint"`
	Cap  float64 `cbor:"5,keyasint"`
	// Until is when the tokens lapse, by the store's clock.
	Until time.Duration `cbor:"2,keyasint"`
	// Serial is the holder's own number of the write that set this.
	Serial uint64 `cbor:"3,keyasint"`
}

// bucket is the record of one account.
type bucket struct {
	Level float64 `cbor:"1,keyasint"`
	// At is when Level was brought up to date, by the store's clock; zero in a
	// bucket that was never written.
	At       time.Duration      `cbor:"2,keyasint"`
	Holdings map[string]holding `cbor:"3,keyasint"`
}

func decodeBucket(value []byte) (*bucket, error) {
	b := &bucket{}
	if len(value) > 0 {
		if err := cbor.Unmarshal(value, b); err != nil {
			return nil, errors.Wrap(err, "decoding a quota")
		}
	}
	if b.Holdings == nil {
		b.Holdings = make(map[string]holding)
	}
	return b, nil
}

// limit is what an account may use.
type limit struct {
	// rate is in tokens a second.
	rate     float64
	capacity float64
}

// limitOf returns what the account may use, with a part of the tolerance.
// Nothing may be used by an account that no longer exists.
func limitOf(account *bhpolicy.Account, tolerance Tolerance) limit {
	if account == nil {
		return limit{}
	}
	over := 1 + (1-reserve)*tolerance.Over
	return limit{rate: account.Rate * over, capacity: account.Burst*over + (1-reserve)*tolerance.Slack}
}

// most returns the most tokens that the holder can have.
func (h holding) most() float64 { return max(h.Tokens, h.Cap) }

// advance drops lapsed holdings and adds what has accrued since.
func (b *bucket) advance(limit limit, now time.Duration) {
	rate, held := limit.rate, 0.0
	for holder, h := range b.Holdings {
		rate -= h.Rate
		if now >= h.Until {
			delete(b.Holdings, holder)
			continue
		}
		held += h.most()
	}
	switch {
	case b.At == 0:
		b.Level, b.At = limit.capacity, now
	case now > b.At:
		b.Level += max(0, rate) * (now - b.At).Seconds()
		b.At = now
	}
	b.Level = max(0, min(b.Level, limit.capacity-held))
}

// dropEarlier drops the holdings of earlier starts of the holder's host, which
// nobody can use any more. What they may have used stays used.
func (b *bucket) dropEarlier(holder string) {
	for other := range b.Holdings {
		if other != holder && bhhost.HostOf(other) == bhhost.HostOf(holder) {
			delete(b.Holdings, other)
		}
	}
}

// others returns the rate and the most tokens of all holders but one.
func (b *bucket) others(holder string) (rate, held float64) {
	for name, h := range b.Holdings {
		if name != holder {
			rate += h.Rate
			held += h.most()
		}
	}
	return rate, held
}

// wish is what a gateway wants of a bucket.
type wish struct {
	tokens float64
	rate   float64
	cap    float64
}

// draw sets the holder's share to what is left of its tokens, filled up to the
// wish as far as the bucket allows, or less if it has far more.
func (b *bucket) draw(holder string, limit limit, left float64, wanted wish) holding {
	switch {
	case left < wanted.tokens:
		grant := min(wanted.tokens-left, b.Level)
		b.Level -= grant
		left += grant
	case left > 2*wanted.tokens:
		b.Level += left - wanted.tokens
		left = wanted.tokens
	}
	rate, held := b.others(holder)
	h := holding{
		Tokens: left,
		Rate:   max(0, min(wanted.rate, lentShare*limit.rate-rate)),
		Cap:    max(0, min(wanted.cap, limit.capacity-held)),
	}
	b.Level = max(0, min(b.Level, limit.capacity-held-h.most()))
	b.Holdings[holder] = h
	return h
}

// Package bhquota holds client accounts to their rates over all gateways.
//
// A token bucket for each account lies in the platform's store. Gateways draw
// tokens ahead of requests, and the bucket counts the drawn tokens as its
// content until they are spent: the bucket's level and what gateways hold
// never exceed its capacity together. So in any window of length w at most
// capacity + rate x w requests pass, whatever happens to gateways.
package bhquota

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// holdLimit is how long drawn tokens may be used without renewal. A gateway
// that can't reach the store for longer can't prove keys either.
const holdLimit = 4 * time.Second

// reserve is the share of the tolerated excess that is left unused.
const reserve = 0.2

// holding is what one gateway has drawn. Gateways that drew nothing are listed
// too, until they lapse, so that the number of contenders is known.
type holding struct {
	Tokens float64 `cbor:"1,keyasint"`
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

// advance drops lapsed holdings and adds what has accrued since.
func (b *bucket) advance(limit limit, now time.Duration) {
	held := 0.0
	for holder, h := range b.Holdings {
		if now >= h.Until {
			delete(b.Holdings, holder)
			continue
		}
		held += h.Tokens
	}
	switch {
	case b.At == 0:
		b.Level, b.At = limit.capacity, now
	case now > b.At:
		b.Level += limit.rate * (now - b.At).Seconds()
		b.At = now
	}
	b.Level = max(0, min(b.Level, limit.capacity-held))
}

// draw sets the holder's tokens to what is left of them, filled up to the
// wanted number as far as the level allows, or less if it has far more.
func (b *bucket) draw(holder string, left, wanted float64, until time.Duration, serial uint64) holding {
	switch {
	case left < wanted:
		grant := min(wanted-left, b.Level)
		b.Level -= grant
		left += grant
	case left > 2*wanted:
		b.Level += left - wanted
		left = wanted
	}
	h := holding{Tokens: left, Until: until, Serial: serial}
	b.Holdings[holder] = h
	return h
}

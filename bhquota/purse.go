package bhquota

import "time"

const (
	// supply is how long the tokens at hand should last at the present demand.
	supply = 2500 * time.Millisecond
	// idleDemand is the demand in tokens a second below which none are kept.
	idleDemand = 0.2
	// demandMemory is the time over which demand is averaged.
	demandMemory = 3 * time.Second
	// stockShare is the part of a bucket that all gateways together keep at hand.
	stockShare = 0.6
)

// purse is what this gateway holds of one account.
type purse struct {
	// ledger is the holding in the store, spent what was used of it since.
	ledger float64
	spent  float64
	// until is when the tokens lapse, by our clock.
	until time.Duration
	// demand is in tokens a second, as of asked.
	demand float64
	asked  time.Duration
	// waiting is the number of requests that wait for a token.
	waiting int
	// stock is the most tokens to keep at hand.
	stock float64
}

// ask notes the demand of one request.
func (p *purse) ask(now time.Duration) {
	p.decay(now)
	p.demand += 1 / demandMemory.Seconds()
}

func (p *purse) decay(now time.Duration) {
	passed := min(demandMemory, now-p.asked)
	p.demand *= 1 - float64(passed)/float64(demandMemory)
	p.asked = now
}

// left returns how many tokens may be spent.
func (p *purse) left(now time.Duration) float64 {
	if now >= p.until {
		return 0
	}
	return p.ledger - p.spent
}

// settle returns the tokens that are left, after dropping lapsed ones and those
// beyond a limit that was lowered.
func (p *purse) settle(now time.Duration, capacity float64) float64 {
	if now >= p.until {
		p.ledger, p.spent = 0, 0
	}
	p.ledger = min(p.ledger, p.spent+capacity)
	return max(0, p.ledger-p.spent)
}

// wanted returns how many tokens should be at hand. A share of the bucket that
// is less than a token would lie idle, so none is kept then.
func (p *purse) wanted() float64 {
	wanted := float64(p.waiting)
	if p.demand > idleDemand && p.stock >= 1 {
		wanted += min(p.stock, p.demand*supply.Seconds()+1)
	}
	return wanted
}

// Package bhpace decides how many batch items an engine may run beside live
// requests. It learns from the times between tokens that live requests see what
// each batch item adds to them, and keeps the sum within an allowed rise. It has
// no sockets and no goroutines.
package bhpace

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Defaults of a Pacer.
const (
	// DefaultRise is the allowed rise of the 99th percentile of the time between
	// tokens of live requests.
	DefaultRise = 0.05

	// sampleCount is the number of latest times between tokens kept.
	sampleCount = 2000
	// refresh is the number of observations after which the percentile is
	// computed anew.
	refresh = 200
	// forget is the weight that older observations keep at each new one.
	forget = 0.9995
	// learned is the weight of observations from which the slope is trusted.
	learned = 500
	// minVariance is the variance of the number of requests from which the
	// slope is trusted.
	minVariance = 0.5
	// middleStep is the relative step of the median at each observation.
	middleStep = 0.002
	// outlier is the multiple of the median from which a time is not learned from.
	outlier    = 1.3
	percentile = 0.99
	// initialShare is the part of the slots used while the slope isn't known.
	initialShare = 0.125
)

// Config configures a Pacer.
type Config struct {
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// Rise is the allowed rise of the 99th percentile of the time between tokens
	// of live requests; zero means DefaultRise. A higher one gives batch work
	// more of the engine.
	Rise float64
}

// Pacer limits the batch items on one engine. It is safe for concurrent use.
type Pacer struct {
	mu    sync.Mutex
	slots int
	rise  float64

	live       int
	waiting    int
	prefilling int

	// middle follows the median of the time between tokens, in seconds.
	middle float64
	// Moments of the number of requests and the time between tokens, without
	// the iterations that were slow for another reason, such as a prompt.
	weight, meanCount, meanTime, varCount, covariance float64

	samples []float64
	next    int
	seen    int
	high    float64
}

// New returns a pacer that has observed nothing.
func New(config Config) *Pacer {
	if config.Rise == 0 {
		config.Rise = DefaultRise
	}
	return &Pacer{slots: config.Slots, rise: config.Rise}
}

// Resize changes the number of slots.
func (p *Pacer) Resize(slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = slots
}

// SetRise changes the allowed rise; zero means DefaultRise.
func (p *Pacer) SetRise(rise float64) {
	if rise == 0 {
		rise = DefaultRise
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rise = rise
}

// Arrive notes that a live request was sent to the engine.
func (p *Pacer) Arrive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live++
	p.waiting++
}

// First notes the first token of a live request.
func (p *Pacer) First() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

// Leave notes the end of a live request; first reports whether it had its first
// token.
func (p *Pacer) Leave(first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live--
	if !first {
		p.waiting--
	}
}

// BatchStart notes that a batch item was sent to the engine, and BatchFirst that
// it has its first token or ended without.
func (p *Pacer) BatchStart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefilling++
}

// BatchFirst ends what BatchStart began.
func (p *Pacer) BatchFirst() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefilling--
}

// Observe notes the time between two tokens of a live request while batch items
// ran beside it.
func (p *Pacer) Observe(between time.Duration, batch int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds := between.Seconds()
	if p.middle == 0 {
		p.middle = seconds
	}
	p.middle += middleStep * p.middle * sign(seconds-p.middle)
	if seconds < outlier*p.middle {
		p.learn(float64(p.live+batch), seconds)
	}
	slope, _ := p.slope()
	p.sample(seconds - slope*float64(batch))
}

// learn takes in the time between tokens while count requests ran.
func (p *Pacer) learn(count, seconds float64) {
	p.weight = p.weight*forget + 1
	share := 1 / p.weight
	dx, dy := count-p.meanCount, seconds-p.meanTime
	p.meanCount += share * dx
	p.meanTime += share * dy
	p.varCount += share * (dx*(count-p.meanCount) - p.varCount)
	p.covariance += share * (dx*(seconds-p.meanTime) - p.covariance)
}

func sign(x float64) float64 {
	if x < 0 {
		return -1
	}
	return 1
}

// slope is the time that one request more adds between tokens, in seconds, and
// whether enough was observed to know it.
func (p *Pacer) slope() (seconds float64, known bool) {
	if p.weight < learned || p.varCount < minVariance {
		return 0, false
	}
	return max(p.covariance/p.varCount, 0), true
}

// sample keeps a time between tokens less what batch items added to it.
func (p *Pacer) sample(seconds float64) {
	if len(p.samples) < sampleCount {
		p.samples = append(p.samples, seconds)
	} else {
		p.samples[p.next] = seconds
		p.next = (p.next + 1) % sampleCount
	}
	p.seen++
	if p.seen%refresh != 0 {
		return
	}
	sorted := slices.Clone(p.samples)
	slices.Sort(sorted)
	p.high = sorted[int(percentile*float64(len(sorted)-1))]
}

// Middle returns about the median time between tokens, zero before the first.
func (p *Pacer) Middle() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.middle * float64(time.Second))
}

// Limit returns how many batch items may run now: as many as the engine has
// slots beside live requests and a reserve for more of them, which grows with
// the square of their number, and no more than the allowed rise permits while
// there are any.
func (p *Pacer) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	reserve := p.live * p.live / max(p.slots, 1)
	free := max(p.slots-p.live-reserve, 0)
	if p.live == 0 {
		return free
	}
	slope, known := p.slope()
	if !known {
		return min(free, max(int(initialShare*float64(p.slots)), 1))
	}
	if slope == 0 {
		return free
	}
	return min(free, int(math.Min(p.rise*p.high/slope, float64(p.slots))))
}

// MayStart reports whether one more batch item may be sent to the engine while
// batch are there. None may while a live request waits for its first token, and
// beside live requests the prompts of batch items are worked on one at a time.
func (p *Pacer) MayStart(batch int) bool {
	limit := p.Limit()
	p.mu.Lock()
	defer p.mu.Unlock()
	return batch < limit && p.waiting == 0 && (p.live == 0 || p.prefilling == 0)
}

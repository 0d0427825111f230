// Package bhpace limits the batch items that an engine runs beside live requests,
// so that the token intervals of the live requests rise no more than allowed. The
// sidecar reports requests and token intervals to it and asks it before it starts
// a batch item; the package does no I/O and starts no goroutine.
package bhpace

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultRise is the default of Config.Rise: 5 %.
	DefaultRise = 0.05

	// sampleCapacity is the number of latest token intervals kept.
	sampleCapacity = 2000
	// percentileInterval is the number of token intervals between computations
	// of their percentile.
	percentileInterval = 200
	// decayFactor multiplies the weight of the earlier observations at each new
	// one.
	decayFactor = 0.9995
	// minSlopeWeight is the total weight of observations from which on the slope
	// of the regression is used.
	minSlopeWeight = 500
	// minCountVariance is the variance of the number of requests from which on
	// the slope of the regression is used.
	minCountVariance = 0.5
	// medianStep is the fraction by which each observation moves the median.
	medianStep = 0.002
	// outlierRatio is the ratio to the median from which on a token interval is
	// left out of the regression.
	outlierRatio = 1.3
	// percentile is the percentile of the token intervals that the allowed rise
	// refers to, as a fraction.
	percentile = 0.99
	// initialSlotFraction is the fraction of the slots that batch items may use
	// beside live requests while the slope is unknown.
	initialSlotFraction = 0.125
)

// Config configures a Pacer.
type Config struct {
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// Rise is the allowed relative rise of the 99th percentile of the time between
	// tokens of live requests; zero means DefaultRise. A higher value lets more
	// batch items run.
	Rise float64
}

// Pacer limits the batch items on one engine. It estimates from the token
// intervals of live requests how much each further request adds to them, and keeps
// what all batch items add within the allowed rise. It is safe for concurrent use.
type Pacer struct {
	mu    sync.Mutex
	slots int
	rise  float64

	// live is the number of live requests on the engine, and awaitingFirstToken
	// the number of these without a first token.
	live               int
	awaitingFirstToken int
	// batchPrefilling is the number of batch items whose prompt is being
	// processed.
	batchPrefilling int

	// median is a running estimate of the median token interval in seconds; zero
	// before the first observation.
	median float64
	// Moments of the linear regression of the token interval in seconds on the
	// number of requests. Intervals that were long for another reason, such as the
	// processing of a prompt, are left out.
	weight, meanCount, meanInterval, varCount, covariance float64

	// samples is a ring buffer of the latest token intervals in seconds, less the
	// delay attributed to batch items.
	samples []float64
	// nextSample is the index of the oldest sample once samples is full.
	nextSample int
	// sampleTotal counts all samples, including those overwritten.
	sampleTotal int
	// baseP99 is the percentile of the samples at its latest computation.
	baseP99 float64
}

// New returns a pacer without observations.
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

// SetRise changes the allowed rise; see Config.Rise. Zero means DefaultRise.
func (p *Pacer) SetRise(rise float64) {
	if rise == 0 {
		rise = DefaultRise
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rise = rise
}

// LiveStarted records that a live request was sent to the engine.
func (p *Pacer) LiveStarted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live++
	p.awaitingFirstToken++
}

// LiveFirstToken records the first token of a live request.
func (p *Pacer) LiveFirstToken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitingFirstToken--
}

// LiveEnded records the end of a live request; hadFirstToken reports whether the
// request had its first token.
func (p *Pacer) LiveEnded(hadFirstToken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live--
	if !hadFirstToken {
		p.awaitingFirstToken--
	}
}

// BatchStarted records that a batch item was sent to the engine. Each call must
// be followed by one call of BatchPrefillEnded.
func (p *Pacer) BatchStarted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batchPrefilling++
}

// BatchPrefillEnded records that a batch item has its first token or ended
// without one.
func (p *Pacer) BatchPrefillEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batchPrefilling--
}

// ObserveTokenInterval records an interval between two tokens of a live request.
// batch is the number of batch items that ran on the engine meanwhile.
func (p *Pacer) ObserveTokenInterval(interval time.Duration, batch int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds := interval.Seconds()
	if p.median == 0 {
		p.median = seconds
	}
	p.median += medianStep * p.median * sign(seconds-p.median)
	if seconds < outlierRatio*p.median {
		p.updateRegression(float64(p.live+batch), seconds)
	}
	slope, _ := p.slope()
	p.addSample(seconds - slope*float64(batch))
}

// updateRegression adds a token interval in seconds that was observed while count
// requests ran.
func (p *Pacer) updateRegression(count, seconds float64) {
	p.weight = p.weight*decayFactor + 1
	gain := 1 / p.weight
	dx, dy := count-p.meanCount, seconds-p.meanInterval
	p.meanCount += gain * dx
	p.meanInterval += gain * dy
	p.varCount += gain * (dx*(count-p.meanCount) - p.varCount)
	p.covariance += gain * (dx*(seconds-p.meanInterval) - p.covariance)
}

func sign(x float64) float64 {
	if x < 0 {
		return -1
	}
	return 1
}

// slope returns the time in seconds that each further request adds to the token
// interval. known is false if there are too few observations, or if the number of
// requests varied too little between them.
func (p *Pacer) slope() (seconds float64, known bool) {
	if p.weight < minSlopeWeight || p.varCount < minCountVariance {
		return 0, false
	}
	return max(p.covariance/p.varCount, 0), true
}

// addSample stores a token interval in seconds, less the delay attributed to
// batch items, and recomputes the percentile after every percentileInterval
// samples.
func (p *Pacer) addSample(seconds float64) {
	if len(p.samples) < sampleCapacity {
		p.samples = append(p.samples, seconds)
	} else {
		p.samples[p.nextSample] = seconds
		p.nextSample = (p.nextSample + 1) % sampleCapacity
	}
	p.sampleTotal++
	if p.sampleTotal%percentileInterval != 0 {
		return
	}
	sorted := slices.Clone(p.samples)
	slices.Sort(sorted)
	p.baseP99 = sorted[int(percentile*float64(len(sorted)-1))]
}

// MedianTokenInterval returns an estimate of the median token interval of live
// requests, or zero before the first observation.
func (p *Pacer) MedianTokenInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.median * float64(time.Second))
}

// Limit returns the maximum number of batch items that may run now. It is at most
// the number of slots left by live requests and by a reserve for further ones,
// which grows with the square of the number of live requests. While live requests
// run, the allowed rise limits it further; until the slope is known, a fixed
// fraction of the slots does.
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
		return min(free, max(int(initialSlotFraction*float64(p.slots)), 1))
	}
	if slope == 0 {
		return free
	}
	return min(free, int(math.Min(p.rise*p.baseP99/slope, float64(p.slots))))
}

// MayStart reports whether a further batch item may be sent to the engine while
// batch items already run there. No item may start while a live request waits for
// its first token. While live requests run, the engine processes the prompt of
// only one batch item at a time.
func (p *Pacer) MayStart(batch int) bool {
	limit := p.Limit()
	p.mu.Lock()
	defer p.mu.Unlock()
	return batch < limit && p.awaitingFirstToken == 0 && (p.live == 0 || p.batchPrefilling == 0)
}

package bhpace

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Model of an engine with continuous batching. Each iteration produces one token
// for each request whose prompt is processed, and processes a bounded chunk of the
// remaining prompts.
const (
	simSlots = 32
	// An iteration takes simIterationBase, and in addition simTimePerSequence for
	// each token produced and simTimePerPromptToken for each prompt token
	// processed.
	simIterationBase      = 20 * time.Millisecond
	simTimePerSequence    = 150 * time.Microsecond
	simTimePerPromptToken = 100 * time.Microsecond
	// simPrefillChunk is the maximum number of prompt tokens per iteration.
	simPrefillChunk = 256
	// simResumePrompt is the minimum number of prompt tokens to process when a
	// preempted batch item resumes.
	simResumePrompt = 32
	// simDuration is the simulated time.
	simDuration = 10 * time.Minute
)

// request is a live request or a batch item in the simulation. Its times are
// since the start, and promptLeft and outputLeft are in tokens.
type request struct {
	live        bool
	arrivedAt   time.Duration
	promptLeft  int
	outputLeft  int
	lastTokenAt time.Duration
	// hasFirstToken is reset when a batch item is preempted.
	hasFirstToken bool
}

// policy decides when batch items start and stop.
type policy interface {
	// admit reports whether one more batch item may start.
	admit(s *simulation) bool
	// preempt returns the batch items to stop when a live request arrives.
	preempt(s *simulation) []*request
}

// simulation is a simulated engine with its requests.
type simulation struct {
	now       time.Duration
	duration  time.Duration
	policy    policy
	pacer     *Pacer
	random    *rand.Rand
	running   []*request
	queue     []*request
	preempted []*request

	firstTokenTimes, tokenIntervals []time.Duration
	// batchSlotTime is the slot time that batch items used, and freeSlotTime the
	// slot time that live requests left free.
	batchSlotTime, freeSlotTime time.Duration
	batchTokens                 int
}

func (s *simulation) runningCount(live bool) int {
	n := 0
	for _, r := range s.running {
		if r.live == live {
			n++
		}
	}
	return n
}

// run simulates the arrivals of live requests and returns the outcome.
func (s *simulation) run(arrivals []*request) outcome {
	next := 0
	for s.now < s.duration {
		for next < len(arrivals) && arrivals[next].arrivedAt <= s.now {
			s.queue = append(s.queue, arrivals[next])
			next++
			s.pacer.LiveStarted()
			for _, r := range s.policy.preempt(s) {
				s.preemptBatch(r)
			}
		}
		s.startRequests()
		s.iterate()
	}
	return s.outcome()
}

// preemptBatch removes a batch item from the engine. The item resumes later with
// the tokens it has.
func (s *simulation) preemptBatch(r *request) {
	s.running = slices.DeleteFunc(s.running, func(running *request) bool { return running == r })
	if !r.hasFirstToken {
		s.pacer.BatchPrefillEnded()
	}
	r.promptLeft = max(r.promptLeft, simResumePrompt)
	r.hasFirstToken = false
	s.preempted = append(s.preempted, r)
}

// startRequests starts queued live requests, then batch items, in the free slots.
func (s *simulation) startRequests() {
	for len(s.queue) > 0 && len(s.running) < simSlots {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	for len(s.queue) == 0 && len(s.running) < simSlots && s.policy.admit(s) {
		s.running = append(s.running, s.nextBatchItem())
		s.pacer.BatchStarted()
	}
}

// nextBatchItem returns the latest preempted batch item, or a new one.
func (s *simulation) nextBatchItem() *request {
	if n := len(s.preempted); n > 0 {
		r := s.preempted[n-1]
		s.preempted = s.preempted[:n-1]
		return r
	}
	return &request{promptLeft: 200 + s.random.IntN(400), outputLeft: 100 + s.random.IntN(200)}
}

// iterate runs one iteration of the engine.
func (s *simulation) iterate() {
	prefillLeft := simPrefillChunk
	var decoding []*request
	for _, r := range s.running {
		if r.promptLeft == 0 {
			decoding = append(decoding, r)
			continue
		}
		processed := min(prefillLeft, r.promptLeft)
		prefillLeft -= processed
		r.promptLeft -= processed
		if r.promptLeft == 0 {
			decoding = append(decoding, r)
		}
	}
	iterationTime := simIterationBase + time.Duration(len(decoding))*simTimePerSequence +
		time.Duration(simPrefillChunk-prefillLeft)*simTimePerPromptToken
	live, batch := s.runningCount(true), s.runningCount(false)
	s.batchSlotTime += iterationTime * time.Duration(batch)
	s.freeSlotTime += iterationTime * time.Duration(simSlots-live)
	s.now += iterationTime
	for _, r := range decoding {
		s.emitToken(r, batch)
	}
	s.running = slices.DeleteFunc(s.running, func(r *request) bool { return r.outputLeft <= 0 })
}

// emitToken records a token of a request while the given number of batch items
// run.
func (s *simulation) emitToken(r *request, batch int) {
	r.outputLeft--
	if !r.live {
		if !r.hasFirstToken {
			s.pacer.BatchPrefillEnded()
		}
		r.hasFirstToken = true
		s.batchTokens++
		return
	}
	if r.hasFirstToken {
		s.tokenIntervals = append(s.tokenIntervals, s.now-r.lastTokenAt)
		s.pacer.ObserveTokenInterval(s.now-r.lastTokenAt, batch)
	} else {
		r.hasFirstToken = true
		s.firstTokenTimes = append(s.firstTokenTimes, s.now-r.arrivedAt)
		s.pacer.LiveFirstToken()
	}
	r.lastTokenAt = s.now
	if r.outputLeft <= 0 {
		s.pacer.LiveEnded(true)
	}
}

// outcome is the measured result of a policy.
type outcome struct {
	// firstTokenP99 and tokenIntervalP99 are 99th percentiles over the live
	// requests.
	firstTokenP99, tokenIntervalP99 time.Duration
	// capacityUsed is the fraction that batch items used of the slot time that
	// live requests left free.
	capacityUsed float64
	// tokensPerSecond is the rate of batch tokens.
	tokensPerSecond float64
}

func (s *simulation) outcome() outcome {
	return outcome{
		firstTokenP99: p99(s.firstTokenTimes), tokenIntervalP99: p99(s.tokenIntervals),
		capacityUsed:    float64(s.batchSlotTime) / float64(s.freeSlotTime),
		tokensPerSecond: float64(s.batchTokens) / s.duration.Seconds(),
	}
}

// p99 sorts values and returns their 99th percentile, or zero if there are none.
func p99(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(percentile*float64(len(values)-1))]
}

// trafficPattern describes the arrivals of live requests: a rate in requests per
// second as a function of the elapsed fraction of the simulation, and the number
// of requests in a burst every 20 s.
type trafficPattern struct {
	name  string
	rate  func(at float64) float64
	burst int
}

var trafficPatterns = []trafficPattern{
	{"calm", func(float64) float64 { return 1.5 }, 0},
	{"bursty", func(float64) float64 { return 1 }, 15},
	{"evening", func(at float64) float64 { return 1 + 5*at*(1-at)*4 }, 0},
}

// arrivals returns the live requests of the pattern. They are the same at each
// call, so that all policies see the same load.
func (p trafficPattern) arrivals(duration time.Duration) []*request {
	random := rand.New(rand.NewPCG(1, 1))
	var requests []*request
	add := func(arrivedAt time.Duration) {
		requests = append(requests, &request{
			live: true, arrivedAt: arrivedAt, promptLeft: 100 + random.IntN(500), outputLeft: 50 + random.IntN(150),
		})
	}
	bursts := 1
	for at := time.Duration(0); at < duration; {
		rate := p.rate(float64(at) / float64(duration))
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		for ; p.burst > 0 && at > time.Duration(bursts)*20*time.Second; bursts++ {
			for range p.burst {
				add(time.Duration(bursts) * 20 * time.Second)
			}
		}
		add(at)
	}
	return requests
}

// simulate runs the arrivals of a traffic pattern under a policy.
func simulate(p trafficPattern, c policyCase, duration time.Duration) outcome {
	pacer := New(Config{Slots: simSlots, Rise: c.rise})
	s := &simulation{pacer: pacer, duration: duration, policy: c.newPolicy(pacer), random: rand.New(rand.NewPCG(2, 2))}
	return s.run(p.arrivals(duration))
}

// fixedShare lets batch items use a fixed number of slots and preempts none.
type fixedShare struct{ slots int }

func (p fixedShare) admit(s *simulation) bool       { return s.runningCount(false) < p.slots }
func (p fixedShare) preempt(*simulation) []*request { return nil }

// stepAside is the scheme of the sidecar: it starts batch items as the pacer
// allows and preempts items when a live request arrives.
type stepAside struct{ pacer *Pacer }

func (p stepAside) admit(s *simulation) bool { return p.pacer.MayStart(s.runningCount(false)) }

// preempt returns the items without a first token, and the most recent items in
// excess of the pacer's limit.
func (p stepAside) preempt(s *simulation) []*request {
	var preempted []*request
	excess := s.runningCount(false) - p.pacer.Limit()
	for _, r := range slices.Backward(s.running) {
		if r.live {
			continue
		}
		if !r.hasFirstToken || excess > 0 {
			preempted = append(preempted, r)
			excess--
		}
	}
	return preempted
}

// workloadShare divides the slots between live requests and batch items by the
// queued and running live work, as the paper on dynamic scheduling does for
// updates and queries. It applies hysteresis and a minimum hold time, and it
// preempts nothing.
type workloadShare struct {
	slots     int
	updatedAt time.Duration
}

const (
	// minHoldTime is the minimum time between updates of the slots.
	minHoldTime = 2 * time.Second
	// slotHysteresis is the change, as a fraction of the slots, up to which the
	// slots stay as they are.
	slotHysteresis = 0.1
)

func (p *workloadShare) admit(s *simulation) bool {
	if s.now-p.updatedAt >= minHoldTime {
		p.updatedAt = s.now
		p.updateSlots(s)
	}
	return s.runningCount(false) < p.slots
}

func (p *workloadShare) updateSlots(s *simulation) {
	work := 0
	for _, r := range append(slices.Clone(s.running), s.queue...) {
		if r.live {
			work += r.promptLeft/8 + r.outputLeft
		}
	}
	// liveFraction is the fraction of the slots with which the live requests end
	// as soon as if they ran alone, doubled for further arrivals.
	liveFraction := min(2*float64(work)/(simSlots*100), 1)
	wantedSlots := (1 - liveFraction) * simSlots
	if wantedSlots > float64(p.slots)+slotHysteresis*simSlots || wantedSlots < float64(p.slots)-slotHysteresis*simSlots {
		p.slots = int(wantedSlots)
	}
}

func (p *workloadShare) preempt(*simulation) []*request { return nil }

package bhpace

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Model of an engine with continuous batching. Each iteration gives one token
// to each request past its prompt and works on a bounded piece of the prompts.
const (
	simSlots   = 32
	simBase    = 20 * time.Millisecond
	simPerItem = 150 * time.Microsecond
	simPerWord = 100 * time.Microsecond
	simPiece   = 256
	simResume  = 32
	// wholeSpan is the time simulated.
	wholeSpan = 10 * time.Minute
)

// request is a live request or a batch item in the simulation.
type request struct {
	live   bool
	at     time.Duration
	prompt int
	left   int
	last   time.Duration
	first  bool
}

// policy decides about batch items.
type policy interface {
	// admit reports whether one more batch item may start.
	admit(s *simulation) bool
	// preempt lists the batch items to stop as a live request arrives.
	preempt(s *simulation) []*request
}

// simulation is one engine with its requests.
type simulation struct {
	now     time.Duration
	span    time.Duration
	policy  policy
	pacer   *Pacer
	random  *rand.Rand
	running []*request
	queue   []*request
	resumed []*request

	firsts, betweens    []time.Duration
	batchTime, leftTime time.Duration
	generated           int
}

func (s *simulation) count(live bool) int {
	n := 0
	for _, r := range s.running {
		if r.live == live {
			n++
		}
	}
	return n
}

// run simulates the arrivals and returns what came of it.
func (s *simulation) run(arrivals []*request) outcome {
	next := 0
	for s.now < s.span {
		for next < len(arrivals) && arrivals[next].at <= s.now {
			s.queue = append(s.queue, arrivals[next])
			next++
			s.pacer.Arrive()
			for _, r := range s.policy.preempt(s) {
				s.stop(r)
			}
		}
		s.start()
		s.iterate()
	}
	return s.outcome()
}

// stop takes a batch item out of the engine; it goes on later from its tokens.
func (s *simulation) stop(r *request) {
	s.running = slices.DeleteFunc(s.running, func(other *request) bool { return other == r })
	if !r.first {
		s.pacer.BatchFirst()
	}
	r.prompt = max(r.prompt, simResume)
	r.first = false
	s.resumed = append(s.resumed, r)
}

func (s *simulation) start() {
	for len(s.queue) > 0 && len(s.running) < simSlots {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	for len(s.queue) == 0 && len(s.running) < simSlots && s.policy.admit(s) {
		s.running = append(s.running, s.item())
		s.pacer.BatchStart()
	}
}

func (s *simulation) item() *request {
	if n := len(s.resumed); n > 0 {
		r := s.resumed[n-1]
		s.resumed = s.resumed[:n-1]
		return r
	}
	return &request{prompt: 200 + s.random.IntN(400), left: 100 + s.random.IntN(200)}
}

// iterate lets the engine do one iteration.
func (s *simulation) iterate() {
	piece := simPiece
	var decoding []*request
	for _, r := range s.running {
		if r.prompt == 0 {
			decoding = append(decoding, r)
			continue
		}
		done := min(piece, r.prompt)
		piece -= done
		r.prompt -= done
		if r.prompt == 0 {
			decoding = append(decoding, r)
		}
	}
	took := simBase + time.Duration(len(decoding))*simPerItem + time.Duration(simPiece-piece)*simPerWord
	live, batch := s.count(true), s.count(false)
	s.batchTime += took * time.Duration(batch)
	s.leftTime += took * time.Duration(simSlots-live)
	s.now += took
	for _, r := range decoding {
		s.token(r, batch)
	}
	s.running = slices.DeleteFunc(s.running, func(r *request) bool { return r.left <= 0 })
}

func (s *simulation) token(r *request, batch int) {
	r.left--
	if !r.live {
		if !r.first {
			s.pacer.BatchFirst()
		}
		r.first = true
		s.generated++
		return
	}
	if r.first {
		s.betweens = append(s.betweens, s.now-r.last)
		s.pacer.Observe(s.now-r.last, batch)
	} else {
		r.first = true
		s.firsts = append(s.firsts, s.now-r.at)
		s.pacer.First()
	}
	r.last = s.now
	if r.left <= 0 {
		s.pacer.Leave(true)
	}
}

// outcome is what a policy achieved.
type outcome struct {
	first, between time.Duration
	// used is the part of the slot time that live requests left which batch
	// items used.
	used float64
	// tokens is the number of batch tokens a second.
	tokens float64
}

func (s *simulation) outcome() outcome {
	return outcome{
		first: high(s.firsts), between: high(s.betweens),
		used:   float64(s.batchTime) / float64(s.leftTime),
		tokens: float64(s.generated) / s.span.Seconds(),
	}
}

func high(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(percentile*float64(len(values)-1))]
}

// pattern gives the rate of live requests a second at a time, and the size of
// bursts every twenty seconds.
type pattern struct {
	name  string
	rate  func(at float64) float64
	burst int
}

var patterns = []pattern{
	{"calm", func(float64) float64 { return 1.5 }, 0},
	{"bursty", func(float64) float64 { return 1 }, 15},
	{"evening", func(at float64) float64 { return 1 + 5*at*(1-at)*4 }, 0},
}

// arrivals returns the same live requests for each policy.
func (p pattern) arrivals(span time.Duration) []*request {
	random := rand.New(rand.NewPCG(1, 1))
	var list []*request
	add := func(at time.Duration) {
		list = append(list, &request{live: true, at: at, prompt: 100 + random.IntN(500), left: 50 + random.IntN(150)})
	}
	bursts := 1
	for at := time.Duration(0); at < span; {
		rate := p.rate(float64(at) / float64(span))
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		for ; p.burst > 0 && at > time.Duration(bursts)*20*time.Second; bursts++ {
			for range p.burst {
				add(time.Duration(bursts) * 20 * time.Second)
			}
		}
		add(at)
	}
	return list
}

func simulate(p pattern, n named, span time.Duration) outcome {
	pacer := New(Config{Slots: simSlots, Rise: n.rise})
	s := &simulation{pacer: pacer, span: span, policy: n.choose(pacer), random: rand.New(rand.NewPCG(2, 2))}
	return s.run(p.arrivals(span))
}

// share lets batch items use a fixed number of slots and never stops one.
type share struct{ slots int }

func (p share) admit(s *simulation) bool       { return s.count(false) < p.slots }
func (p share) preempt(*simulation) []*request { return nil }

// aside is the scheme of the sidecar.
type aside struct{ pacer *Pacer }

func (p aside) admit(s *simulation) bool { return p.pacer.MayStart(s.count(false)) }

// preempt stops items that have no token yet and those over the limit.
func (p aside) preempt(s *simulation) []*request {
	var stop []*request
	excess := s.count(false) - p.pacer.Limit()
	for _, r := range slices.Backward(s.running) {
		if r.live {
			continue
		}
		if !r.first || excess > 0 {
			stop = append(stop, r)
			excess--
		}
	}
	return stop
}

// adaptive divides the slots by the workload of the two queues, as the paper on
// dynamic scheduling does for updates and queries: by work waiting and at hand,
// with hysteresis and a holding time, and without stopping what runs.
type adaptive struct {
	slots int
	since time.Duration
}

const (
	holdingTime = 2 * time.Second
	hysteresis  = 0.1
)

func (p *adaptive) admit(s *simulation) bool {
	if s.now-p.since >= holdingTime {
		p.since = s.now
		p.divide(s)
	}
	return s.count(false) < p.slots
}

func (p *adaptive) divide(s *simulation) {
	work := 0
	for _, r := range append(slices.Clone(s.running), s.queue...) {
		if r.live {
			work += r.prompt/8 + r.left
		}
	}
	// What the live requests need to end within the time they'd take alone, and
	// as much again for those to come.
	need := min(2*float64(work)/(simSlots*100), 1)
	wanted := (1 - need) * simSlots
	if wanted > float64(p.slots)+hysteresis*simSlots || wanted < float64(p.slots)-hysteresis*simSlots {
		p.slots = int(wanted)
	}
}

func (p *adaptive) preempt(*simulation) []*request { return nil }

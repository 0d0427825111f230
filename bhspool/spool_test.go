package bhspool

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// reader is a client of the load: what is produced for it in each tick, and what it reads.
type reader struct {
	holding        *Holding
	rate, produces int64 // bytes a second
	pending        int64
	broken         string
	read           int64
	waited         time.Duration // the longest time for which its upstream was left unread
	waiting        time.Duration
}

const tick = 50 * time.Millisecond

// step produces and reads for one tick. Reads of less than a byte add up.
func (r *reader) step() {
	if r.broken != "" {
		return
	}
	more := r.produces * int64(tick) / int64(time.Second)
	switch r.holding.Grow(more) {
	case Granted:
		r.holding.Offer()
		r.pending += more
		r.waiting = 0
	case Wait:
		r.waiting += tick
		r.waited = max(r.waited, r.waiting)
	case Yielded:
		r.broken = "yielded"
		return
	}
	if n := min(r.pending, r.rate*int64(tick)/int64(time.Second)); n > 0 {
		r.holding.Read(n)
		r.pending -= n
		r.read += n
	}
	if r.pending > 0 && time.Now().After(r.holding.Deadline()) {
		r.broken = "stalled"
		r.holding.Close()
	}
}

// 300 readers before a budget of 64 MB, of which 60 are slow: 30 don't read at all, 10
// trickle some bytes now and then, and 20 read soundly at 60 in 100 of what is produced.
// Answers of 20 KB/s to 2 MB/s go on for 40 s, which together would be 15 GB.
func TestSlowReadersDontTakeMemoryOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 64 << 20
		budget := New(Config{Total: total})
		source := rand.New(rand.NewPCG(3, 4))
		var silent, trickling, slow, fast []*reader
		var all []*reader
		for i := range 300 {
			r := &reader{produces: 20_000 + source.Int64N(2_000_000)}
			r.holding = budget.Open(func() {})
			switch {
			case i < 30:
				silent = append(silent, r)
			case i < 40:
				r.rate = 100
				trickling = append(trickling, r)
			case i < 60:
				r.rate = r.produces * 6 / 10
				slow = append(slow, r)
			default:
				r.rate = 2 * r.produces
				fast = append(fast, r)
			}
			all = append(all, r)
		}
		for range int(40 * time.Second / tick) {
			for _, r := range all {
				r.step()
			}
			usage := budget.Usage()
			assert.LessOrEqual(t, usage.Shared, int64(total))
			assert.LessOrEqual(t, usage.Bytes, int64(total+len(all)*Guaranteed))
			time.Sleep(tick)
		}
		for _, r := range append(silent, trickling...) {
			assert.NotEmpty(t, r.broken, "a stalled reader ends: %+v", r)
		}
		for _, r := range append(slow, fast...) {
			assert.Empty(t, r.broken, "a sound reader isn't cut: %+v", r)
		}
		for _, r := range fast {
			assert.Less(t, r.waited, time.Second, "an upstream isn't left unread for others' readers")
		}
	})
}

func TestStalledReaderThatTricklesEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name string
			rate int64 // bytes in each second
			ends bool
		}{{"silent", 0, true}, {"one byte a second", 1, true}, {"a tenth too slow", LeastProgress / 20 * 9 / 10, true}, {"sound", LeastProgress/20 + 10, false}} {
			holding := New(Config{Total: 1 << 20}).Open(func() {})
			assert.Equal(t, Granted, holding.Grow(100_000))
			holding.Offer()
			ended := false
			for range 60 {
				time.Sleep(time.Second)
				if c.rate > 0 {
					holding.Read(c.rate)
				}
				ended = ended || time.Now().After(holding.Deadline())
			}
			assert.Equal(t, c.ends, ended, c.name)
		}
	})
}

func TestWhoYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(Config{Total: 1 << 20})
		yielded := ""
		open := func(name string, bytes int64, reading bool) *Holding {
			holding := budget.Open(func() { yielded += name })
			assert.Equal(t, Granted, holding.Grow(bytes), name)
			if reading {
				holding.Offer()
			}
			return holding
		}
		body := open("body ", 300<<10, false)
		small := open("small ", 100<<10, true)
		large := open("large ", 300<<10, true)
		sound := open("sound ", 380<<10, true)
		fresh := budget.Open(func() {})
		assert.Equal(t, Wait, fresh.Grow(100<<10), "none has stood still for long")
		time.Sleep(yieldAfter)
		sound.Read(1)
		assert.Equal(t, Granted, fresh.Grow(100<<10))
		assert.Equal(t, "large ", yielded, "what holds most for the longest time without progress")
		assert.True(t, large.Yielded())
		assert.Equal(t, Yielded, large.Grow(1))
		large.Read(100)
		large.Close()
		assert.Equal(t, Granted, fresh.Grow(1), "a small part is always granted")
		for _, holding := range []*Holding{body, small, sound, fresh} {
			holding.Close()
			holding.Close()
		}
		usage := budget.Usage()
		assert.Zero(t, usage.Bytes)
		assert.Zero(t, usage.Shared)
		assert.Zero(t, usage.Holdings)
	})
}

func TestGuaranteedPartAndShare(t *testing.T) {
	budget := New(Config{Total: 1 << 20})
	assert.Equal(t, Granted, budget.Open(func() {}).Grow(1<<20+Guaranteed), "a whole body in one")
	assert.True(t, budget.Full(Guaranteed*2))
	late := budget.Open(func() {})
	assert.Equal(t, Granted, late.Grow(Guaranteed), "guaranteed, though the budget is full")
	assert.Equal(t, Wait, late.Grow(Guaranteed))
	one := New(Config{Total: 1 << 20}).Open(func() {})
	var held int64
	for one.Grow(10<<10) == Granted {
		held += 10 << 10
	}
	assert.InDelta(t, (1<<20)/maxShare, held, 32<<10, "one reader takes a part of the budget only")
}

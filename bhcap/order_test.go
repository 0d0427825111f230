package bhcap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// orderLoad is what one upstream is asked for that names a limit.
type orderLoad struct {
	// limit, live and urgent are requests a second. Items are asked for a hundred times a
	// second while live requests come at random; urgent is the part of these that is urgent.
	limit, live, urgent float64
	items               bool
}

// orderPatience is how long live requests may wait: most of a latency objective of 300 ms.
const orderPatience = 200 * time.Millisecond

// orderResult is the share of the requests that was granted, by class, and how many items a
// second.
type orderResult struct {
	urgent, live, items float64
}

// playOrder plays the load for 200 s. In order of asking, all requests have one class.
func playOrder(load orderLoad, byClass bool) orderResult {
	const step, length = 10 * time.Millisecond, 200 * time.Second
	random, l := rand.New(rand.NewPCG(3, 4)), NewLedger(Config{})
	asked, granted := make(map[Class]float64), make(map[Class]float64)
	take := func(class Class, now time.Duration) {
		asked[class]++
		ask := Ask{Class: class}
		if class < ItemClass(0) {
			ask.Patience = orderPatience
		}
		if !byClass {
			ask = Ask{}
		}
		if l.Take(upstream, ask, at(now)).Granted {
			granted[class]++
		}
	}
	for now := time.Duration(0); now < length; now += step {
		l.Observe(upstream, named(now, load.limit))
		if load.items {
			take(ItemClass(0), now)
		}
		if random.Float64() < load.live*step.Seconds() {
			class := LiveClass(1)
			if random.Float64() < load.urgent/load.live {
				class = LiveClass(0)
			}
			take(class, now)
		}
	}
	return orderResult{
		urgent: granted[LiveClass(0)] / max(1, asked[LiveClass(0)]),
		live:   (granted[LiveClass(0)] + granted[LiveClass(1)]) / (asked[LiveClass(0)] + asked[LiveClass(1)]),
		items:  granted[ItemClass(0)] / length.Seconds(),
	}
}

// TestGrantsFollowUrgency plays an upstream that names a limit of 0.4 of what live requests and
// items ask for. Items may cost live requests nothing: these must be granted as often as without
// items, but for one in twenty, and items get what is left. Without classes, items that wait
// take what live requests need.
func TestGrantsFollowUrgency(t *testing.T) {
	for _, limit := range []float64{2.4, 20} {
		for _, c := range []struct {
			name string
			live float64
		}{
			{"live requests want half of it", 0.5},
			{"live requests want nine tenths of it", 0.9},
			{"live requests want one and a half times as many", 1.5},
		} {
			t.Run(fmt.Sprint("limit ", limit, ", ", c.name), func(t *testing.T) {
				load := orderLoad{limit: limit, live: c.live * limit, items: true}
				alone := playOrder(orderLoad{limit: limit, live: load.live}, true)
				ordered, unordered := playOrder(load, true), playOrder(load, false)
				t.Logf("live alone %.3f, with items %.3f, in order of asking %.3f; items %.2f a second, in order of asking %.2f",
					alone.live, ordered.live, unordered.live, ordered.items, unordered.items)
				assert.GreaterOrEqual(t, ordered.live, alone.live-0.05)
				left := limit - load.live*ordered.live
				assert.GreaterOrEqual(t, ordered.items, 0.8*left-0.1*limit, "items get what is left")
				assert.Less(t, unordered.live, alone.live-0.05, "the load is one where order counts")
			})
		}
	}
}

// TestMoreUrgentLiveRequestsGoFirst plays two priorities of live requests that together want
// one and a half times the limit, of which the urgent ones are a half of the limit.
func TestMoreUrgentLiveRequestsGoFirst(t *testing.T) {
	for _, limit := range []float64{2.4, 20} {
		load := orderLoad{limit: limit, live: 1.5 * limit, urgent: 0.5 * limit}
		alone := playOrder(orderLoad{limit: limit, live: 0.5 * limit, urgent: 0.5 * limit}, true)
		ordered, unordered := playOrder(load, true), playOrder(load, false)
		t.Logf("limit %g: urgent alone %.3f, with others %.3f, in order of asking %.3f; all live %.3f, %.3f",
			limit, alone.urgent, ordered.urgent, unordered.urgent, ordered.live, unordered.live)
		assert.GreaterOrEqual(t, ordered.urgent, alone.urgent-0.05)
		assert.GreaterOrEqual(t, ordered.live*load.live, 0.8*limit, "little of the limit is lost by what is left for urgent ones")
		assert.Less(t, unordered.urgent, alone.urgent-0.05, "the load is one where order counts")
	}
}

// TestItemsAreGrantedAgainAfterLiveDemand guards against items that are held back for requests
// that don't come any more.
func TestItemsAreGrantedAgainAfterLiveDemand(t *testing.T) {
	l := NewLedger(Config{})
	l.Observe(upstream, named(0, 2))
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		l.Take(upstream, Ask{}, at(now))
		l.Take(upstream, Ask{Class: ItemClass(0)}, at(now))
	}
	granted := 0
	for now := 20 * time.Second; now < 40*time.Second; now += 100 * time.Millisecond {
		if l.Take(upstream, Ask{Class: ItemClass(0)}, at(now)).Granted {
			granted++
		}
	}
	assert.GreaterOrEqual(t, granted, 2*15)
}

package bhevidence

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

const (
	// itemRetention is when an item may be given up, itemTarget when it should be done.
	itemRetention = time.Minute
	itemTarget    = 18 * time.Second
	// tryWithin is the time without a failed run after which an open item counts as left lying.
	tryWithin = 20 * time.Second

	// crashTime is how long a crashing item runs at least before its engine ends.
	crashTime   = 100 * time.Millisecond
	itemSlots   = 4
	itemRunTime = 3 * time.Second
	// itemEventAt is when an event of a sound item arrives by which it is known to be one.
	itemEventAt  = answeringTime + 50*time.Millisecond
	engineAway   = 3 * time.Second
	itemHandover = 2500 * time.Millisecond
	// finishTime is how long after the faults all items are done, or engines work on them.
	finishTime    = 18 * time.Second
	claimInterval = 250 * time.Millisecond
)

// itemDay is a load of items, some of which crash engines.
type itemDay struct {
	name string
	// prompts is the number of crashing prompts, items that of the items with each. They are
	// accepted one after the other, each apart after the one before.
	prompts, items int
	apart          time.Duration
	// crashAfter is how much of a crashing item runs before its engine ends, if that is more than
	// crashTime.
	crashAfter time.Duration
	// trouble strikes at the fifteenth second.
	trouble func(f *testFleet)
	// soundPrompts is the number of prompts that sound items have; zero gives each its own.
	soundPrompts int
	// soundParts is the number of parts of which each sound item's prompt has one; zero for none.
	soundParts int
	// storm is how long each engine ends for another reason after engineLife on average.
	storm, engineLife time.Duration
	// bursts are the times at which engines end for another reason, one in three.
	bursts []time.Duration
	// canRest says that the trials that are allowed suffice to try each item in time.
	canRest bool
}

var itemDays = []itemDay{
	{name: "one item", prompts: 1, items: 1, canRest: true},
	{name: "three prompts", prompts: 3, items: 1, apart: 1500 * time.Millisecond, canRest: true},
	{name: "three prompts, restarts", prompts: 3, items: 1, apart: 1500 * time.Millisecond, trouble: restartAll, canRest: true},
	{name: "three prompts, no store", prompts: 3, items: 1, apart: 1500 * time.Millisecond, trouble: func(f *testFleet) { f.cutStore() }, canRest: true},
	{name: "one prompt in five items", prompts: 1, items: 5, apart: 4 * time.Second},
	{name: "one prompt in five items, restarts", prompts: 1, items: 5, apart: 4 * time.Second, trouble: restartAll},
	{name: "few sound prompts", prompts: 1, items: 1, soundPrompts: 10, canRest: true},
}

// burstItemDays are days on which engines end in bursts, and nothing crashes them.
var burstItemDays = []itemDay{
	{name: "bursts, few sound prompts", soundPrompts: 10, bursts: []time.Duration{10 * time.Second, 14 * time.Second, 18 * time.Second}},
}

func restartAll(f *testFleet) {
	for _, p := range f.processes {
		p.kill()
		time.Sleep(100 * time.Millisecond)
		p.start()
		time.Sleep(400 * time.Millisecond)
	}
}

// modelItem is an item that runners run until it is done or given up.
type modelItem struct {
	traits   bhcrash.Traits
	prompt   string
	crashes  bool
	accepted time.Time
	// free is when the item may be claimed; zero while it is claimed.
	free     time.Time
	progress time.Duration
	failedAt time.Time
	done     bool
}

// modelEngine is the engine beside a runner.
type modelEngine struct {
	ended     chan struct{}
	upstream  string
	running   int
	suspected bool
}

// itemFigures are what the errors are measured by.
type itemFigures struct {
	// late is the largest number of sends of one prompt later than the window after its
	// third engine ended; ends counts all engines that ended.
	late, ends int
	// lying is the time for which crashing items were open without a failed run lately.
	lying time.Duration
	// soundLying is the number of sound items that neither were done nor had run lately
	// finishTime after the storm.
	soundLying int
	// slowest is the time that the slowest sound item took.
	slowest time.Duration
}

// itemFleet plays a day of items at the runners of a fleet.
type itemFleet struct {
	day    itemDay
	spread bool
	fleet  *testFleet
	began  time.Time
	loops  sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	items   []*modelItem
	engines []*modelEngine
	ended   map[string][]time.Time
	late    map[string]int
	figures itemFigures
}

// playItems plays the day. Without spread, items are tried like requests.
func playItems(t *testing.T, day itemDay, spread bool, seed uint64) itemFigures {
	f := &itemFleet{day: day, spread: spread, fleet: newTestFleet(t, 9, bhstand.NewStore(bhstand.StoreConfig{})), began: time.Now(),
		random: rand.New(rand.NewPCG(seed, 3)), ended: make(map[string][]time.Time), late: make(map[string]int)}
	defer f.fleet.stop()
	f.accept()
	ctx, cancel := context.WithCancel(t.Context())
	for number := range f.fleet.processes {
		f.engines = append(f.engines, &modelEngine{ended: make(chan struct{}), upstream: fmt.Sprint("i-", number)})
	}
	for number := range f.engines {
		f.loops.Go(func() { f.claim(ctx, number) })
	}
	if day.trouble != nil {
		f.loops.Go(func() {
			time.Sleep(15 * time.Second)
			day.trouble(f.fleet)
		})
	}
	if day.storm > 0 {
		f.loops.Go(f.storm)
		time.AfterFunc(day.storm+finishTime, f.countSoundLying)
	}
	for _, at := range day.bursts {
		time.AfterFunc(at, f.burst)
	}
	for time.Since(f.began) < itemRetention+10*time.Second {
		time.Sleep(time.Second)
		f.look()
	}
	cancel()
	f.loops.Wait()
	return f.figures
}

// accept adds the items: crashing ones, and sound ones all the time.
func (f *itemFleet) accept() {
	add := func(at time.Duration, name, prompt string, crashes bool, parts ...string) {
		account := name
		if len(parts) > 0 {
			account = "zoo"
		}
		traits := bhcrash.Content{Account: account, Target: "/" + name, Prompt: prompt, Parts: parts}.Traits()
		if f.spread {
			traits.Until = f.began.Add(at + itemRetention)
		}
		f.items = append(f.items, &modelItem{traits: traits, prompt: prompt, crashes: crashes, accepted: f.began.Add(at), free: f.began.Add(at)})
	}
	for i := range f.day.prompts {
		for j := range f.day.items {
			add(time.Second+time.Duration(i+j)*f.day.apart, fmt.Sprint("bad", i, "-", j), fmt.Sprint("bad", i), true)
		}
	}
	for i := range 240 {
		prompt := i
		if f.day.soundPrompts > 0 {
			prompt = i % f.day.soundPrompts
		}
		var parts []string
		if f.day.soundParts > 0 {
			parts = []string{fmt.Sprint("part", i%f.day.soundParts)}
		}
		add(time.Duration(i)*200*time.Millisecond, fmt.Sprint("sound", i), fmt.Sprint("sound", prompt), false, parts...)
	}
}

// claim has the runner claim and run items.
func (f *itemFleet) claim(ctx context.Context, number int) {
	for ctx.Err() == nil {
		f.mu.Lock()
		pause := claimInterval/2 + time.Duration(f.random.Int64N(int64(claimInterval)))
		f.mu.Unlock()
		time.Sleep(pause)
		f.fleet.mu.Lock()
		registry := f.fleet.processes[number].registry
		f.fleet.mu.Unlock()
		if registry == nil {
			continue
		}
		if item := f.choose(registry, number); item != nil {
			f.loops.Go(func() { f.run(registry, number, item) })
		}
	}
}

// choose claims the oldest item that may run.
func (f *itemFleet) choose(registry *Registry, number int) *modelItem {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if engine := f.engines[number]; engine == nil || engine.running >= itemSlots {
		return nil
	}
	i := slices.IndexFunc(f.items, func(item *modelItem) bool {
		return !item.done && !item.free.IsZero() && !now.Before(item.free) && now.Before(item.accepted.Add(itemRetention)) && registry.Withheld(item.traits) == nil
	})
	if i < 0 {
		return nil
	}
	f.items[i].free = time.Time{}
	return f.items[i]
}

// run sends the item to the runner's engine, if it is admitted.
func (f *itemFleet) run(registry *Registry, number int, item *modelItem) {
	free := func(after time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		item.free = time.Now().Add(after)
	}
	suspected := registry.Suspected(item.traits)
	f.mu.Lock()
	engine := f.engines[number]
	if engine == nil || suspected && engine.suspected {
		f.mu.Unlock()
		free(claimInterval)
		return
	}
	engine.running++
	engine.suspected = engine.suspected || suspected
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		engine.running--
		engine.suspected = engine.suspected && !suspected
	}()
	permit, err := registry.Admit(context.Background(), item.traits)
	if err != nil {
		free(time.Second)
		return
	}
	sentAt := time.Now()
	answered := func() {
		if registry.Answered(item.traits, sentAt) {
			permit = nil
		}
	}
	if f.send(number, engine, item, answered) {
		registry.Whole(item.traits)
		return
	}
	registry.Lost(context.Background(), Loss{Traits: item.traits, Upstream: bhcrash.Source{Host: engine.upstream}, SentAt: sentAt, Permit: permit})
	free(itemHandover)
}

// send reports whether the item was done before the engine ended. It calls answered for an event.
func (f *itemFleet) send(number int, engine *modelEngine, item *modelItem, answered func()) bool {
	f.mu.Lock()
	began, runTime := time.Now(), itemRunTime-item.progress
	if item.crashes {
		runTime = max(crashTime, f.day.crashAfter-item.progress)
		if ends := f.ended[item.prompt]; len(ends) >= allowedRetries && began.After(ends[2].Add(window)) {
			f.late[item.prompt]++
			f.figures.late = max(f.figures.late, f.late[item.prompt])
		}
	}
	f.mu.Unlock()
	ended := false
	for finished, event := time.After(runTime), time.After(itemEventAt); finished != nil && !ended; {
		select {
		case <-engine.ended:
			ended = true
		case <-event:
			answered()
		case <-finished:
			finished = nil
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !ended && !item.crashes {
		item.done = true
		f.figures.slowest = max(f.figures.slowest, now.Sub(item.accepted))
		return true
	}
	item.failedAt = now
	if item.crashes && f.engines[number] == engine {
		f.ended[item.prompt] = append(f.ended[item.prompt], now)
		f.end(number, engine)
	}
	item.progress += now.Sub(began)
	return false
}

// end ends the engine and starts it again later. The caller holds f.mu.
func (f *itemFleet) end(number int, engine *modelEngine) {
	f.figures.ends++
	close(engine.ended)
	f.engines[number] = nil
	upstream := fmt.Sprint("i-", len(f.engines)+f.figures.ends)
	time.AfterFunc(engineAway, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.engines[number] = &modelEngine{ended: make(chan struct{}), upstream: upstream}
	})
}

// burst ends one engine in three.
func (f *itemFleet) burst() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for number, engine := range f.engines {
		if engine != nil && f.random.IntN(3) == 0 {
			f.end(number, engine)
		}
	}
}

// storm ends engines until the storm is over.
func (f *itemFleet) storm() {
	const step = 100 * time.Millisecond
	for time.Since(f.began) < f.day.storm {
		time.Sleep(step)
		f.mu.Lock()
		for number, engine := range f.engines {
			if engine != nil && f.random.Float64() < step.Seconds()/f.day.engineLife.Seconds() {
				f.end(number, engine)
			}
		}
		f.mu.Unlock()
	}
}

// countSoundLying counts the sound items that are open though nothing works on them. Those that
// may run again soon have failed lately.
func (f *itemFleet) countSoundLying() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, item := range f.items {
		if !item.crashes && !item.done && !item.free.IsZero() && now.After(item.accepted.Add(tryWithin)) && now.Sub(item.failedAt) > tryWithin {
			f.figures.soundLying++
		}
	}
}

// look adds up for how long crashing items have been left lying.
func (f *itemFleet) look() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, item := range f.items {
		open := item.crashes && now.After(item.accepted) && now.Before(item.accepted.Add(itemRetention))
		if open && now.Sub(item.accepted) > tryWithin && now.Sub(item.failedAt) > tryWithin {
			f.figures.lying += time.Second
		}
	}
	for _, item := range f.items {
		if !item.crashes && !item.done {
			f.figures.slowest = max(f.figures.slowest, now.Sub(item.accepted))
		}
	}
}

// TestBothErrorsForItems plays days with items that crash engines, sound ones beside them, and
// runners that restart. A crashing prompt is sent three times at most later than the window
// after its third crash; where three trials suffice for that, no crashing item is left lying for
// more than 20 s until it may be given up; each sound item is done within its target.
//
//	BAOBAB_MEASURE=1 go test -v -run BothErrorsForItems ./bhevidence   beside trials like those of requests
func TestBothErrorsForItems(t *testing.T) { measureItems(t, itemDays) }

// TestBothErrorsForItemsInBursts is TestBothErrorsForItems for bursts.
func TestBothErrorsForItemsInBursts(t *testing.T) { measureItems(t, burstItemDays) }

func measureItems(t *testing.T, days []itemDay) {
	ways := []bool{true}
	if os.Getenv("BAOBAB_MEASURE") != "" {
		ways = []bool{false, true}
	}
	const seeds = 2
	for _, day := range days {
		for _, spread := range ways {
			var sum itemFigures
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					figures := playItems(t, day, spread, seed)
					sum.late = max(sum.late, figures.late)
					sum.ends += figures.ends
					sum.lying += figures.lying
					sum.slowest = max(sum.slowest, figures.slowest)
				})
			}
			t.Logf("%-36s spread %-5v late %d, engines ended %d, left lying %s, slowest sound item %s", day.name, spread, sum.late, sum.ends/seeds, sum.lying/seeds, sum.slowest)
			if !spread {
				continue
			}
			assert.LessOrEqual(t, sum.late, allowedRetries, day.name)
			assert.LessOrEqual(t, sum.slowest, itemTarget, day.name)
			if day.canRest {
				assert.Zero(t, sum.lying, day.name)
			}
		}
	}
}

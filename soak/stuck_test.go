package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// finishTime is how long after the traffic all that was accepted is done, unless engines work
	// on it: one had an item of the job in the last idleTime, they were half full, an item of any job
	// was finished in the last doneTime, or this one failed in the last failTime.
	finishTime = 18 * time.Second
	idleTime   = 5 * time.Second
	doneTime   = 3 * time.Second
	failTime   = 20 * time.Second
	// jobFloods is the number of bursts of jobs by one tenant, floodJobs of itemsPerJob items each.
	jobFloods    = 2
	floodJobs    = 10
	itemsPerJob  = 10
	floodTenant  = "hoard"
	judgePause   = time.Second
	maxItemFault = 5
)

// acceptedJob is a job that a gateway has accepted. Its items are those that an engine can run.
type acceptedJob struct {
	tenant string
	items  []string
}

// work is what engines did for the items of jobs.
type work struct {
	mu sync.Mutex
	// jobs holds the accepted jobs by ID.
	jobs map[string]acceptedJob
	// running counts the requests for an item at engines, and hadAt is when the last one ended there.
	running map[string]int
	hadAt   map[string]time.Time
	// failedAt is when an item failed last. doneAt is when any item was finished, and busyAt when
	// half of the engines' slots were taken.
	failedAt       map[string]time.Time
	doneAt, busyAt time.Time
}

func newWork() *work {
	return &work{jobs: make(map[string]acceptedJob), running: make(map[string]int), hadAt: make(map[string]time.Time), failedAt: make(map[string]time.Time)}
}

// accept notes that the job was accepted.
func (k *work) accept(job, tenant string, items []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.jobs[job] = acceptedJob{tenant: tenant, items: items}
}

// begin notes that a request for the item reached an engine, and returns what notes its end.
func (k *work) begin(item string) func() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running[item]++
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.running[item]--
		k.hadAt[item] = time.Now()
	}
}

func (k *work) fail(item string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failedAt[item] = time.Now()
}

func (k *work) finish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doneAt = time.Now()
}

func (k *work) busy() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busyAt = time.Now()
}

// stuck returns the items of the job that aren't listed though nothing works on them.
func (k *work) stuck(job acceptedJob, listed map[string]bool, now time.Time) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.doneAt) < doneTime || now.Sub(k.busyAt) < idleTime {
		return nil
	}
	var stuck []string
	for _, item := range job.items {
		switch {
		case listed[item]:
		case k.running[item] > 0, now.Sub(k.hadAt[item]) < idleTime:
			return nil
		case now.Sub(k.failedAt[item]) >= failTime:
			stuck = append(stuck, item)
		}
	}
	return stuck
}

// floodJobs has one tenant submit bursts of jobs until ctx is done.
func (w *world) floodJobs(ctx context.Context, random *rand.Rand) {
	for flood := range jobFloods {
		pause(ctx, time.Duration(random.IntN(int(troubleTime/jobFloods))))
		var submissions sync.WaitGroup
		for number := range floodJobs {
			c := newClient(w, fmt.Sprintf("flood%d-%d", flood, number), random.Uint64())
			submissions.Go(func() { c.submitFlood(ctx) })
		}
		submissions.Wait()
	}
}

// submitFlood submits one job of a flood.
func (c *client) submitFlood(ctx context.Context) {
	var items []map[string]any
	var names []string
	for i := range itemsPerJob {
		id := fmt.Sprintf("%s.%d", c.name, i)
		c.world.record.expect(id, &attempt{sent: time.Now(), tenant: floodTenant, path: "/jobs/" + id, body: "item " + id})
		items = append(items, map[string]any{"id": id, "path": "/jobs/" + id, "headers": map[string]string{}, "body": []byte("item " + id), "tokens": 10})
		names = append(names, id)
	}
	body, err := json.Marshal(map[string]any{"items": items})
	if err == nil && c.submit(ctx, c.name, floodTenant, string(body)) {
		c.world.record.work.accept(c.name, floodTenant, names)
	}
}

// expect notes a request that isn't counted among those of live clients.
func (r *recorder) expect(id string, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id] = a
}

// watchEngines notes when half of the engines' slots are taken, until ctx is done.
func (w *world) watchEngines(ctx context.Context) {
	for ctx.Err() == nil {
		running, slots := 0, 0
		for _, e := range w.engines {
			e.set(func(e *engine) {
				if !e.lost && !e.down {
					running, slots = running+e.running, slots+engineSlots
				}
			})
		}
		if 2*running >= slots {
			w.record.work.busy()
		}
		pause(ctx, judgePause/5)
	}
}

// judgeStuck checks from finishTime after the faults on that each accepted item of an open job is
// listed once, or engines work on it.
func (w *world) judgeStuck(ctx context.Context) {
	go w.watchEngines(ctx)
	pause(ctx, finishTime)
	c := newClient(w, "judge", 1)
	w.record.work.mu.Lock()
	open := make(map[string]acceptedJob, len(w.record.work.jobs))
	for id, job := range w.record.work.jobs {
		open[id] = job
	}
	w.record.work.mu.Unlock()
	for ctx.Err() == nil && len(open) > 0 {
		for id, job := range open {
			listed, ended := c.listed(ctx, id, job.tenant)
			stuck := w.record.work.stuck(job, listed, time.Now())
			switch {
			case ended, !slices.ContainsFunc(job.items, func(item string) bool { return !listed[item] }):
				delete(open, id)
			case len(stuck) > 0:
				w.record.broken("job %s of tenant %s: %d items are neither listed nor worked on: %s", id, job.tenant, len(stuck), stuck[:min(len(stuck), maxItemFault)])
				delete(open, id)
			}
		}
		pause(ctx, judgePause)
	}
	for id, job := range open {
		w.record.broken("job %s of tenant %s is still open at the end", id, job.tenant)
	}
}

// listed returns the items of the job that are listed, and whether its client has ended it.
func (c *client) listed(ctx context.Context, id, tenant string) (listed map[string]bool, ended bool) {
	c.world.record.mu.Lock()
	_, ended = c.world.record.ended[id]
	c.world.record.mu.Unlock()
	listed = make(map[string]bool)
	for after := 0; ctx.Err() == nil && !ended; {
		status, _, answer, whole := c.do(http.MethodGet, c.world.gateway(c.random), fmt.Sprintf("/lots/%s?after=%d", id, after), id, c.world.key(tenant), "")
		var reply struct {
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}
		switch {
		case status == http.StatusNotFound:
			c.world.record.broken("accepted job %s is not found", id)
			return listed, false
		case status != http.StatusOK || !whole || json.Unmarshal([]byte(answer), &reply) != nil:
			pause(ctx, pollPause)
			continue
		case len(reply.Results) == 0:
			return listed, false
		}
		for _, got := range reply.Results {
			if listed[got.ID] {
				c.world.record.broken("job %s lists item %s twice", id, got.ID)
			}
			listed[got.ID] = true
			if got.State == "completed" && !wholeText(got.ID, got.Text, itemEvents) {
				c.world.record.broken("item %s has the text %q", got.ID, got.Text)
			}
		}
		after = reply.Next
	}
	return listed, ended
}

// itemsThatRun returns the items that engines can run, of those with the bodies.
func itemsThatRun(job string, bodies []string) []string {
	var items []string
	for i, body := range bodies {
		if strings.HasPrefix(body, "item ") {
			items = append(items, fmt.Sprintf("%s.%d", job, i))
		}
	}
	return items
}

// TestStuckItemsAreSeen checks that the soak would see an item on which nothing works, and excuses
// those of the rule.
func TestStuckItemsAreSeen(t *testing.T) {
	now := time.Now()
	job := acceptedJob{items: []string{"j.0", "j.1"}}
	for name, c := range map[string]struct {
		change func(k *work)
		listed []string
		want   int
	}{
		"nothing works on them": {func(*work) {}, nil, 2},
		"one is listed":         {func(*work) {}, []string{"j.0"}, 1},
		"both are":              {func(*work) {}, []string{"j.0", "j.1"}, 0},
		"one runs":              {func(k *work) { k.begin("j.1") }, nil, 0},
		"one ran lately":        {func(k *work) { k.begin("j.1")() }, nil, 0},
		"a listed one ran":      {func(k *work) { k.begin("j.1")() }, []string{"j.1"}, 1},
		"one failed lately":     {func(k *work) { k.fail("j.1") }, nil, 1},
		"another was finished":  {func(k *work) { k.finish() }, nil, 0},
		"engines are busy":      {func(k *work) { k.busy() }, nil, 0},
	} {
		k := newWork()
		c.change(k)
		listed := make(map[string]bool)
		for _, item := range c.listed {
			listed[item] = true
		}
		assert.Len(t, k.stuck(job, listed, now), c.want, name)
	}
	assert.Equal(t, []string{"j.0", "j.2"}, itemsThatRun("j", []string{"item a", "lethal", "item b"}))
}

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// lethalBody begins the bodies that end each engine that runs them.
	lethalBody = "kill"
	// crashTime is how long an engine is away after it has crashed.
	crashTime = time.Second
	// knowWindow is the time within which all processes must know that engines ended
	// under a body, and lethalRetries how often it may reach engines later than that
	// after the third one has.
	knowWindow    = 3 * time.Second
	lethalRetries = 3
	lethalPause   = 120 * time.Millisecond
)

// span is a stretch of time; its end is zero while it lasts.
type span struct{ from, to time.Time }

// lethalRecord is what happened under one lethal body, or the lethal part.
type lethalRecord struct {
	// ends are the times at which engines ended.
	ends []time.Time
	runs []lethalRun
}

// lethalRun is a run of a lethal body that the process sent.
type lethalRun struct {
	at     time.Time
	sender string
}

// crash ends the engine under the body, and starts it again later under the id that it
// had.
func (e *engine) crash(body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.lost {
		return
	}
	e.down = true
	e.record.crashed(body)
	e.proxy.down()
	time.AfterFunc(crashTime, e.restartAfterCrash)
}

func (e *engine) restartAfterCrash() {
	e.mu.Lock()
	lost := e.lost
	e.mu.Unlock()
	if lost {
		return
	}
	if !e.proxy.up() {
		time.AfterFunc(crashTime/10, e.restartAfterCrash)
		return
	}
	e.mu.Lock()
	e.begin()
	e.down, e.leaving = false, false
	e.mu.Unlock()
	e.relist()
}

func (r *recorder) crashed(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes[body].ends = append(r.crashes[body].ends, time.Now())
}

// lethalRun notes a run of something lethal. The caller holds r.mu.
func (r *recorder) lethalRun(body, gateway, engine string, now time.Time) {
	record := r.crashes[body]
	if record == nil {
		record = &lethalRecord{}
		r.crashes[body] = record
	}
	sender := gateway
	if sender == "" {
		sender = strings.Replace(engine, "i-", "runner-", 1)
	}
	record.runs = append(record.runs, lethalRun{at: now, sender: sender})
}

// disturb notes that the processes aren't in touch until the returned function is
// called. A gateway is named by its address.
func (w *world) disturb(processes ...*process) func() {
	r := w.record
	from := time.Now()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range processes {
			name := p.name
			if p.role == "gateway" {
				name = p.front
			}
			r.disturbed[name] = append(r.disturbed[name], span{from: from, to: time.Now()})
		}
	}
}

// inTouch reports whether no fault struck a process in the window before the
// time. The caller holds r.mu.
func (r *recorder) inTouch(process string, at time.Time) bool {
	for _, disturbed := range r.disturbed[process] {
		if disturbed.from.Before(at) && disturbed.to.After(at.Add(-knowWindow)) {
			return false
		}
	}
	return true
}

// checkCrashes checks how often lethal bodies were sent on. The caller holds r.mu.
func (r *recorder) checkCrashes() []string {
	var faults []string
	for body, record := range r.crashes {
		allowed := 3
		if body == lethalPart {
			allowed = partEnds
		}
		if len(record.ends) < allowed {
			continue
		}
		var late []lethalRun
		for _, run := range record.runs {
			if run.at.After(record.ends[allowed-1].Add(knowWindow)) && r.inTouch(run.sender, run.at) {
				late = append(late, run)
			}
		}
		if len(late) > lethalRetries {
			faults = append(faults, fmt.Sprintf("lethal %q, under which %d engines had ended at %s, was sent %d times more: %v", body, allowed, record.ends[allowed-1], len(late), late))
		}
	}
	return faults
}

// lethalPart is a part of prompts that ends each engine that answers one with it.
// partEnds is the number of engines that may end under it before that must be known.
const (
	lethalPart = "0bad"
	partEnds   = 5
)

// lethalPrompt ends a whole prompt that ends each engine that runs it, in items of several
// accounts, no two of the same body.
const lethalPrompt = "0dead"

// prompt returns the value of the header with the parts of a prompt.
func prompt(parts ...string) string { return strings.Join(parts, ":100,") + ":100" }

// isLethal reports whether the request ends the engine that runs it, and under which name
// it is counted.
func isLethal(r *http.Request, body string) (string, bool) {
	if strings.HasPrefix(body, lethalBody) {
		return body, true
	}
	parts := r.Header.Get("X-Prompt-Prefix")
	if strings.Contains(parts, lethalPrompt+":") {
		return lethalPrompt, true
	}
	return lethalPart, strings.Contains(parts, lethalPart+":")
}

// sendLethalPrompts sends requests with the lethal part, no two of them alike, until ctx
// is done, and beside them as many sound ones with the same account and other part.
func (c *client) sendLethalPrompts(ctx context.Context, tenant string) {
	for ctx.Err() == nil {
		c.number++
		id := fmt.Sprintf("%s-%d", c.name, c.number)
		c.sendPrompt(id, tenant, prompt("0a", lethalPart, id), true)
		c.sendPrompt(id+"-sound", tenant, prompt("0a", "0c", id), false)
		pause(ctx, lethalPause)
	}
}

func (c *client) sendPrompt(id, tenant, parts string, lethal bool) {
	path := []string{"/stream/prompt", "/resume/prompt"}[c.random.IntN(2)]
	gateway, key, body := c.world.gateway(c.random), c.world.key(tenant), "prompt "+id
	c.world.record.sent(id, &attempt{sent: time.Now(), gateway: gateway, tenant: tenant, key: key, path: path, body: body,
		once: strings.HasPrefix(path, "/stream/")})
	status, header, answer, whole := c.do(http.MethodPost, gateway, path, id, key, body, "X-Prompt-Prefix", parts)
	switch {
	case promised(status):
		c.world.record.promise(id)
	case status == http.StatusOK && lethal:
		if whole {
			c.world.record.broken("request %s with the lethal part was answered: %s", id, answer)
		}
	case status == http.StatusOK:
		c.checkSuccess(id, path, header, answer, whole)
	case status != 0:
		c.checkFailure(id, key, status, header, answer)
	}
	if !lethal {
		c.world.record.soundPrompt(status == http.StatusOK && whole)
	}
}

// soundPrompt counts a sound request that shares its account and a part with lethal ones.
func (r *recorder) soundPrompt(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prompts.sent++
	if served {
		r.prompts.served++
	}
}

// checkPrompts checks that sound requests are served which share their account and a part
// with lethal ones that still come, in a quiet time after the faults.
func (w *world) checkPrompts(ctx context.Context) {
	w.record.mu.Lock()
	before := w.record.prompts
	w.record.mu.Unlock()
	pause(ctx, 2*knowWindow)
	w.record.mu.Lock()
	sent, served := w.record.prompts.sent-before.sent, w.record.prompts.served-before.served
	w.record.mu.Unlock()
	if served < sent/2 {
		w.record.broken("%d of %d sound requests with the account and a part of lethal ones are served after the faults", served, sent)
	}
}

// sendLethal sends one lethal body again and again until ctx is done.
func (c *client) sendLethal(ctx context.Context, tenant string) {
	body := lethalBody + " " + c.name
	for ctx.Err() == nil {
		c.number++
		id, gateway, key := fmt.Sprintf("%s-%d", c.name, c.number), c.world.gateway(c.random), c.world.key(tenant)
		c.world.record.sent(id, &attempt{sent: time.Now(), gateway: gateway, tenant: tenant, key: key, path: "/safe/kill", body: body})
		status, header, answer, _ := c.do(http.MethodPost, gateway, "/safe/kill", id, key, body)
		switch {
		case promised(status):
			c.world.record.promise(id)
		case status == http.StatusOK:
			c.world.record.broken("lethal request %s was answered: %s", id, answer)
		case status != 0:
			c.checkFailure(id, key, status, header, answer)
		}
		pause(ctx, lethalPause)
	}
}

// lethalJob submits a job of which one item ends each engine, by its body or by its parts,
// and checks that the other items complete and that this one isn't given up.
func (c *client) lethalJob(ctx context.Context, tenant, lethal string, parts ...string) {
	id := c.name
	bodies := []string{"item a", lethal + " item " + id, "item b"}
	var items []map[string]any
	for i, body := range bodies {
		item := fmt.Sprintf("%s.%d", id, i)
		c.world.record.sent(item, &attempt{sent: time.Now(), tenant: tenant, path: "/jobs/" + item, body: body})
		header := map[string]string{}
		if i == 1 && len(parts) > 0 {
			header["X-Prompt-Prefix"] = prompt(parts...)
		}
		items = append(items, map[string]any{"id": item, "path": "/jobs/" + item, "headers": header, "body": []byte(body), "tokens": 10})
	}
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil || !c.submit(ctx, id, tenant, string(body)) {
		return
	}
	c.world.record.work.accept(id, tenant, itemsThatRun(id, bodies))
	var known []result
	for ctx.Err() == nil && len(known) < len(bodies)-1 {
		status, _, answer, whole := c.do(http.MethodGet, c.world.gateway(c.random), "/lots/"+id+"?after=0", id, c.world.key(tenant), "")
		if status == http.StatusOK && whole {
			known = c.merge(id, known, 0, answer, len(bodies))
		}
		time.Sleep(pollPause)
	}
	if len(known) < len(bodies)-1 {
		c.world.record.broken("job %s with a lethal item has %d of %d other results at the end", id, len(known), len(bodies)-1)
	}
	for _, got := range known {
		if got.ID == id+".1" {
			c.world.record.broken("the lethal item %s is %s", got.ID, got.State)
		}
	}
}

// TestCrashesAreSeen checks that the soak would see a lethal body that goes on reaching
// engines.
func TestCrashesAreSeen(t *testing.T) {
	r := newRecorder()
	began := time.Now()
	record := &lethalRecord{ends: []time.Time{began, began, began}}
	for i := range lethalRetries + 1 {
		record.runs = append(record.runs, lethalRun{at: began.Add(knowWindow + time.Duration(i+1)*time.Second), sender: "g"})
	}
	r.crashes["kill"] = record
	if len(r.checkCrashes()) != 1 {
		t.Error("four late runs aren't seen")
	}
	r.disturbed["g"] = []span{{from: began, to: began.Add(knowWindow)}}
	if len(r.checkCrashes()) != 0 {
		t.Error("runs of a disturbed process are counted")
	}
}

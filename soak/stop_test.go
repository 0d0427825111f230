package soak

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// waitHeader and gapHeader name how long an engine waits before its answer, and between
	// events, in milliseconds.
	waitHeader = "Soak-Wait"
	gapHeader  = "Soak-Gap"
	// stopClients send requests to the gateway that stops, from lateLead before until it has
	// ended, and stopPause after the last fault. Each one begins with openConnections.
	stopClients     = 3
	stopPause       = time.Second
	submissionEvery = 10
	openConnections = 24
	lateLead        = 500 * time.Millisecond
	latePause       = 120 * time.Millisecond
	// lateTimeout is more than any request takes that a gateway sees through.
	lateTimeout = 2 * stopLimit
	// lossSlack is how long a gateway may take to close a connection on which it hasn't read
	// the request that was sent there.
	lossSlack = 500 * time.Millisecond
)

// headerTime returns the time in milliseconds that the request's field names, or zero.
func headerTime(r *http.Request, name string) time.Duration {
	milliseconds, _ := strconv.Atoi(r.Header.Get(name))
	return time.Duration(milliseconds) * time.Millisecond
}

// stopInCalm stops a gateway gracefully some time after the last fault, while clients send it
// requests that take longer than what is left until it ends. The jobs that the gateway accepts
// are ended, which finds them.
func (w *world) stopInCalm(ctx context.Context, random *rand.Rand) {
	time.Sleep(stopPause)
	var jobs, clients sync.WaitGroup
	defer jobs.Wait()
	p := w.processes[random.IntN(len(w.fronts))]
	defer w.record.excuse(p.front)
	defer w.disturb(p)()
	defer w.record.interrupt(p.sender())()
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	accepted := func(l *lateRequest) {
		jobs.Go(func() { newClient(w, l.id, 0).end(ctx, l.id, l.tenant) })
	}
	for i := range stopClients {
		c := newClient(w, fmt.Sprint("late", i), random.Uint64())
		c.http.Transport = &http.Transport{MaxIdleConnsPerHost: openConnections, DisableCompression: true}
		clients.Go(func() { c.sendLate(sending, p.front, "zoo", accepted) })
	}
	time.Sleep(lateLead)
	if !p.stop() {
		w.record.broken("%s has not ended %s after SIGTERM in calm", p.name, stopLimit)
		p.kill()
	}
	cancel()
	clients.Wait()
	p.start(w.t)
}

// sendLate opens connections, and then sends requests of each kind until ctx is done. It calls
// accepted with submissions of jobs that are.
func (c *client) sendLate(ctx context.Context, gateway, tenant string, accepted func(l *lateRequest)) {
	var group sync.WaitGroup
	defer group.Wait()
	send := func(how slowness) {
		l := c.newLate(gateway, tenant, how)
		group.Go(func() {
			if c.late(l); l.status == http.StatusAccepted {
				accepted(l)
			}
		})
	}
	for range openConnections {
		send(quick)
	}
	for ctx.Err() == nil {
		pause(ctx, latePause)
		send(slowness(c.random.IntN(int(slownesses))))
	}
}

// slowness is what takes its time in a late request.
type slowness int

const (
	slowHead slowness = iota
	slowEvents
	slowBody
	// quick is half of the slownesses.
	quick
	slownesses = 2 * quick
)

// lateRequest is a request to a gateway that stops, and what became of it.
type lateRequest struct {
	attempt
	id     string
	header []string
	// bodyTime is how long the client takes to send the end of the body.
	bodyTime time.Duration
	// wrote is when the whole request was written, ended when the answer or the connection
	// did. wrote is zero if the connection ended before.
	wrote, ended time.Time
	status       int
	whole        bool
}

// newLate returns a request of any kind, in one of submissionEvery the submission of a job.
func (c *client) newLate(gateway, tenant string, how slowness) *lateRequest {
	c.number++
	id, path := fmt.Sprintf("%s-%d", c.name, c.number), livePaths[c.random.IntN(len(livePaths))]
	l := &lateRequest{id: id, attempt: attempt{
		gateway: gateway, tenant: tenant, key: c.world.key(tenant), path: path, body: "body of " + id, once: path == "/unsafe/x" || path == "/stream/x",
	}}
	slow := time.Duration(500+c.random.IntN(2500)) * time.Millisecond
	switch how {
	case slowHead:
		l.header = []string{waitHeader, fmt.Sprint(slow.Milliseconds())}
	case slowEvents:
		l.header = []string{gapHeader, fmt.Sprint(slow.Milliseconds() / liveEvents)}
	case slowBody:
		l.bodyTime = slow
	}
	if c.random.IntN(submissionEvery) == 0 {
		item := attempt{sent: time.Now(), tenant: tenant, path: "/jobs/" + id + ".0", body: "item " + id}
		c.world.record.sent(id+".0", &item)
		l.path, l.once = "/jobs/submit", false
		l.body = fmt.Sprintf(`{"items":[{"id":%q,"path":%q,"body":%q,"tokens":10}]}`, id+".0", item.path, base64.StdEncoding.EncodeToString([]byte(item.body)))
	}
	return l
}

// late sends the request and checks its answer.
func (c *client) late(l *lateRequest) {
	record := c.world.record
	ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
	defer cancel()
	l.sent = time.Now()
	record.sent(l.id, &l.attempt)
	var wrote atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			wrote.Store(&now)
		}
	}}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), http.MethodPost, l.gateway, l.path, l.id, l.key, l.body, l.header...)
	if err != nil {
		record.broken("late request %s: %v", l.id, err)
		return
	}
	last := len(l.body) - 1
	request.Body = io.NopCloser(io.MultiReader(strings.NewReader(l.body[:last]), &lateReader{pause: l.bodyTime, rest: strings.NewReader(l.body[last:])}))
	var header http.Header
	var answer []byte
	if response, err := c.http.Do(request); err == nil {
		answer, err = io.ReadAll(response.Body)
		response.Body.Close()
		l.status, header, l.whole = response.StatusCode, response.Header, err == nil
	}
	l.ended = time.Now()
	if at := wrote.Load(); at != nil {
		l.wrote = *at
	}
	record.answered(l)
	c.checkHead(l.id, header)
	switch {
	case l.status == 0, l.status == http.StatusAccepted:
	case promised(l.status):
		record.promise(l.id)
	case l.status == http.StatusOK:
		c.checkSuccess(l.id, l.path, header, string(answer), l.whole)
	default:
		c.checkFailure(l.id, l.key, l.status, header, string(answer))
	}
}

// lateReader pauses before it reads the rest.
type lateReader struct {
	pause time.Duration
	rest  io.Reader
}

// Read implements io.Reader.
func (l *lateReader) Read(buffer []byte) (int, error) {
	time.Sleep(l.pause)
	l.pause = 0
	return l.rest.Read(buffer)
}

// answered notes what became of a late request.
func (r *recorder) answered(l *lateRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = append(r.late, l)
}

// checkLate checks that each late request that was read whole got a complete answer, but for
// streams that had begun. The caller holds r.mu.
func (r *recorder) checkLate() []string {
	var faults []string
	for _, l := range r.late {
		if loss := l.loss(len(r.runs[l.id])); loss != "" {
			faults = append(faults, fmt.Sprintf("request %s for %s to a gateway that stops in calm, written at %s, %s later: %s", l.id, l.path, l.wrote, l.ended.Sub(l.wrote), loss))
		}
	}
	return faults
}

// loss tells how the gateway lost the request, which ran so often, or is empty.
func (l *lateRequest) loss(runs int) string {
	switch {
	case l.status != 0 && !l.whole && (l.status != http.StatusOK || !isStream(l.path)):
		return fmt.Sprintf("its answer with status %d was cut", l.status)
	case l.status != 0 || l.wrote.IsZero():
		return ""
	case runs > 0:
		return fmt.Sprintf("the connection ended without an answer, after %d runs", runs)
	case l.ended.Sub(l.wrote) > lossSlack:
		return "the connection ended without an answer"
	}
	return ""
}

// countLate tells how many late requests came to which status; 0 means no answer.
func (r *recorder) countLate() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make(map[int]int)
	for _, l := range r.late {
		statuses[l.status]++
	}
	return fmt.Sprintf("late requests by status %v", statuses)
}

// TestLostRequestsAreSeen checks that the soak would see a request that a stopping gateway lost.
func TestLostRequestsAreSeen(t *testing.T) {
	wrote := time.Now()
	for _, c := range []struct {
		path   string
		status int
		whole  bool
		runs   int
		took   time.Duration
		lost   bool
	}{
		{path: "/unsafe/x", runs: 1, lost: true},
		{path: "/stream/x", runs: 1, lost: true},
		{path: "/unsafe/x", took: 2 * lossSlack, lost: true},
		{path: "/unsafe/x"},
		{path: "/unsafe/x", status: http.StatusOK, runs: 1, lost: true},
		{path: "/stream/x", status: http.StatusOK, runs: 1},
		{path: "/stream/x", status: http.StatusBadGateway, runs: 1, lost: true},
		{path: "/unsafe/x", status: http.StatusGatewayTimeout, whole: true, runs: 1},
	} {
		r := newRecorder()
		r.runs["r"] = make([]run, c.runs)
		r.answered(&lateRequest{id: "r", attempt: attempt{path: c.path}, wrote: wrote, ended: wrote.Add(c.took), status: c.status, whole: c.whole})
		assert.Equal(t, c.lost, len(r.checkLate()) == 1, "%+v", c)
	}
}

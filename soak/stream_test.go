package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// sabotage is how an engine breaks off a stream.
type sabotage int

const (
	none sabotage = iota
	// resets cuts an event and resets the connection.
	resets
	// closes cuts an event of an answer with neither length nor chunks, and ends the
	// connection in an orderly way.
	closes
	// finishes cuts an event and ends the answer with its last chunk.
	finishes
	// babbles sends bytes that never become an event, until the caller closes.
	babbles
	// garbles puts a byte that isn't UTF-8 into the data of an event, and ends the answer with its last
	// chunk. Only items are garbled: live streams are passed on as they come.
	garbles
)

const (
	// maxBabble is far more than anyone may read of bytes that are no answer.
	maxBabble = 64 << 20
	// takeUps is how often a client comes back for a stream.
	takeUps = 2
)

// drawSabotage returns what the engine does to the next stream.
func (e *engine) drawSabotage(r *http.Request) sabotage {
	breaks := e.breaksResumable(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !breaks && rand.Float64() >= e.sabotaged {
		return none
	}
	ways := []sabotage{resets, closes, finishes, babbles, garbles}
	if !strings.HasPrefix(r.URL.Path, "/jobs/") {
		ways = ways[:len(ways)-1]
	}
	return ways[rand.IntN(len(ways))]
}

func (e *engine) sabotage(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sabotaged = share
}

// stream sends the events after the caller's last one. If how isn't none, it breaks
// the stream off after some of them.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, events int, how sabotage) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	if e.unwillingTo(r) {
		e.refuseTakeUp(w, r)
		return
	}
	id := r.Header.Get("Resumes")
	if id == "" {
		id = r.Header.Get("X-Request-Id")
	}
	last := events
	if how != none && after < events {
		last = after + rand.IntN(events-after)
	}
	pause(r.Context(), headerTime(r, waitHeader))
	gap := max(eventGap, headerTime(r, gapHeader))
	w.Header().Set("Content-Type", "text/event-stream")
	write, closeOutput := flushed(w), func() {}
	if how == closes {
		write, closeOutput = unframed(w)
	}
	defer closeOutput()
	var body strings.Builder
	for i := after + 1; i <= last; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
		body.WriteString(event(id, i, e.version))
		if write(event(id, i, e.version)) != nil {
			return
		}
	}
	if how == none {
		if strings.HasPrefix(r.URL.Path, "/jobs/") {
			e.record.work.finish()
		}
		e.stutter(w, r, http.StatusOK, body.String())
	}
	if how != none {
		part := event(id, last+1, e.version)
		if how == garbles {
			_ = write(strings.TrimSuffix(part, "\n\n") + "\xff\n\n")
			return
		}
		breakOff(part[:1+rand.IntN(len(part)-1)], how, write)
	}
}

// breakOff ends a stream with a part of an event.
func breakOff(part string, how sabotage, write func(string) error) {
	err := write(part)
	switch how {
	case resets:
		panic(http.ErrAbortHandler)
	case babbles:
		block, bytes := strings.Repeat("babble ", 1000), 0
		// A proxy that fell silent reads without end, so it counts what it passes on.
		for ; err == nil && bytes < 2*maxBabble; err = write(block) {
			bytes += len(block)
		}
	}
}

// flushed returns a function that writes and flushes text in chunks.
func flushed(w http.ResponseWriter) func(string) error {
	return func(text string) error {
		_, err := io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		return err
	}
}

// unframed begins an answer with neither length nor chunks. It returns functions that
// write text of the body, and that end the connection in an orderly way.
func unframed(w http.ResponseWriter) (write func(string) error, end func()) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	write = func(text string) error {
		_, err := io.WriteString(conn, text)
		return err
	}
	var head strings.Builder
	_ = w.Header().Write(&head)
	_ = write("HTTP/1.1 200 OK\r\n" + head.String() + "\r\n")
	return write, func() { _ = conn.Close() }
}

func event(stream string, number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s:%d:%s\n\n", number, stream, number, version)
}

// checkEvents returns what is wrong with the events of a stream from the first one
// on, or an empty string: one is missing or cut, or they are of several versions.
func checkEvents(stream, text string) string {
	events := strings.SplitAfter(text, "\n\n")
	if events[len(events)-1] != "" {
		return fmt.Sprintf("it ends inside an event: %q", events[len(events)-1])
	}
	events = events[:len(events)-1]
	version := ""
	for i, got := range events {
		if i == 0 {
			version = strings.TrimSuffix(got[strings.LastIndex(got, ":")+1:], "\n\n")
		}
		if want := event(stream, i+1, version); got != want {
			return fmt.Sprintf("event %q instead of %q", got, want)
		}
	}
	return ""
}

// wholeStream reports whether the text is the whole of a stream, of one version.
func wholeStream(stream, text string, events int) bool {
	return checkEvents(stream, text) == "" && strings.Count(text, "\n\n") == events
}

// wholeText reports whether the text is that of a completed item, of one version.
func wholeText(item, text string, events int) bool {
	var stream strings.Builder
	for i, line := range strings.Split(text, "\n") {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i+1, line)
	}
	return wholeStream(item, stream.String(), events)
}

// counts are those of streams that may be resumed.
type counts struct {
	begun, broken, takenUp, wentOn, refused int
	// These count the refusals to go on with a stream by whom they met.
	errorsToClients, errorsToGateways, errorsToRunners int
}

func (r *recorder) count(change func(c *counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.streams)
}

// takeUp comes back for a stream that broke off after the events that it got, at any
// gateway, and checks that what follows fits to them.
func (c *client) takeUp(id, tenant, path, got string) {
	record := c.world.record
	for try := range takeUps {
		got = got[:strings.LastIndex(got, "\n\n")+len("\n\n")]
		last := strings.Count(got, "\n\n")
		again := fmt.Sprintf("%s~%d", id, try)
		gateway, key := c.world.fronts[rand.IntN(len(c.world.fronts))], c.world.key(tenant)
		body := "body of " + id
		record.sent(again, &attempt{sent: time.Now(), gateway: gateway, tenant: tenant, key: key, path: path, body: body})
		record.count(func(c *counts) { c.takenUp++ })
		status, _, answer, whole := c.do(http.MethodPost, gateway, path, again, key, body, "Last-Event-Id", strconv.Itoa(last), "Resumes", id)
		if promised(status) {
			record.count(func(c *counts) { c.refused++ })
			record.promise(again)
		}
		if status != http.StatusOK {
			return
		}
		record.count(func(c *counts) { c.wentOn++ })
		got += answer
		if whole {
			if !wholeStream(id, got, liveEvents) {
				record.broken("stream %s taken up after %d events got another answer: %q %s", id, last, got, record.odditiesOf(again))
			}
			return
		}
		if fault := checkEvents(id, got); fault != "" {
			record.broken("stream %s taken up after %d events: %s %s", id, last, fault, record.odditiesOf(again))
			return
		}
	}
}

// TestStreamsAreTakenUpAtTheirVersion breaks off streams of two versions of engines
// all the time, while a gateway is killed and started again, and measures the share
// that goes on.
func TestStreamsAreTakenUpAtTheirVersion(t *testing.T) {
	const runTime = 8 * time.Second
	w := newWorld(t, 3, gateways, 4)
	time.Sleep(lead)
	for _, e := range w.engines {
		e.sabotage(0.8)
	}
	ctx, cancel := context.WithTimeout(t.Context(), runTime)
	defer cancel()
	var clients sync.WaitGroup
	for i := range 2 {
		c := newClient(w, fmt.Sprint("c", i), uint64(i))
		clients.Go(func() { c.live(ctx, "zoo", 50, livePaths...) })
	}
	for range 2 {
		pause(ctx, runTime/3)
		w.restart(w.processes[0], false)
	}
	clients.Wait()
	for _, fault := range w.record.finish(rates) {
		t.Error(fault)
	}
	streams := w.record.streams
	t.Logf("%+v", streams)
	assert.Greater(t, streams.takenUp, 12)
	// The users' bound: half of the share of new streams that begin.
	begin := float64(streams.begun) / float64(streams.begun+streams.broken)
	assert.GreaterOrEqual(t, float64(streams.wentOn)/float64(streams.takenUp), begin/2)
}

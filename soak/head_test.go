package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// cutShare is the share of the answers that a cutting engine ends inside their head.
	cutShare = 0.3
	// calmSpoilTime is how long engines spoil answers in one way while nothing else is wrong.
	calmSpoilTime = 1200 * time.Millisecond
)

// spoil has one engine write cut heads, or all of them break off streams and refuse to go on
// with them, by turns until ctx is done.
func (w *world) spoil(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		spoilers, spoil := w.engines, func(e *engine) { e.unwilling = unwillingShare }
		if random.IntN(2) == 0 {
			i := random.IntN(len(w.engines))
			spoilers, spoil = w.engines[i:i+1], func(e *engine) { e.cutting = cutShare }
		}
		setAll(spoilers, spoil)
		pause(ctx, time.Duration(300+random.IntN(1500))*time.Millisecond)
		setAll(spoilers, func(e *engine) { e.cutting, e.unwilling = 0, 0 })
	}
}

// spoilInCalm has all engines spoil their answers, and nothing else go wrong: connections rest
// and are reused, and gateways find an engine to go on with a stream.
func (w *world) spoilInCalm(ctx context.Context, seed uint64) {
	pause(ctx, crashTime)
	w.spoilAll(ctx, seed, func(e *engine) { e.cutting = cutShare }, livePaths...)
	w.spoilAll(ctx, seed+1, func(e *engine) { e.unwilling = unwillingShare }, "/resume/x")
}

// spoilAll has all engines spoil their answers while a client sends requests for the paths.
func (w *world) spoilAll(ctx context.Context, seed uint64, spoil func(e *engine), paths ...string) {
	ctx, cancel := context.WithTimeout(ctx, calmSpoilTime)
	defer cancel()
	setAll(w.engines, spoil)
	newClient(w, fmt.Sprint("spoiled", seed), seed).live(ctx, "zoo", 60, paths...)
	setAll(w.engines, func(e *engine) { e.cutting, e.unwilling = 0, 0 })
}

func setAll(engines []*engine, change func(e *engine)) {
	for _, e := range engines {
		e.set(change)
	}
}

// draws reports whether the engine spoils its answer, as it does with the share of them.
func (e *engine) draws(share func(e *engine) float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < share(e)
}

// cuts reports whether the answer to the request ends inside its head. Few requests come on
// reused connections, so more of their answers do.
func (e *engine) cuts(r *http.Request) bool {
	return e.draws(func(e *engine) float64 { return e.cutting * float64(min(2, connectionOf(r).requests.Load())) })
}

// cutHead writes a part of the head of an answer with status 200, or a whole one whose status is none,
// and closes or resets the connection.
func (e *engine) cutHead(w http.ResponseWriter, r *http.Request, id string) {
	var fields strings.Builder
	_ = w.Header().Write(&fields)
	lines := strings.SplitAfter(fields.String(), "\r\n")
	lines[len(lines)-1] = []string{"Content-Length: 120\r\n", "Transfer-Encoding: chunked\r\n", ""}[rand.IntN(3)]
	rand.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	head := "HTTP/1.1 200 OK\r\n" + strings.Join(lines, "") + "\r\n"
	last := len(head) - 1
	switch rand.IntN(5) {
	case 0, 1:
		last -= rand.IntN(4) // around the ends of the last two lines
	case 2, 3:
		last = 1 + rand.IntN(last)
	case 4: // a whole head whose status is none
		last = len(head)
		head = strings.Replace(head, "200", []string{"000", "099", "101", "600", "+20"}[rand.IntN(5)], 1)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, head[:last])
	reset := rand.IntN(2) == 0
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	e.record.cut(id, connectionOf(r).requests.Load() > 1)
	e.record.spoiled(id, fmt.Sprintf("%s wrote %q (reset: %t)", e.id, head[:last], reset))
}

// cut notes that the answer to a run of the request ended inside its head.
func (r *recorder) cut(id string, reused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[id]++
	if reused {
		r.cutsReused++
	}
}

// spoiled tells how an engine spoiled the answer to a run of the request.
func (r *recorder) spoiled(id, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oddities[id] = append(r.oddities[id], how)
}

// countCuts tells how many answers ended inside their head.
func (r *recorder) countCuts() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, count := range r.cuts {
		sum += count
	}
	return fmt.Sprintf("%d heads cut, %d of them on reused connections", sum, r.cutsReused)
}

// hadOnlyCutHeads reports whether the request ran, and the answer to each run ended inside
// its head.
func (r *recorder) hadOnlyCutHeads(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[id] > 0 && r.cuts[id] == len(r.runs[id])
}

// odditiesOf tells how engines spoiled the answers to the request.
func (r *recorder) odditiesOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.oddities[id], "; ")
}

// TestSuccessesFromCutHeadsAreSeen checks that the soak would see a success that no engine
// has answered.
func TestSuccessesFromCutHeadsAreSeen(t *testing.T) {
	r := newRecorder()
	c := &client{world: &world{record: r}}
	header := http.Header{"X-Response-Signature": {signature("r")}}
	r.runs["r"] = []run{{}, {}}
	r.cut("r", false)
	c.checkSuccess("r", "/safe/x", header, plainAnswer("r"), true)
	assert.Empty(t, r.faults, "the other run was answered")
	r.cut("r", true)
	c.checkSuccess("r", "/safe/x", header, plainAnswer("r"), true)
	assert.Len(t, r.faults, 1)
	c.checkSuccess("r", "/safe/x", header, "", true)
	assert.Len(t, r.faults, 3)
}

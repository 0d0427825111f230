package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// raised is by how much an operator raises the limits of requests.
	raised = 2
	// inflight is how many requests run while a crowd comes; an engine takes them all.
	inflight     = engineSlots
	inflightTime = 2500 * time.Millisecond
)

// TestRequestsAtTheLimitsAreServed guards against bounds that refuse in calm what the configuration
// allows, also after it was changed.
func TestRequestsAtTheLimitsAreServed(t *testing.T) {
	w := newCrowdWorld(t, crowdDescriptors)
	v := w.gatewayVictim(w.processes[0].front)
	require.NoError(t, v.askUntil(answerLimit))
	const longField, emptyBody = "X: ", "\r\nContent-Length: 0\r\n\r\n"
	headBytes, bodyBytes := w.callerLimits["headerBytes"].(int), w.callerLimits["bodyBytes"].(int)
	serve := func(headBytes, bodyBytes int) {
		t.Helper()
		// The engine of the soak repeats the ID only, so that bodies of any content will do.
		for _, c := range []struct{ name, head, body string }{
			{"long field", longField + strings.Repeat("x", headBytes-len(v.request)-len(longField)-len(emptyBody)) + emptyBody, ""},
			{"short fields", shortFields() + emptyBody[len("\r\n"):], ""},
			{"body with a length", fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes), strings.Repeat("x", bodyBytes)},
			{"body in a chunk", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes), strings.Repeat("x", bodyBytes) + "\r\n0\r\n\r\n"},
		} {
			assert.Equal(t, http.StatusOK, v.send(t, c.head+c.body), "%s, %d bytes of head, %d of body", c.name, headBytes, bodyBytes)
		}
	}
	serve(headBytes, bodyBytes)
	w.callerLimits["headerBytes"], w.callerLimits["bodyBytes"] = raised*headBytes, raised*bodyBytes
	w.configure()
	time.Sleep(lead)
	serve(raised*headBytes, raised*bodyBytes)
	now, err := v.measure()
	require.NoError(t, err)
	assert.LessOrEqual(t, now.memory, int64(crowdMemory))
}

// send sends a request with the rest of its head and its body and returns the status of the answer.
func (v *victim) send(t *testing.T, rest string) int {
	t.Helper()
	conn, err := v.dial(t.Context())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, v.request+rest)
	require.NoError(t, err)
	return statusOf(conn)
}

// statusOf returns the status of the answer that comes on the connection, or 0.
func statusOf(conn net.Conn) int {
	_ = conn.SetDeadline(time.Now().Add(answerLimit))
	var status int
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, head); err != nil {
		return 0
	}
	_, _ = fmt.Fscanf(bytes.NewReader(head), "HTTP/1.1 %d", &status)
	return status
}

// TestCrowdCutsOffNoRequest guards against newcomers for which requests in flight end.
func TestCrowdCutsOffNoRequest(t *testing.T) {
	w := newCrowdWorld(t, fewDescriptors)
	v := w.gatewayVictim(w.processes[0].front)
	require.NoError(t, v.askUntil(answerLimit))
	statuses := make([]int, inflight)
	var running sync.WaitGroup
	for i := range statuses {
		conn, err := v.dial(t.Context())
		require.NoError(t, err)
		defer conn.Close()
		request := strings.Replace(v.request, "X-Request-Id: crowd", fmt.Sprint("X-Request-Id: inflight-", i), 1)
		request = strings.Replace(request, "/safe/", "/unsafe/", 1) // which isn't sent again
		_, err = fmt.Fprintf(conn, "%s%s: %d\r\nContent-Length: 0\r\n\r\n", request, waitHeader, inflightTime.Milliseconds())
		require.NoError(t, err)
		running.Go(func() { statuses[i] = statusOf(conn) })
	}
	w.engines[0].awaitRunning(t, inflight)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var crowd sync.WaitGroup
	for i := range openCrowd {
		crowd.Go(func() { attacks[0].hold(ctx, v, i) })
	}
	running.Wait()
	stop()
	crowd.Wait()
	for _, status := range statuses {
		assert.Equal(t, http.StatusOK, status)
	}
}

// awaitRunning waits until the engine runs as many requests.
func (e *engine) awaitRunning(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.running >= count
	}, answerLimit, time.Millisecond)
}

// hold has a client open connections and keep them as long as it can until ctx is done.
func (a attack) hold(ctx context.Context, v *victim, number int) {
	for ctx.Err() == nil {
		a.once(ctx, v, number, func() {})
	}
}

// TestCrowdOfAllKinds has clients misbehave in all ways at once, at all ports of a gateway.
func TestCrowdOfAllKinds(t *testing.T) {
	w := newCrowdWorld(t, crowdDescriptors)
	v := w.gatewayVictim(w.processes[0].front)
	targets := []*victim{v, w.gatewayVictim(w.processes[0].ready), w.gatewayVictim(w.processes[0].admin)}
	var kinds []attack
	for _, attack := range attacks {
		if !attack.link {
			kinds = append(kinds, attack)
		}
	}
	press(t, v, attack{name: "all kinds", count: largeCrowd, unconnected: true, turn: func(ctx context.Context, _ *victim, _ net.Conn, number int) {
		target := targets[number/len(kinds)%len(targets)]
		ctx, cancel := context.WithTimeout(ctx, crowdTime)
		defer cancel()
		kinds[number%len(kinds)].once(ctx, target, number, func() {})
	}})
}

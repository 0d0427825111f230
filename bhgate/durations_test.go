package bhgate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// Guards against one slow client whose route is refused to everyone in a stop, as the time that
// the client took counts as the route's.
func TestSlowClientsDoNotCloseTheirRouteInAStop(t *testing.T) {
	for name, readsSlowly := range map[string]bool{"sends its body slowly": false, "reads its answer slowly": true} {
		t.Run(name, func(t *testing.T) {
			var streams atomic.Int32
			large, small := streamed(1<<20, &streams), streamed(1, &streams)
			upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request, number int) {
				if r.ContentLength == 0 {
					large(w, r, number)
				} else {
					small(w, r, number)
				}
			})
			g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, MaxAttempts: 1}, upstream)
			g.bounded(defaultBudget)
			const count = 30
			started, longest := time.Now(), time.Duration(0)
			for range count {
				require.Equal(t, http.StatusOK, g.status(g.request("/a/x")))
				longest, started = max(longest, time.Since(started)), time.Now()
			}

			var conn net.Conn
			var slow time.Duration // far more than the gateway and the upstream take on a busy machine
			if readsSlowly {
				conn = dialGate(t, g, "slow")
				require.Eventually(t, func() bool { return streams.Load() == count+1 && g.forwarding() == 0 }, 10*time.Second, time.Millisecond)
				slow = max(time.Second, 4*max(longest, time.Since(started)))
				time.Sleep(slow)
			} else {
				var err error
				conn, err = net.Dial("tcp", g.server.Listener.Addr().String())
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprint(conn, "POST /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: slow\r\nAuthorization: Key k1\r\nDeadline: 20000\r\nContent-Length: 4\r\n\r\nbo")
				require.NoError(t, err)
				require.Eventually(t, func() bool { return g.gate.Inflight() == 1 }, 10*time.Second, time.Millisecond)
				slow = max(time.Second, 4*longest)
				time.Sleep(slow)
				_, err = fmt.Fprint(conn, "dy")
				require.NoError(t, err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return g.gate.Inflight() == 0 }, 5*time.Second, time.Millisecond)
			g.gate.Drain(time.Now().Add(slow))
			assert.Equal(t, http.StatusOK, g.status(g.request("/a/x", withDeadline(time.Minute))))
		})
	}
}

// Guards against a gateway that doesn't learn from its requests how long they take, and so takes
// in a stop what it can't finish, or refuses what it can.
func TestRequestsBeforeAStopTellWhatFits(t *testing.T) {
	const late = 300 * time.Millisecond // what work takes
	for _, c := range []struct {
		name  string
		route bhpolicy.Route
		path  string
		want  int
	}{
		// If nothing were known, this one would be refused and the other one taken.
		{"fits, may not be repeated", bhpolicy.Route{Kind: bhpolicy.Unsafe}, "/a/soon", http.StatusOK},
		{"doesn't fit, may be repeated", bhpolicy.Route{Kind: bhpolicy.Safe}, "/a/late", http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			upstream := newUpstream(t, work)
			g := newTestGate(t, c.route, upstream)
			const count = 5
			var longest time.Duration
			for range count {
				started := time.Now()
				require.Equal(t, http.StatusOK, g.status(g.request(c.path)))
				longest = max(longest, time.Since(started))
			}
			require.Eventually(t, func() bool { return g.gate.Inflight() == 0 }, 5*time.Second, time.Millisecond)
			left := max(time.Second, 4*longest)
			if c.want != http.StatusOK {
				left = late - 50*time.Millisecond
			}
			g.gate.Drain(time.Now().Add(left))
			assert.Equal(t, c.want, g.status(g.request(c.path, withDeadline(time.Minute))))
			if c.want == http.StatusOK {
				assert.Equal(t, count+1, upstream.count())
			} else {
				assert.Equal(t, count, upstream.count(), "refused and sent")
			}
		})
	}
}

// Guards against jobs that are refused throughout a stop: a client waits for the answer to its
// submission for longer than the stop takes.
func TestStopTakesSubmissionsOfJobs(t *testing.T) {
	jobs := &fakeJobs{}
	g := newJobsGate(t, jobs)
	g.gate.Drain(time.Now().Add(5 * time.Second))
	assert.Equal(t, http.StatusAccepted, g.status(g.request("/a/x", withID("job"), withDeadline(time.Minute))))
	assert.Equal(t, "job", jobs.submission.ID)
}

// forwarding returns how many attempts at the first upstream have not ended.
func (g *testGate) forwarding() int {
	b := g.gate.config.Balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstream("i-0").inflight
}

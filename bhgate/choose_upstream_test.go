package bhgate

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// fakeEngineLoads reports fixed loads and records the runners to which requests
// are announced.
type fakeEngineLoads struct {
	loads    map[netip.AddrPort]bhwire.Room
	reserved []netip.AddrPort
	// callers are those of the announced requests.
	callers []bhwire.Reserve

	// reported, unless it is nil, gets a value for each fault.
	reported chan struct{}

	mu     sync.Mutex
	faults []netip.AddrPort
}

// Query implements EngineLoads.
func (f *fakeEngineLoads) Query(context.Context, []netip.AddrPort) map[netip.AddrPort]bhwire.Room {
	return f.loads
}

// Reserve implements EngineLoads.
func (f *fakeEngineLoads) Reserve(runner netip.AddrPort, caller bhwire.Reserve) {
	f.reserved, f.callers = append(f.reserved, runner), append(f.callers, caller)
}

// Fault implements EngineLoads.
func (f *fakeEngineLoads) Fault(runner netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, runner)
	if f.reported != nil {
		f.reported <- struct{}{}
	}
}

func (f *fakeEngineLoads) faultCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.faults)
}

func TestRequestsGoToTheEngineWithTheLeastLoad(t *testing.T) {
	for _, c := range []struct {
		name  string
		loads map[netip.AddrPort]bhwire.Room
		want  int
	}{
		{"the engine in the gate's own data centre is full", map[netip.AddrPort]bhwire.Room{runnerAddress(0): {Slots: 8, Live: 8}, runnerAddress(1): {Slots: 8, Live: 3, Age: 7 * time.Millisecond}}, 1},
		{"the engine in the other data centre is full", map[netip.AddrPort]bhwire.Room{runnerAddress(0): {Slots: 8, Live: 3}, runnerAddress(1): {Slots: 8, Live: 8}}, 0},
		{"the emptiest engine's runner says that it is leaving", map[netip.AddrPort]bhwire.Room{runnerAddress(0): {Leaving: true}, runnerAddress(1): {Slots: 8, Live: 3, Age: 7 * time.Millisecond}}, 1},
		{"the engine in the gate's own data centre is cold", map[netip.AddrPort]bhwire.Room{runnerAddress(0): {Slots: 8, Live: 2, Cold: time.Second}, runnerAddress(1): {Slots: 8, Live: 3, Age: 7 * time.Millisecond}}, 1},
		{"no engine reports its load", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			upstreams := []*fakeUpstream{newUpstream(t, answerEvent), newUpstream(t, answerEvent)}
			g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, upstreams...)
			var log bytes.Buffer
			logger, err := bhlog.New(&log, bhlog.Info)
			require.NoError(t, err)
			engineLoads := &fakeEngineLoads{loads: c.loads}
			g.gate.config.EngineLoads, g.gate.config.Logger = engineLoads, logger
			g.policies.update(func(p *fakePolicies) {
				var list []bhwatch.Instance
				for i, instance := range p.view.Fleet["s"] {
					instance.RunnerAddr = runnerAddress(i)
					list = append(list, instance)
				}
				p.view.Fleet = map[string][]bhwatch.Instance{"s": list}
			})
			assert.Equal(t, http.StatusOK, g.status(g.request("/a/x")))
			assert.Equal(t, 1, upstreams[c.want].count())
			assert.Equal(t, []netip.AddrPort{runnerAddress(c.want)}, engineLoads.reserved)
			g.server.Close() // waits until the request is logged
			assert.Contains(t, log.String(), "asked=2")
			if c.want == 1 {
				assert.Contains(t, log.String(), "told=2 slots=8 live=3 items=0 room_age=7ms")
			}
		})
	}
}

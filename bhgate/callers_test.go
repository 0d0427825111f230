package bhgate

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhshare"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// newCallersGate starts an engine gate with the accounts a and b, whose keys are their
// names. Its only engine reports the load.
func newCallersGate(t *testing.T, load bhwire.Room, accounts ...bhpolicy.Account) (*testGate, *fakeEngineLoads, *fakeUpstream) {
	upstream := newUpstream(t, answerEvent)
	g, engineLoads := newEngineGate(t, map[netip.AddrPort]bhwire.Room{runnerAddress(0): load}, upstream)
	g.policies.update(func(p *fakePolicies) {
		policy := *p.view.Index.Policy
		policy.Accounts = accounts
		p.view = bhwatch.View{Index: bhpolicy.NewIndex(&policy), Fleet: p.view.Fleet, ProvenAt: p.view.ProvenAt}
	})
	return g, engineLoads, upstream
}

func (g *testGate) statusOf(key string) int {
	request := g.request("/a/x")
	request.Header.Set("Authorization", "Key "+key)
	return g.status(request)
}

func TestAccountAboveItsShareIsRefusedAtFullEnginesOnly(t *testing.T) {
	a, b := bhpolicy.Account{Name: "a", Keys: []string{"a"}}, bhpolicy.Account{Name: "b", Keys: []string{"b"}}
	callers := []bhwire.Caller{{Account: bhshare.ID("a"), Live: 40}, {Account: bhshare.ID("b"), Live: 4}}
	g, engineLoads, upstream := newCallersGate(t, bhwire.Room{Slots: 8, Live: 8, Callers: callers}, a, b)
	request := g.request("/a/x")
	request.Header.Set("Authorization", "Key a")
	response, body, err := g.do(request)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, body, "yields to other callers by share")
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Zero(t, upstream.count(), "the refusal is true")
	assert.Empty(t, engineLoads.reserved)
	assert.Equal(t, http.StatusOK, g.statusOf("b"))
	assert.Equal(t, []bhwire.Reserve{{Account: bhshare.ID("b")}}, engineLoads.callers)

	engineLoads.loads = map[netip.AddrPort]bhwire.Room{runnerAddress(0): {Slots: 8, Live: 7, Callers: callers}}
	assert.Equal(t, http.StatusOK, g.statusOf("a"), "a slot is free")
}

func TestLessUrgentAccountYieldsAtFullEngines(t *testing.T) {
	late := 3
	a, b := bhpolicy.Account{Name: "a", Keys: []string{"a"}, Priority: &late}, bhpolicy.Account{Name: "b", Keys: []string{"b"}}
	load := bhwire.Room{Slots: 8, Live: 8, Callers: []bhwire.Caller{{Account: bhshare.ID("b"), Live: 1}, {Account: bhshare.ID("a"), Priority: 3, Live: 1}}}
	g, engineLoads, _ := newCallersGate(t, load, a, b)
	assert.Equal(t, http.StatusServiceUnavailable, g.statusOf("a"))
	assert.Equal(t, http.StatusOK, g.statusOf("b"))
	engineLoads.loads = map[netip.AddrPort]bhwire.Room{runnerAddress(0): {Slots: 8, Live: 8, Callers: load.Callers[1:]}}
	assert.Equal(t, http.StatusOK, g.statusOf("a"), "nobody is more urgent")
	assert.Equal(t, bhwire.Reserve{Account: bhshare.ID("a"), Priority: 3}, engineLoads.callers[1])
}

// Runners of an older version don't tell callers.
func TestNobodyYieldsWithoutKnownCallers(t *testing.T) {
	late := 3
	g, _, _ := newCallersGate(t, bhwire.Room{Slots: 8, Live: 8}, bhpolicy.Account{Name: "a", Keys: []string{"a"}, Priority: &late}, bhpolicy.Account{Name: "b", Keys: []string{"b"}})
	assert.Equal(t, http.StatusOK, g.statusOf("a"))
	assert.Equal(t, http.StatusOK, g.statusOf("b"))
}

func TestFullEngineThatFreesASlotSoonestIsChosen(t *testing.T) {
	upstreams := []*fakeUpstream{newUpstream(t, answerEvent), newUpstream(t, answerEvent), newUpstream(t, answerEvent), newUpstream(t, answerEvent)}
	g, _ := newEngineGate(t, map[netip.AddrPort]bhwire.Room{
		runnerAddress(0): {Slots: 8, Live: 8, Oldest: 300 * time.Millisecond},
		runnerAddress(1): {Slots: 8, Live: 8, Oldest: 600 * time.Millisecond},
		runnerAddress(2): {Slots: 8, Live: 9, Oldest: 700 * time.Millisecond},
		runnerAddress(3): {Slots: 8, Live: 8, Oldest: 3 * time.Second}, // it hangs
	}, upstreams...)
	for range 3 {
		assert.Equal(t, http.StatusOK, g.status(g.request("/a/x")))
	}
	assert.Equal(t, 3, upstreams[1].count())
}

// An engine that just took no connection is the last choice, however soon it is free.
func TestFullEngineInBackoffIsNotChosenForItsSlot(t *testing.T) {
	failing, sound := newUpstream(t, answerEvent), newUpstream(t, answerEvent)
	g, _ := newEngineGate(t, map[netip.AddrPort]bhwire.Room{
		runnerAddress(0): {Slots: 8, Live: 8, Oldest: 700 * time.Millisecond}, runnerAddress(1): {Slots: 8, Live: 8},
	}, failing, sound)
	g.gate.config.Balancer.Failed("i-0", errors.New("refused"))
	assert.Equal(t, http.StatusOK, g.status(g.request("/a/x")))
	assert.Equal(t, 1, sound.count())
}

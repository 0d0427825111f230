package bhgate

import (
	"net/netip"
	"sync"

	"github.com/baobabhaven/baobabhaven/bhadmit"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhshare"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// accountWeights holds the weights of the accounts of the newest policy. It is safe for
// concurrent use.
type accountWeights struct {
	mu      sync.Mutex
	index   *bhpolicy.Index
	weights *bhshare.Weights
}

// of returns the weights of the accounts of the policy.
func (a *accountWeights) of(index *bhpolicy.Index) *bhshare.Weights {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.index != index {
		a.index, a.weights = index, bhshare.NewWeights(index.Policy.Accounts)
	}
	return a.weights
}

// caller returns the account and the priority of the call, as runners are told them.
func (c *call) caller() bhwire.Reserve {
	name := ""
	if c.account != nil {
		name = c.account.Name
	}
	return bhwire.Reserve{Account: bhshare.ID(name), Priority: bhpolicy.PriorityOf(c.route, c.account)}
}

// standing returns how the call stands among the callers at full engines with the loads.
func (c *call) standing(loads map[netip.AddrPort]bhwire.Room) bhshare.Standing {
	var usage bhshare.Usage
	for _, load := range loads {
		if load.Age > maxLoadAge || load.Suspect {
			continue
		}
		for _, caller := range load.Callers {
			usage.Add(bhshare.Caller{Account: caller.Account, Priority: caller.Priority, Live: caller.Live})
		}
	}
	own := c.caller()
	return usage.Standing(own.Account, own.Priority, c.gate.weights.of(c.view.Index))
}

// soonest returns the candidate whose full engine frees a slot soonest, or all candidates
// if one has a free slot or none tells its load.
func (c *call) soonest(service string, candidates []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) []bhwatch.Instance {
	times := c.gate.times.of(service)
	best := -1
	var least bhadmit.Engine
	for i, instance := range candidates {
		load := loads[instance.RunnerAddr]
		if excluded[instance.ID] || !takesRequests(load) || c.gate.config.Balancer.BackingOff(instance.ID) {
			continue
		}
		engine := toEngine(load)
		if engine.Free() {
			return candidates
		}
		if best < 0 || times.Less(engine, least) {
			best, least = i, engine
		}
	}
	if best < 0 {
		return candidates
	}
	return candidates[best : best+1]
}

// takesRequests reports whether the engine with the load is known to take requests, in
// its order.
func takesRequests(load bhwire.Room) bool {
	return load.Slots > 0 && load.Age <= maxLoadAge && !load.Suspect && !load.Leaving && load.Wait <= 0
}

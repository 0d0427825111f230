package bhorigin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// network connects the registries of a fleet in memory: those of the gateways, then
// those of the runners. It loses datagrams at random, and those to and from processes
// that are down.
type network struct {
	random     *rand.Rand
	loss       float64
	gateways   int
	registries []*Registry
	down       map[int]bool
}

func newNetwork(gateways, runners int, loss float64) *network {
	n := &network{random: rand.New(rand.NewPCG(1, 2)), loss: loss, gateways: gateways, registries: make([]*Registry, gateways+runners), down: make(map[int]bool)}
	for i := range n.registries {
		n.restart(i)
	}
	return n
}

// restart starts a process, with nothing in its memory.
func (n *network) restart(number int) {
	n.registries[number] = NewRegistry(Config{Peers: node{network: n, number: number}, Clock: bhclock.NewRuntime(), Logger: bhlog.Nop(), Scope: tally.NoopScope})
	n.down[number] = false
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7)
}

// node is the network as one gateway sees it. It implements Peers.
type node struct {
	network *network
	number  int
}

// Order implements Peers.
func (n node) Order(key string) []netip.AddrPort {
	var order []netip.AddrPort
	for i := range n.network.gateways {
		order = append(order, addressOf(i))
	}
	order = bhpeer.Rank(key, order)
	order[slices.Index(order, addressOf(n.number))] = netip.AddrPort{}
	return order
}

// Runners implements Peers.
func (n node) Runners(key string) []netip.AddrPort {
	var runners []netip.AddrPort
	for i := n.network.gateways; i < len(n.network.registries); i++ {
		runners = append(runners, addressOf(i))
	}
	return bhpeer.Rank(key, runners)
}

// deliver returns the registry at the address unless the datagram is lost.
func (n node) deliver(to netip.AddrPort) *Registry {
	number := int(to.Addr().As4()[3])
	if n.network.down[number] || n.network.random.Float64() < n.network.loss {
		return nil
	}
	return n.network.registries[number]
}

// Tell implements Peers.
func (n node) Tell(kind bhwire.Kind, message any, peers ...netip.AddrPort) {
	for _, peer := range peers {
		frame, err := bhwire.Encode(kind, 0, message)
		if registry := n.deliver(peer); registry != nil && err == nil {
			registry.handleBegan(frame)
		}
	}
}

// Ask implements Peers.
func (n node) Ask(_ context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame {
	answers := make(map[netip.AddrPort]bhwire.Frame)
	for _, peer := range peers {
		frame, err := bhwire.Encode(kind, 0, message)
		if registry := n.deliver(peer); registry != nil && err == nil {
			kind, answer := registry.handleFind(frame)
			if answers[peer], err = bhwire.Encode(kind, 0, answer); err != nil {
				delete(answers, peer)
			}
		}
	}
	if len(answers) < len(peers) {
		time.Sleep(wait)
	}
	return answers
}

var origin = Origin{Service: "llm", Version: "v1"}

// Guards against a client that comes back to another gateway than the one that began
// its stream, which may be gone, and finds that nobody knows the stream.
func TestStreamIsFoundAtEveryGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9, 0, 0)
		for i := range 50 {
			key := NewKey("zoo", fmt.Sprint("r", i))
			began := i % 9
			n.registries[began].Record(key, origin)
			n.down[began] = true
			for number, registry := range n.registries {
				if number != began {
					found, ok := registry.Find(t.Context(), key)
					require.True(t, ok)
					assert.Equal(t, origin, found)
				}
			}
			n.restart(began)
			_, ok := n.registries[began].Find(t.Context(), key)
			require.True(t, ok, "after the restart of the gateway that began it")
		}
		for _, unknown := range []Key{NewKey("zoo", "r"), NewKey("other", "r1")} {
			_, ok := n.registries[0].Find(t.Context(), unknown)
			assert.False(t, ok)
		}
	})
}

// Lost datagrams and restarts hide few streams, and never show a wrong origin.
func TestFewStreamsAreMissedUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(12, 0, 0.05)
		const streams = 500
		missed := 0
		for i := range streams {
			key := NewKey("zoo", fmt.Sprint("r", i))
			want := Origin{Service: "llm", Version: fmt.Sprint("v", i%3)}
			began, other := n.random.IntN(12), n.random.IntN(12)
			n.registries[began].Record(key, want)
			n.restart(began)
			n.restart(n.random.IntN(12))
			found, ok := n.registries[other].Find(t.Context(), key)
			if !ok {
				missed++
				continue
			}
			require.Equal(t, want, found)
		}
		assert.Less(t, missed, streams/20)
	})
}

// All gateways are killed at once while streams run, and their clients come back. The
// runners outlive that, some of them without their engines, which a release replaced.
func TestStreamsAreFoundAfterAllGatewaysRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, runners, streams = 7, 18, 500
		n := newNetwork(gateways, runners, 0.05)
		for i := range streams {
			key := NewKey("zoo", fmt.Sprint("r", i))
			want := Origin{Service: "llm", Version: fmt.Sprint("v", i%3)}
			n.registries[i%gateways].Record(key, want)
		}
		for i := range gateways {
			n.restart(i)
		}
		n.down[gateways] = true
		missed := 0
		for i := range streams {
			found, ok := n.registries[(i+1)%gateways].Find(t.Context(), NewKey("zoo", fmt.Sprint("r", i)))
			if !ok {
				missed++
				continue
			}
			require.Equal(t, Origin{Service: "llm", Version: fmt.Sprint("v", i%3)}, found)
		}
		assert.Less(t, missed, streams/20)
	})
}

func TestTableForgetsAfterItsLifetimeAndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(bhclock.NewRuntime())
		key := NewKey("zoo", "r1")
		table.Put(key, origin)
		time.Sleep(lifetime - time.Second)
		found, ok := table.Get(key)
		require.True(t, ok)
		assert.Equal(t, origin, found)
		time.Sleep(lifetime + time.Second)
		_, ok = table.Get(key)
		assert.False(t, ok)
		for i := range 5 * maxStreams {
			table.Put(NewKey("zoo", fmt.Sprint(i)), origin)
			require.LessOrEqual(t, len(table.origins.newer)+len(table.origins.older), 2*maxStreams)
		}
	})
}

func TestMalformedFramesAreIgnored(t *testing.T) {
	r := NewRegistry(Config{Clock: bhclock.NewRuntime(), Logger: bhlog.Nop(), Scope: tally.NoopScope})
	for _, body := range [][]byte{nil, {0xff}, {0xa0}} {
		frame := bhwire.Frame{Body: body}
		kind, _ := r.handleBegan(frame)
		assert.Empty(t, kind)
		kind, _ = r.handleFind(frame)
		assert.Empty(t, kind)
	}
	_, ok := r.Find(t.Context(), Key{})
	assert.False(t, ok)
}

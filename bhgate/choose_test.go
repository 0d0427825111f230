package bhgate

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// fakeRooms tells fixed rooms and notes what is announced.
type fakeRooms struct {
	rooms    map[netip.AddrPort]bhwire.Room
	reserved []netip.AddrPort
}

// Query implements Rooms.
func (f *fakeRooms) Query(context.Context, []netip.AddrPort) map[netip.AddrPort]bhwire.Room {
	return f.rooms
}

// Reserve implements Rooms.
func (f *fakeRooms) Reserve(keeper netip.AddrPort) { f.reserved = append(f.reserved, keeper) }

func TestRequestsGoWhereThereIsRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		rooms map[netip.AddrPort]bhwire.Room
		want  int
	}{
		{"the nearer one is full", map[netip.AddrPort]bhwire.Room{keeperOf(0): {Slots: 8, Live: 8}, keeperOf(1): {Slots: 8, Live: 3, Age: 7 * time.Millisecond}}, 1},
		{"the farther one is full", map[netip.AddrPort]bhwire.Room{keeperOf(0): {Slots: 8, Live: 3}, keeperOf(1): {Slots: 8, Live: 8}}, 0},
		{"nobody tells", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			upstreams := []*fakeUpstream{newUpstream(t, ok), newUpstream(t, ok)}
			r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, upstreams...)
			var log bytes.Buffer
			logger, err := bhlog.New(&log, bhlog.Info)
			require.NoError(t, err)
			rooms := &fakeRooms{rooms: c.rooms}
			r.gate.config.EngineLoads, r.gate.config.Logger = rooms, logger
			r.policies.set(func(p *testPolicies) {
				var list []bhwatch.Instance
				for i, instance := range p.view.Fleet["s"] {
					instance.Keeper = keeperOf(i)
					list = append(list, instance)
				}
				p.view.Fleet = map[string][]bhwatch.Instance{"s": list}
			})
			assert.Equal(t, http.StatusOK, r.status(r.request("/a/x")))
			assert.Equal(t, 1, upstreams[c.want].count())
			assert.Equal(t, []netip.AddrPort{keeperOf(c.want)}, rooms.reserved)
			r.server.Close() // waits for the line of the request
			assert.Contains(t, log.String(), "asked=2")
			if c.want == 1 {
				assert.Contains(t, log.String(), "told=2 slots=8 live=3 items=0 room_age=7ms")
			}
		})
	}
}

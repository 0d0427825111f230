package bhslot

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// freeAddress returns an address that nobody listens at.
func freeAddress(t *testing.T) netip.AddrPort {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// runUntilEnd runs the part until the test ends.
func runUntilEnd(t *testing.T, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { assert.NoError(t, part(ctx)) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
}

func newScout(t *testing.T) *Scout {
	s := NewScout(ScoutConfig{Address: freeAddress(t).String(), Logger: bhlog.Nop(), Scope: tally.NoopScope})
	assert.Empty(t, s.Ask(t.Context(), []netip.AddrPort{freeAddress(t)}), "nobody is asked before Run")
	runUntilEnd(t, s.Run)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.conn != nil
	}, 10*time.Second, time.Millisecond)
	return s
}

// newKeeper returns the address of a keeper with the room, and how many requests
// were announced to it.
func newKeeper(t *testing.T, room bhwire.Room) (netip.AddrPort, *atomic.Int64) {
	address, reserved := freeAddress(t), &atomic.Int64{}
	runUntilEnd(t, NewKeeper(KeeperConfig{
		Address: address.String(),
		Room:    func() bhwire.Room { return room },
		Reserve: func() { reserved.Add(1) },
		Logger:  bhlog.Nop(),
	}).Run)
	return address, reserved
}

func TestScoutLearnsTheRoomOfEachKeeper(t *testing.T) {
	full, empty := bhwire.Room{Slots: 8, Live: 9, Items: 0, Age: 20 * time.Millisecond}, bhwire.Room{Slots: 8, Items: 3}
	one, _ := newKeeper(t, full)
	two, _ := newKeeper(t, empty)
	dead := freeAddress(t)
	s := newScout(t)
	want := map[netip.AddrPort]bhwire.Room{one: full, two: empty}
	// An answer may take longer than a scout waits on a busy machine.
	require.Eventually(t, func() bool {
		return assert.ObjectsAreEqual(want, s.Ask(t.Context(), []netip.AddrPort{one, two, dead}))
	}, 10*time.Second, time.Millisecond)
	assert.Empty(t, s.question, "no question is left open")
}

func TestReservationsReachTheKeeper(t *testing.T) {
	keeper, reserved := newKeeper(t, bhwire.Room{})
	s := newScout(t)
	require.Eventually(t, func() bool {
		s.Reserve(keeper)
		return reserved.Load() >= 3
	}, 10*time.Second, time.Millisecond)
}

func TestStrayDatagramsAreIgnored(t *testing.T) {
	room := bhwire.Room{Slots: 2, Live: 1}
	keeper, reserved := newKeeper(t, room)
	s := newScout(t)
	conn, err := net.Dial("udp4", keeper.String())
	require.NoError(t, err)
	defer conn.Close()
	for _, stray := range [][]byte{{}, {0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), make([]byte, 2*maxDatagram)} {
		_, err := conn.Write(stray)
		require.NoError(t, err)
	}
	s.answer(bhwire.Frame{Kind: bhwire.KindRoom, Stream: 77, Body: []byte{0xff}}, keeper)
	s.answer(bhwire.Frame{Kind: bhwire.KindBeat, Stream: 77}, keeper)
	require.Eventually(t, func() bool {
		return s.Ask(t.Context(), []netip.AddrPort{keeper})[keeper] == room
	}, 10*time.Second, time.Millisecond)
	assert.Zero(t, reserved.Load())
}

func TestLateAnswersChangeNothing(t *testing.T) {
	s := newScout(t)
	keeper := freeAddress(t)
	rooms := s.Ask(t.Context(), []netip.AddrPort{keeper})
	frame, err := bhwire.Encode(bhwire.KindRoom, s.serial, bhwire.Room{Slots: 2})
	require.NoError(t, err)
	s.answer(frame, keeper)
	assert.Empty(t, rooms)
}

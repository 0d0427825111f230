package bhpeer

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

// testTimeout is long enough for an answer on a busy machine.
const testTimeout = 10 * time.Second

// freeAddress returns a loopback address on which no socket listens.
func freeAddress(t *testing.T) netip.AddrPort {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// newSocket calls register with a new socket and runs the socket until the test
// ends.
func newSocket(t *testing.T, register func(s *Socket)) *Socket {
	s := NewSocket(Config{Address: freeAddress(t), Logger: bhlog.Nop(), Scope: tally.NoopScope})
	assert.Empty(t, s.Ask(t.Context(), testTimeout, bhwire.KindAsk, nil, freeAddress(t)), "Ask returns no answers before Run")
	register(s)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { assert.NoError(t, s.Run(ctx)) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.conn != nil
	}, testTimeout, time.Millisecond)
	return s
}

func newClientSocket(t *testing.T) *Socket { return newSocket(t, func(*Socket) {}) }

// newRoomServer runs a socket that answers each KindAsk frame with the room, and
// returns its address.
func newRoomServer(t *testing.T, room bhwire.Room) netip.AddrPort {
	return newSocket(t, func(s *Socket) {
		s.Handle(bhwire.KindAsk, func(bhwire.Frame) (bhwire.Kind, any) { return bhwire.KindRoom, room })
	}).config.Address
}

func decodeRoom(t *testing.T, frame bhwire.Frame) bhwire.Room {
	room, err := bhwire.Decode[bhwire.Room](frame)
	require.NoError(t, err)
	return room
}

func TestAskReturnsAnswerOfEachPeer(t *testing.T) {
	full, empty := bhwire.Room{Slots: 8, Live: 9, Age: 20 * time.Millisecond}, bhwire.Room{Slots: 8, Items: 3}
	first, second := newRoomServer(t, full), newRoomServer(t, empty)
	s := newClientSocket(t)
	answers := s.Ask(t.Context(), testTimeout, bhwire.KindAsk, nil, first, second)
	require.Len(t, answers, 2)
	assert.Equal(t, full, decodeRoom(t, answers[first]))
	assert.Equal(t, empty, decodeRoom(t, answers[second]))
	assert.Empty(t, s.pending, "no Ask is left pending")
}

func TestAskStopsWaitingForSilentPeers(t *testing.T) {
	responder := newRoomServer(t, bhwire.Room{Slots: 1})
	s := newClientSocket(t)
	require.Eventually(t, func() bool {
		answers := s.Ask(t.Context(), 50*time.Millisecond, bhwire.KindAsk, nil, responder, freeAddress(t))
		return len(answers) == 1
	}, testTimeout, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Empty(t, s.Ask(ctx, testTimeout, bhwire.KindAsk, nil, freeAddress(t)))
}

func TestTellReachesPeer(t *testing.T) {
	var received atomic.Int64
	peer := newSocket(t, func(s *Socket) {
		s.Handle(bhwire.KindReserve, func(bhwire.Frame) (bhwire.Kind, any) {
			received.Add(1)
			return "", nil
		})
	})
	s := newClientSocket(t)
	s.Tell(bhwire.KindReserve, nil, peer.config.Address)
	require.Eventually(t, func() bool { return received.Load() == 1 }, testTimeout, time.Millisecond)
}

func TestStrayDatagramsAreIgnored(t *testing.T) {
	room := bhwire.Room{Slots: 2, Live: 1}
	peer := newRoomServer(t, room)
	s := newClientSocket(t)
	conn, err := net.Dial("udp4", peer.String())
	require.NoError(t, err)
	defer conn.Close()
	for _, stray := range [][]byte{{}, {0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), make([]byte, 2*maxDatagram)} {
		_, err := conn.Write(stray)
		require.NoError(t, err)
	}
	s.recordAnswer(bhwire.Frame{Kind: bhwire.KindRoom, Stream: 77}, peer)
	answers := s.Ask(t.Context(), testTimeout, bhwire.KindAsk, nil, peer)
	assert.Equal(t, room, decodeRoom(t, answers[peer]))
}

func TestLateAnswerIsIgnored(t *testing.T) {
	s := newClientSocket(t)
	peer := freeAddress(t)
	answers := s.Ask(t.Context(), time.Millisecond, bhwire.KindAsk, nil, peer)
	s.recordAnswer(bhwire.Frame{Kind: bhwire.KindRoom, Stream: s.lastStream}, peer)
	assert.Empty(t, answers)
}

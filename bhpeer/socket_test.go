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

// testWait is long enough for an answer on a busy machine.
const testWait = 10 * time.Second

// freeAddress returns an address that nobody listens at.
func freeAddress(t *testing.T) netip.AddrPort {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// newSocket returns a socket that runs until the test ends.
func newSocket(t *testing.T, register func(s *Socket)) *Socket {
	s := NewSocket(Config{Address: freeAddress(t), Logger: bhlog.Nop(), Scope: tally.NoopScope})
	assert.Empty(t, s.Ask(t.Context(), testWait, bhwire.KindAsk, nil, freeAddress(t)), "nobody is asked before Run")
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
	}, testWait, time.Millisecond)
	return s
}

func asker(t *testing.T) *Socket { return newSocket(t, func(*Socket) {}) }

// teller answers each ask with the room.
func teller(t *testing.T, room bhwire.Room) netip.AddrPort {
	return newSocket(t, func(s *Socket) {
		s.Handle(bhwire.KindAsk, func(bhwire.Frame) (bhwire.Kind, any) { return bhwire.KindRoom, room })
	}).config.Address
}

func roomOf(t *testing.T, frame bhwire.Frame) bhwire.Room {
	room, err := bhwire.Decode[bhwire.Room](frame)
	require.NoError(t, err)
	return room
}

func TestAskReturnsTheAnswerOfEachPeer(t *testing.T) {
	full, empty := bhwire.Room{Slots: 8, Live: 9, Age: 20 * time.Millisecond}, bhwire.Room{Slots: 8, Items: 3}
	one, two := teller(t, full), teller(t, empty)
	s := asker(t)
	answers := s.Ask(t.Context(), testWait, bhwire.KindAsk, nil, one, two)
	require.Len(t, answers, 2)
	assert.Equal(t, full, roomOf(t, answers[one]))
	assert.Equal(t, empty, roomOf(t, answers[two]))
	assert.Empty(t, s.open, "no question is left open")
}

func TestSilentPeersHoldUpAnAskForItsWaitOnly(t *testing.T) {
	one := teller(t, bhwire.Room{Slots: 1})
	s := asker(t)
	require.Eventually(t, func() bool {
		answers := s.Ask(t.Context(), 50*time.Millisecond, bhwire.KindAsk, nil, one, freeAddress(t))
		return len(answers) == 1
	}, testWait, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Empty(t, s.Ask(ctx, testWait, bhwire.KindAsk, nil, freeAddress(t)))
}

func TestTellReachesThePeer(t *testing.T) {
	var told atomic.Int64
	peer := newSocket(t, func(s *Socket) {
		s.Handle(bhwire.KindReserve, func(bhwire.Frame) (bhwire.Kind, any) {
			told.Add(1)
			return "", nil
		})
	})
	s := asker(t)
	s.Tell(bhwire.KindReserve, peer.config.Address)
	require.Eventually(t, func() bool { return told.Load() == 1 }, testWait, time.Millisecond)
}

func TestStrayDatagramsAreIgnored(t *testing.T) {
	room := bhwire.Room{Slots: 2, Live: 1}
	peer := teller(t, room)
	s := asker(t)
	conn, err := net.Dial("udp4", peer.String())
	require.NoError(t, err)
	defer conn.Close()
	for _, stray := range [][]byte{{}, {0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), make([]byte, 2*maxDatagram)} {
		_, err := conn.Write(stray)
		require.NoError(t, err)
	}
	s.answer(bhwire.Frame{Kind: bhwire.KindRoom, Stream: 77}, peer)
	answers := s.Ask(t.Context(), testWait, bhwire.KindAsk, nil, peer)
	assert.Equal(t, room, roomOf(t, answers[peer]))
}

func TestLateAnswersChangeNothing(t *testing.T) {
	s := asker(t)
	peer := freeAddress(t)
	answers := s.Ask(t.Context(), time.Millisecond, bhwire.KindAsk, nil, peer)
	s.answer(bhwire.Frame{Kind: bhwire.KindRoom, Stream: s.serial}, peer)
	assert.Empty(t, answers)
}

// Package bhpeer exchanges UDP datagrams between the gateways and job runners of
// a fleet for values that are stale within milliseconds: the spare capacity of an
// engine, a token of a client account. Its Directory lists the gateways.
//
// Datagrams are used instead of connections, unlike the links between entries and
// sidecars: a late repeat of a request would be useless, and no dead connections
// have to be detected.
package bhpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// maxDatagram, in bytes, is below the payload of one Ethernet frame.
	maxDatagram = 1400
	// readErrorDelay avoids a busy loop when every read fails.
	readErrorDelay = time.Millisecond
)

// Handler handles a received frame and returns the kind and message of the answer.
// If the kind is empty, no answer is sent. A handler must not block, because the
// socket receives nothing meanwhile.
type Handler func(frame bhwire.Frame) (bhwire.Kind, any)

// Config configures a Socket.
type Config struct {
	// Address is the UDP (IPv4) address that the socket listens on.
	Address netip.AddrPort
	Logger  bhlog.Logger
	Scope   tally.Scope
}

// Socket exchanges frames with other processes over UDP. Frames that were sent are
// not repeated. An answer carries the stream number of the frame that it answers.
// Ask and Tell are safe for concurrent use.
type Socket struct {
	config     Config
	asks       tally.Counter
	unanswered tally.Counter
	handlers   map[bhwire.Kind]Handler

	mu         sync.Mutex
	conn       *net.UDPConn
	lastStream uint64
	pending    map[uint64]*pendingAsk
}

// pendingAsk is a call of Ask that waits for the answers of its peers.
type pendingAsk struct {
	answers  map[netip.AddrPort]bhwire.Frame
	expected int
	done     chan struct{}
}

// NewSocket returns a socket that sends and receives only while Run runs.
func NewSocket(config Config) *Socket {
	return &Socket{
		config:     config,
		asks:       config.Scope.Counter("peer_asks"),
		unanswered: config.Scope.Counter("peer_asks_unanswered"),
		handlers:   make(map[bhwire.Kind]Handler),
		pending:    make(map[uint64]*pendingAsk),
	}
}

// Handle registers the handler for frames of the kind. It must be called before
// Run. Frames of kinds without a handler are taken as answers.
func (s *Socket) Handle(kind bhwire.Kind, handler Handler) { s.handlers[kind] = handler }

// Run listens on the configured address and receives datagrams until ctx is done.
// It returns an error if it can't listen or the socket was closed.
func (s *Socket) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.config.Address))
	if err != nil {
		return errors.Wrap(err, "listening for UDP datagrams")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if stop() {
			_ = conn.Close()
		}
	}()
	s.setConn(conn)
	defer s.setConn(nil)
	bhlog.Event(s.config.Logger, "peer.listening", "address", s.config.Address)
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			bhlog.Trace(s.config.Logger, "peer.unread", "err", err)
			time.Sleep(readErrorDelay)
		default:
			s.handleDatagram(conn, buffer[:n], from)
		}
	}
}

// setConn sets the connection that frames are sent on; nil if there is none.
func (s *Socket) setConn(conn *net.UDPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// handleDatagram passes a frame to its handler and sends the answer. It records a
// frame without a handler as an answer and ignores invalid data.
func (s *Socket) handleDatagram(conn *net.UDPConn, data []byte, from netip.AddrPort) {
	frame, _, err := bhwire.NextFrame(data)
	if err != nil {
		bhlog.Trace(s.config.Logger, "peer.invalid", "from", from, "err", err)
		return
	}
	handler := s.handlers[frame.Kind]
	if handler == nil {
		s.recordAnswer(frame, from)
		return
	}
	if kind, message := handler(frame); kind != "" {
		s.sendFrame(conn, kind, frame.Stream, message, from)
	}
}

// Ask sends a frame to each peer and returns the answers by the address of their
// sender. It waits until as many answers as peers have arrived, wait has passed or
// ctx is done. It returns nil if there are no peers or Run isn't running.
func (s *Socket) Ask(ctx context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame {
	conn, stream, ask := s.startAsk(len(peers))
	if ask == nil {
		return nil
	}
	for _, peer := range peers {
		s.sendFrame(conn, kind, stream, message, peer)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-ask.done:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, stream)
	s.asks.Inc(int64(ask.expected))
	s.unanswered.Inc(int64(ask.expected - len(ask.answers)))
	return ask.answers
}

// startAsk registers an Ask that expects the given number of answers. It returns
// the connection, the stream number and the Ask, which is nil if the socket isn't
// running or no answer is expected.
func (s *Socket) startAsk(expected int) (*net.UDPConn, uint64, *pendingAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || expected == 0 {
		return nil, 0, nil
	}
	s.lastStream++
	ask := &pendingAsk{answers: make(map[netip.AddrPort]bhwire.Frame, expected), expected: expected, done: make(chan struct{})}
	s.pending[s.lastStream] = ask
	return s.conn, s.lastStream, ask
}

// Tell sends a frame to the peers, to which no answer is expected. The frame has no
// body if message is nil. Tell does nothing if Run isn't running.
func (s *Socket) Tell(kind bhwire.Kind, message any, peers ...netip.AddrPort) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	for _, peer := range peers {
		s.sendFrame(conn, kind, 0, message, peer)
	}
}

// sendFrame sends one frame, with an empty body if message is nil. It only logs
// errors, because datagrams may be lost anyway.
func (s *Socket) sendFrame(conn *net.UDPConn, kind bhwire.Kind, stream uint64, message any, to netip.AddrPort) {
	frame := bhwire.Frame{Kind: kind, Stream: stream}
	var err error
	if message != nil {
		frame, err = bhwire.Encode(kind, stream, message)
	}
	var data []byte
	if err == nil {
		data, err = bhwire.AppendFrame(nil, frame)
	}
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		bhlog.Trace(s.config.Logger, "peer.unsent", "kind", kind, "to", to, "err", err)
	}
}

// recordAnswer adds the frame to the Ask that waits for it. It ignores late and
// duplicate answers.
func (s *Socket) recordAnswer(frame bhwire.Frame, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ask := s.pending[frame.Stream]
	if ask == nil {
		return
	}
	if _, duplicate := ask.answers[from]; duplicate {
		return
	}
	ask.answers[from] = frame
	if len(ask.answers) == ask.expected {
		close(ask.done)
	}
}

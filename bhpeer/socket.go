// Package bhpeer lets the processes of a fleet ask each other for what is worth
// nothing some milliseconds later: an engine's room, a token of an account.
//
// Questions and answers travel in datagrams, unlike the links between entries
// and sidecars: none is repeated, and nothing has to be known of connections
// that fell silent.
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
	// maxDatagram is below the payload of one Ethernet frame.
	maxDatagram = 1400
	// readPause keeps a socket that reports one error after another from spinning.
	readPause = time.Millisecond
)

// Handler takes in a frame and returns the answer; an empty kind sends none. It
// must not block.
type Handler func(frame bhwire.Frame) (bhwire.Kind, any)

// Config configures a Socket.
type Config struct {
	// Address is where the socket listens.
	Address netip.AddrPort
	Logger  bhlog.Logger
	Scope   tally.Scope
}

// Socket exchanges frames with other processes. Answers carry the stream number
// of their question.
type Socket struct {
	config   Config
	asked    tally.Counter
	silent   tally.Counter
	handlers map[bhwire.Kind]Handler

	mu     sync.Mutex
	conn   *net.UDPConn
	serial uint64
	open   map[uint64]*question
}

// question waits for answers of several peers.
type question struct {
	answers map[netip.AddrPort]bhwire.Frame
	wanted  int
	done    chan struct{}
}

// NewSocket returns a socket that neither sends nor receives before Run.
func NewSocket(config Config) *Socket {
	return &Socket{
		config:   config,
		asked:    config.Scope.Counter("peer_asks"),
		silent:   config.Scope.Counter("peer_asks_unanswered"),
		handlers: make(map[bhwire.Kind]Handler),
		open:     make(map[uint64]*question),
	}
}

// Handle registers the handler of a kind of frame. It is called before Run.
func (s *Socket) Handle(kind bhwire.Kind, handler Handler) { s.handlers[kind] = handler }

// Run receives until ctx is done.
func (s *Socket) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.config.Address))
	if err != nil {
		return errors.Wrap(err, "listening for datagrams")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if stop() {
			_ = conn.Close()
		}
	}()
	s.use(conn)
	defer s.use(nil)
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
			time.Sleep(readPause)
		default:
			s.receive(conn, buffer[:n], from)
		}
	}
}

func (s *Socket) use(conn *net.UDPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

func (s *Socket) receive(conn *net.UDPConn, data []byte, from netip.AddrPort) {
	frame, _, err := bhwire.NextFrame(data)
	if err != nil {
		bhlog.Trace(s.config.Logger, "peer.invalid", "from", from, "err", err)
		return
	}
	handler := s.handlers[frame.Kind]
	if handler == nil {
		s.answer(frame, from)
		return
	}
	if kind, message := handler(frame); kind != "" {
		s.write(conn, kind, frame.Stream, message, from)
	}
}

// Ask sends a question to the peers and returns their answers. It waits until
// all have answered, or for the time given.
func (s *Socket) Ask(ctx context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame {
	conn, serial, asked := s.begin(len(peers))
	if asked == nil {
		return nil
	}
	for _, peer := range peers {
		s.write(conn, kind, serial, message, peer)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-asked.done:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, serial)
	s.asked.Inc(int64(asked.wanted))
	s.silent.Inc(int64(asked.wanted - len(asked.answers)))
	return asked.answers
}

// begin opens a question; nil if nobody can be asked.
func (s *Socket) begin(wanted int) (*net.UDPConn, uint64, *question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || wanted == 0 {
		return nil, 0, nil
	}
	s.serial++
	asked := &question{answers: make(map[netip.AddrPort]bhwire.Frame, wanted), wanted: wanted, done: make(chan struct{})}
	s.open[s.serial] = asked
	return s.conn, s.serial, asked
}

// Tell sends a frame that has no body and no answer.
func (s *Socket) Tell(kind bhwire.Kind, peer netip.AddrPort) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn != nil {
		s.write(conn, kind, 0, nil, peer)
	}
}

// write sends one frame. A nil message leaves its body empty.
func (s *Socket) write(conn *net.UDPConn, kind bhwire.Kind, stream uint64, message any, to netip.AddrPort) {
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

// answer takes in the answer to a question, unless it comes late or again.
func (s *Socket) answer(frame bhwire.Frame, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.open[frame.Stream]
	if asked == nil {
		return
	}
	if _, again := asked.answers[from]; again {
		return
	}
	asked.answers[from] = frame
	if len(asked.answers) == asked.wanted {
		close(asked.done)
	}
}

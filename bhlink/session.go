// Package bhlink carries frames between baobabhaven's own processes over
// WebSocket, after both sides have proved that they hold a fleet secret.
package bhlink

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Classes of sessions. Each class has connections of its own, so that a large
// message of one class never delays another.
const (
	ClassLive    = "live"
	ClassControl = "control"
)

// Path is the HTTP path of the link endpoint.
const Path = "/link"

const (
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 10 * time.Second
	defaultQueue     = 256
	// coalesceBytes ends the packing of queued frames into one message.
	coalesceBytes = 32 << 10
	messageLimit  = 2*bhwire.MaxBody + coalesceBytes
)

// Config configures one side of a session.
type Config struct {
	// Self introduces this process; Class and Nonce are filled in.
	Self bhwire.Hello
	// Secrets are the fleet secrets that are offered and accepted.
	Secrets []string
	// Queue is the number of frames that may wait to be sent; zero means 256.
	Queue int
}

// Session is an authenticated connection to one peer.
type Session struct {
	// Peer is the peer's introduction.
	Peer bhwire.Hello

	conn  *websocket.Conn
	queue chan bhwire.Frame
	// message is the latest one received, rest its frames not yet returned.
	message bytes.Buffer
	rest    []byte
	unbind  func() bool
	ctx     context.Context
	cancel  context.CancelFunc
	// closing asks the writer to send what is queued and to end the session.
	closing   chan struct{}
	closeOnce sync.Once
	writer    sync.WaitGroup
}

// Dial opens a session of the given class to the process at address, an IP
// address with a port.
func Dial(ctx context.Context, address, class string, config Config) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	options := &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled}
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, options)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.LinkLost, "dialing "+address)
	}
	if response != nil && response.Body != nil {
		defer response.Body.Close()
	}
	conn.SetReadLimit(messageLimit)
	config.Self.Class = class
	peer, err := shake(ctx, conn, config, true)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newSession(conn, peer, config), nil
}

// Accept answers a dialing peer. The session's class is that of its Peer.
func Accept(w http.ResponseWriter, r *http.Request, config Config) (*Session, error) {
	options := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	conn, err := websocket.Accept(w, r, options)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.LinkRefused, "accepting")
	}
	conn.SetReadLimit(messageLimit)
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	peer, err := shake(ctx, conn, config, false)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newSession(conn, peer, config), nil
}

func newSession(conn *websocket.Conn, peer bhwire.Hello, config Config) *Session {
	size := config.Queue
	if size == 0 {
		size = defaultQueue
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{
		Peer:   peer,
		conn:   conn,
		queue:  make(chan bhwire.Frame, size),
		ctx:    ctx,
		cancel: cancel,

		closing: make(chan struct{}),
	}
	s.writer.Go(s.write)
	return s
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Send queues the frame. It blocks while the queue is full and fails once the
// session has ended. A nil error doesn't mean that the peer received the frame.
func (s *Session) Send(ctx context.Context, frame bhwire.Frame) error {
	if s.ctx.Err() != nil {
		return bhcode.New(bhcode.LinkLost, "session to %s ended", s.Peer.Host)
	}
	select {
	case s.queue <- frame:
		return nil
	case <-s.ctx.Done():
		return bhcode.New(bhcode.LinkLost, "session to %s ended", s.Peer.Host)
	case <-ctx.Done():
		return bhcode.Wrap(ctx.Err(), bhcode.LinkLost, "sending to "+s.Peer.Host)
	}
}

// SendMessage encodes message and sends it on stream.
func (s *Session) SendMessage(ctx context.Context, kind bhwire.Kind, stream uint64, message any) error {
	frame, err := bhwire.Encode(kind, stream, message)
	if err != nil {
		return err
	}
	return s.Send(ctx, frame)
}

// Receive returns the next frame. Only one goroutine may call it, always with
// the same context; the session ends when that is done. A malformed message
// ends the session.
func (s *Session) Receive(ctx context.Context) (bhwire.Frame, error) {
	if s.unbind == nil {
		s.unbind = context.AfterFunc(ctx, s.cancel)
	}
	if len(s.rest) == 0 {
		if err := s.readMessage(); err != nil {
			s.cancel()
			return bhwire.Frame{}, err
		}
	}
	frame, rest, err := bhwire.NextFrame(s.rest)
	if err != nil {
		s.cancel()
		return bhwire.Frame{}, err
	}
	s.rest = rest
	return frame, nil
}

// readMessage reads the next message into the session's buffer. Closing the
// connection ends it, so it needs no context of its own.
func (s *Session) readMessage() error {
	kind, reader, err := s.conn.Reader(context.Background())
	if err != nil {
		return bhcode.Wrap(err, bhcode.LinkLost, "receiving from "+s.Peer.Host)
	}
	if kind != websocket.MessageBinary {
		return bhcode.New(bhcode.FrameInvalid, "text message")
	}
	s.message.Reset()
	if _, err := s.message.ReadFrom(reader); err != nil {
		return bhcode.Wrap(err, bhcode.LinkLost, "receiving from "+s.Peer.Host)
	}
	s.rest = s.message.Bytes()
	return nil
}

// Close sends the frames that are queued, ends the session and waits for its
// writer. Frames sent concurrently with Close may be lost.
func (s *Session) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	s.writer.Wait()
	return nil
}

// Abort ends the session at once. It doesn't wait.
func (s *Session) Abort() { s.cancel() }

// write sends queued frames, packing those that wait into one message, and
// closes the connection when the session ends.
func (s *Session) write() {
	defer func() { _ = s.conn.CloseNow() }()
	defer s.cancel()
	var buf []byte
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.closing:
			s.flush(buf)
			return
		case frame := <-s.queue:
			data, err := s.pack(buf[:0], frame)
			if err != nil {
				return
			}
			buf = data
			if err := s.writeMessage(data); err != nil {
				return
			}
		}
	}
}

// flush sends what is queued and closes the connection in order.
func (s *Session) flush(buf []byte) {
	for {
		select {
		case frame := <-s.queue:
			data, err := s.pack(buf[:0], frame)
			if err != nil {
				return
			}
			if err := s.writeMessage(data); err != nil {
				return
			}
		default:
			_ = s.conn.Close(websocket.StatusNormalClosure, "")
			return
		}
	}
}

func (s *Session) pack(buf []byte, frame bhwire.Frame) ([]byte, error) {
	buf, err := bhwire.AppendFrame(buf, frame)
	for err == nil && len(buf) < coalesceBytes {
		select {
		case next := <-s.queue:
			buf, err = bhwire.AppendFrame(buf, next)
		default:
			return buf, nil
		}
	}
	return buf, err
}

func (s *Session) writeMessage(data []byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageBinary, data)
}

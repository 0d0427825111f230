// Package bhlink carries frames between baobabhaven's own processes over
// WebSocket, after both sides have proved that they hold a fleet secret. Entries
// and sidecars (bhentry, bhmesh, bhsidecar) dial and accept its sessions.
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

// Classes of sessions. Each class has its own connections, so that a large message
// of one class never delays those of another.
const (
	// ClassLive is the class of sessions that carry client requests.
	ClassLive = "live"
	// ClassControl is the class of sessions that carry heartbeats and other control
	// messages.
	ClassControl = "control"
)

// Path is the HTTP path of the link endpoint.
const Path = "/link"

const (
	handshakeTimeout   = 3 * time.Second
	writeTimeout       = 10 * time.Second
	defaultQueueFrames = 256
	// coalesceBytes is the size at which a message takes no more queued frames.
	coalesceBytes   = 32 << 10
	maxMessageBytes = 2*bhwire.MaxBody + coalesceBytes
	// maxHandshakeBytes is the largest message of a peer that hasn't proved who it is.
	maxHandshakeBytes = 8 << 10
)

// Config configures one side of a session.
type Config struct {
	// Self is the hello of this process. Dial sets its Class, and the handshake its
	// Nonce.
	Self bhwire.Hello
	// Secrets are the fleet secrets of this process: it sends a proof under each,
	// and accepts a peer that proves one of them.
	Secrets []string
	// Queue is the number of frames that may be queued to be sent; zero means 256.
	Queue int
}

// Session is an authenticated connection to one peer. Its methods are safe for
// concurrent use, except Receive.
type Session struct {
	// Peer is the peer's hello.
	Peer bhwire.Hello

	conn  *websocket.Conn
	queue chan bhwire.Frame
	// receiveBuffer holds the latest message received, and unread those of its
	// frames that Receive hasn't returned yet.
	receiveBuffer       bytes.Buffer
	unread              []byte
	stopCancelOnContext func() bool
	ctx                 context.Context
	cancel              context.CancelFunc
	// closing is closed to make the writer send the queued frames and end the
	// session.
	closing   chan struct{}
	closeOnce sync.Once
	writer    sync.WaitGroup
}

// Dial opens a session of the given class to the process at address, an IP
// address with a port. It fails after 3 s. The error carries LinkLost if the
// connection failed, FrameInvalid if a message of the handshake is malformed, and
// LinkRefused if the peer isn't accepted.
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
	conn.SetReadLimit(maxHandshakeBytes)
	config.Self.Class = class
	peer, err := handshake(ctx, conn, config, true)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newSession(conn, peer, config), nil
}

// Accept upgrades the request of a dialing peer to a session, whose class is
// Peer.Class. The handshake fails after 3 s. The error carries LinkRefused if the
// request isn't a WebSocket upgrade or the peer isn't accepted, FrameInvalid if a
// message of the handshake is malformed, and LinkLost if the connection failed.
func Accept(w http.ResponseWriter, r *http.Request, config Config) (*Session, error) {
	options := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	conn, err := websocket.Accept(w, r, options)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.LinkRefused, "accepting")
	}
	conn.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	peer, err := handshake(ctx, conn, config, false)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newSession(conn, peer, config), nil
}

func newSession(conn *websocket.Conn, peer bhwire.Hello, config Config) *Session {
	conn.SetReadLimit(maxMessageBytes)
	size := config.Queue
	if size == 0 {
		size = defaultQueueFrames
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
	s.writer.Go(s.writeLoop)
	return s
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Send queues the frame. It blocks while the queue is full, and fails with
// LinkLost once the session has ended or ctx is done. A nil error doesn't mean
// that the peer received the frame.
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

// SendMessage encodes message and queues it as a frame of the stream, as Send
// does.
func (s *Session) SendMessage(ctx context.Context, kind bhwire.Kind, stream uint64, message any) error {
	frame, err := bhwire.Encode(kind, stream, message)
	if err != nil {
		return err
	}
	return s.Send(ctx, frame)
}

// Receive returns the next frame. Only one goroutine may call it, always with
// the same context; the session ends when that context is done. Any error ends
// the session: FrameInvalid for a malformed message, LinkLost for a failed
// connection.
func (s *Session) Receive(ctx context.Context) (bhwire.Frame, error) {
	if s.stopCancelOnContext == nil {
		s.stopCancelOnContext = context.AfterFunc(ctx, s.cancel)
	}
	if len(s.unread) == 0 {
		if err := s.readMessage(); err != nil {
			s.cancel()
			return bhwire.Frame{}, err
		}
	}
	frame, rest, err := bhwire.NextFrame(s.unread)
	if err != nil {
		s.cancel()
		return bhwire.Frame{}, err
	}
	s.unread = rest
	return frame, nil
}

// readMessage reads the next message into the session's buffer. It needs no
// context, since closing the connection makes it return.
func (s *Session) readMessage() error {
	kind, reader, err := s.conn.Reader(context.Background())
	if err != nil {
		return bhcode.Wrap(err, bhcode.LinkLost, "receiving from "+s.Peer.Host)
	}
	if kind != websocket.MessageBinary {
		return bhcode.New(bhcode.FrameInvalid, "text message")
	}
	s.receiveBuffer.Reset()
	if _, err := s.receiveBuffer.ReadFrom(reader); err != nil {
		return bhcode.Wrap(err, bhcode.LinkLost, "receiving from "+s.Peer.Host)
	}
	s.unread = s.receiveBuffer.Bytes()
	return nil
}

// Close sends the queued frames, ends the session and waits for its writer.
// Frames sent concurrently with Close may be lost. The error is always nil.
func (s *Session) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	s.writer.Wait()
	return nil
}

// Abort ends the session at once, without waiting for queued frames to be sent or
// for the writer.
func (s *Session) Abort() { s.cancel() }

// writeLoop sends the queued frames, packed into messages, and closes the
// connection when the session ends.
func (s *Session) writeLoop() {
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
			data, err := s.packFrames(buf[:0], frame)
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

// flush sends the queued frames and closes the connection with a WebSocket close
// frame.
func (s *Session) flush(buf []byte) {
	for {
		select {
		case frame := <-s.queue:
			data, err := s.packFrames(buf[:0], frame)
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

// packFrames appends the frame to buf, followed by the frames that are queued
// until buf holds coalesceBytes.
func (s *Session) packFrames(buf []byte, frame bhwire.Frame) ([]byte, error) {
	buf, err := bhwire.AppendFrame(buf, frame)
	for err == nil && len(buf) < coalesceBytes {
		select {
		case queued := <-s.queue:
			buf, err = bhwire.AppendFrame(buf, queued)
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

// Package bhmesh maintains the control sessions of a process with its peers and
// dispatches the frames received on them. Entries use it for their sessions with
// each other and with sidecars, and sidecars for those with entries.
package bhmesh

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	redialInterval = 300 * time.Millisecond
	// sendTimeout is how long a send waits for space in the session's queue.
	sendTimeout = 50 * time.Millisecond
)

// Handler processes one frame received from peer. An error ends the session.
type Handler func(peer bhwire.Hello, frame bhwire.Frame) error

// Attendant is a task that runs for the lifetime of a session, until ctx is done.
// An error ends the session.
type Attendant func(ctx context.Context, session *bhlink.Session) error

// Config configures a Mesh.
type Config struct {
	Link   bhlink.Config
	Logger bhlog.Logger
}

// Mesh holds at most one control session with each peer: a new session with a peer
// replaces the previous one. Its methods are safe for concurrent use, except Handle
// and Attend, which must be called before the first session.
type Mesh struct {
	config     Config
	handlers   map[bhwire.Kind][]Handler
	attendants []Attendant

	mu       sync.Mutex
	sessions map[string]*bhlink.Session
}

// New returns a mesh without sessions.
func New(config Config) *Mesh {
	return &Mesh{
		config:   config,
		handlers: make(map[bhwire.Kind][]Handler),
		sessions: make(map[string]*bhlink.Session),
	}
}

// Handle adds a handler for frames of the kind. Handlers of a kind are called in
// the order in which they were added.
func (m *Mesh) Handle(kind bhwire.Kind, handler Handler) {
	m.handlers[kind] = append(m.handlers[kind], handler)
}

// Attend adds an attendant that runs for each session.
func (m *Mesh) Attend(attendant Attendant) {
	m.attendants = append(m.attendants, attendant)
}

// Dial maintains a control session with the process at address, an IP address with
// a port, until ctx is done. When the session ends or can't be opened, Dial tries
// again after 300 ms.
func (m *Mesh) Dial(ctx context.Context, address string) {
	for ctx.Err() == nil {
		session, err := bhlink.Dial(ctx, address, bhlink.ClassControl, m.config.Link)
		if err == nil {
			err = m.Serve(ctx, session)
		}
		if ctx.Err() == nil {
			bhlog.Trace(m.config.Logger, "control.redial", "address", address, "err", err)
		}
		bhtree.Sleep(ctx, redialInterval)
	}
}

// Serve handles the session's frames and runs the attendants until the session
// ends or ctx is done, and then closes the session.
func (m *Mesh) Serve(ctx context.Context, session *bhlink.Session) error {
	m.register(session)
	defer m.unregister(session)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.receive(ctx, session) })
	for _, attendant := range m.attendants {
		group.Go(func() error { return attendant(ctx, session) })
	}
	return group.Wait()
}

// Send queues the frame for the peer on host. The error carries LinkLost if there is
// no session with the peer, if the session has ended, or if its queue stays full for
// 50 ms. In the last case, Send aborts the session.
func (m *Mesh) Send(host string, frame bhwire.Frame) error {
	m.mu.Lock()
	session := m.sessions[host]
	m.mu.Unlock()
	if session == nil {
		return bhcode.New(bhcode.LinkLost, "no session with %s", host)
	}
	return m.send(session, frame)
}

// Broadcast sends the frame to all peers with the role, or to all peers if role is
// empty. It logs a failed send and continues with the next peer.
func (m *Mesh) Broadcast(role string, frame bhwire.Frame) {
	for _, session := range m.activeSessions() {
		if role != "" && session.Peer.Role != role {
			continue
		}
		if err := m.send(session, frame); err != nil {
			bhlog.Trace(m.config.Logger, "broadcast.failed", "peer", session.Peer.Host, "err", err)
		}
	}
}

// Peers returns the handshake messages of all connected peers with the role, or of
// all connected peers if role is empty, in no particular order.
func (m *Mesh) Peers(role string) []bhwire.Hello {
	var peers []bhwire.Hello
	for _, session := range m.activeSessions() {
		if role == "" || session.Peer.Role == role {
			peers = append(peers, session.Peer)
		}
	}
	return peers
}

// Connected reports whether there is a session with the peer on host.
func (m *Mesh) Connected(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[host] != nil
}

// Close sends the queued frames of all sessions, ends the sessions and waits for
// that. The error is always nil.
func (m *Mesh) Close() error {
	var wg sync.WaitGroup
	for _, session := range m.activeSessions() {
		wg.Go(func() { _ = session.Close() })
	}
	wg.Wait()
	return nil
}

func (m *Mesh) activeSessions() []*bhlink.Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.sessions))
}

// send queues the frame on the session, and aborts the session if that fails.
func (m *Mesh) send(session *bhlink.Session, frame bhwire.Frame) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	err := session.Send(ctx, frame)
	if err != nil {
		session.Abort()
	}
	return err
}

// receive passes the session's frames to their handlers until the session ends or
// a handler fails.
func (m *Mesh) receive(ctx context.Context, session *bhlink.Session) error {
	for {
		frame, err := session.Receive(ctx)
		if err != nil {
			return err
		}
		for _, handler := range m.handlers[frame.Kind] {
			if err := handler(session.Peer, frame); err != nil {
				bhlog.Problem(m.config.Logger, "control.frame", err, "peer", session.Peer.Host, "kind", frame.Kind)
				return err
			}
		}
	}
}

// register adds the session and aborts the previous one with the same peer.
func (m *Mesh) register(session *bhlink.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if previous := m.sessions[session.Peer.Host]; previous != nil {
		previous.Abort()
	}
	m.sessions[session.Peer.Host] = session
	bhlog.Event(m.config.Logger, "control.open", "peer", session.Peer.Host, "incarnation", session.Peer.Incarnation)
}

// unregister closes the session. It also removes the session, unless a newer one
// with the same peer has replaced it.
func (m *Mesh) unregister(session *bhlink.Session) {
	_ = session.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[session.Peer.Host] == session {
		delete(m.sessions, session.Peer.Host)
	}
	bhlog.Event(m.config.Logger, "control.end", "peer", session.Peer.Host, "incarnation", session.Peer.Incarnation)
}

// Package bhmesh keeps the control sessions of a process with its peers:
// entries with each other and with sidecars.
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
	sendTimeout    = 50 * time.Millisecond
)

// Handler takes in one frame from a peer. An error ends the session.
type Handler func(peer bhwire.Hello, frame bhwire.Frame) error

// Attendant runs beside a session for its whole life. Its error ends the session.
type Attendant func(ctx context.Context, session *bhlink.Session) error

// Config configures a Mesh.
type Config struct {
	Link   bhlink.Config
	Logger bhlog.Logger
}

// Mesh holds at most one control session for each peer; a newer one replaces
// an older one. Handlers and attendants are registered before the first
// session.
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

// Handle registers a handler for frames of the kind.
func (m *Mesh) Handle(kind bhwire.Kind, handler Handler) {
	m.handlers[kind] = append(m.handlers[kind], handler)
}

// Attend registers an attendant for each session.
func (m *Mesh) Attend(attendant Attendant) {
	m.attendants = append(m.attendants, attendant)
}

// Dial keeps a control session with the process at address until ctx is done.
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

// Serve runs the session until it ends or ctx is done, and closes it.
func (m *Mesh) Serve(ctx context.Context, session *bhlink.Session) error {
	m.enter(session)
	defer m.leave(session)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.receive(ctx, session) })
	for _, attendant := range m.attendants {
		group.Go(func() error { return attendant(ctx, session) })
	}
	return group.Wait()
}

// Send sends the frame to the peer. A peer that takes nothing off its queue
// for a while loses its session.
func (m *Mesh) Send(host string, frame bhwire.Frame) error {
	m.mu.Lock()
	session := m.sessions[host]
	m.mu.Unlock()
	if session == nil {
		return bhcode.New(bhcode.LinkLost, "no session with %s", host)
	}
	return m.send(session, frame)
}

// Broadcast sends the frame to all peers of the role, or to all if role is empty.
func (m *Mesh) Broadcast(role string, frame bhwire.Frame) {
	for _, session := range m.list() {
		if role != "" && session.Peer.Role != role {
			continue
		}
		if err := m.send(session, frame); err != nil {
			bhlog.Trace(m.config.Logger, "broadcast.failed", "peer", session.Peer.Host, "err", err)
		}
	}
}

// Peers returns the introductions of all peers of the role, or of all if role
// is empty.
func (m *Mesh) Peers(role string) []bhwire.Hello {
	var peers []bhwire.Hello
	for _, session := range m.list() {
		if role == "" || session.Peer.Role == role {
			peers = append(peers, session.Peer)
		}
	}
	return peers
}

// Connected reports whether there is a session with the host.
func (m *Mesh) Connected(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[host] != nil
}

// Close ends all sessions after what is queued on them was sent.
func (m *Mesh) Close() error {
	var closing sync.WaitGroup
	for _, session := range m.list() {
		closing.Go(func() { _ = session.Close() })
	}
	closing.Wait()
	return nil
}

func (m *Mesh) list() []*bhlink.Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.sessions))
}

func (m *Mesh) send(session *bhlink.Session, frame bhwire.Frame) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	err := session.Send(ctx, frame)
	if err != nil {
		session.Abort()
	}
	return err
}

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

func (m *Mesh) enter(session *bhlink.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.sessions[session.Peer.Host]; old != nil {
		old.Abort()
	}
	m.sessions[session.Peer.Host] = session
	bhlog.Event(m.config.Logger, "control.open", "peer", session.Peer.Host, "incarnation", session.Peer.Incarnation)
}

func (m *Mesh) leave(session *bhlink.Session) {
	_ = session.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[session.Peer.Host] == session {
		delete(m.sessions, session.Peer.Host)
	}
	bhlog.Event(m.config.Logger, "control.end", "peer", session.Peer.Host, "incarnation", session.Peer.Incarnation)
}

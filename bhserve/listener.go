package bhserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// IdleTimeoutPlaceholder is the idle timeout of an http.Server that serves a
	// CallerListener, which replaces it by its own.
	IdleTimeoutPlaceholder = 1000 * time.Hour
	// firstRequestGrace is how long a connection that Drain finds accepted may take
	// to send its first request. Clients send it right after the handshake.
	firstRequestGrace = time.Second
	// drainInterval is the time between two looks at the connections that are left.
	drainInterval = 5 * time.Millisecond
)

// CallerListenerConfig configures a CallerListener.
type CallerListenerConfig struct {
	Listener net.Listener
	// IdleTimeout returns how long a connection may be idle.
	IdleTimeout func() time.Duration
	// WriteBuffer is how much the kernel holds for a caller that doesn't read, in bytes;
	// 0 leaves it to the kernel.
	WriteBuffer int
}

// CallerListener accepts connections of callers and ends them without cutting off a
// request: http.Server.Shutdown closes a connection as idle also while it reads a request
// there, which the handler then passes on without a way to answer.
type CallerListener struct {
	net.Listener
	idleTimeout func() time.Duration
	writeBuffer int

	mu       sync.Mutex
	conns    map[*callerConn]bool
	draining bool
}

// NewCallerListener returns a listener for an http.Server whose idle timeout is
// IdleTimeoutPlaceholder.
func NewCallerListener(config CallerListenerConfig) *CallerListener {
	return &CallerListener{Listener: config.Listener, idleTimeout: config.IdleTimeout, writeBuffer: config.WriteBuffer, conns: make(map[*callerConn]bool)}
}

// Accept implements net.Listener. It returns http.ErrServerClosed after Drain.
func (l *CallerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && l.draining:
		return nil, http.ErrServerClosed
	case err != nil:
		return nil, err
	}
	if socket, ok := accepted.(*net.TCPConn); ok && l.writeBuffer > 0 {
		_ = socket.SetWriteBuffer(l.writeBuffer)
	}
	conn := &callerConn{Conn: accepted, listener: l, idle: true, acceptedAt: time.Now()}
	l.conns[conn] = true
	return conn, nil
}

// Drain accepts no further connections and ends those without a request, until none is
// left or ctx is done. It reports whether none is left. Handlers have to ask callers to
// close their connections.
func (l *CallerListener) Drain(ctx context.Context) bool {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	_ = l.Close()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for l.endIdle() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// endIdle ends the connections without a request and returns the number of connections.
func (l *CallerListener) endIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.endIfIdle()
	}
	return len(l.conns)
}

func (l *CallerListener) remove(conn *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// callerConn is a connection of a caller. It applies the idle timeout of its listener in
// place of that of http.Server, which can't change while it serves.
type callerConn struct {
	net.Conn
	listener   *CallerListener
	acceptedAt time.Time

	mu sync.Mutex
	// idle is true until the first byte of the next request is read. served is set once
	// a request was.
	idle   bool
	served bool
	// ending is set while the read deadline is over because the connection is idle.
	ending bool
}

// NetConn returns the connection that is wrapped.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = false
		if c.ending { // the request came first
			c.ending = false
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. A deadline that http.Server derived from the
// placeholder begins the time between two requests.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !deadline.IsZero() && time.Until(deadline) > IdleTimeoutPlaceholder/2 {
		c.idle, c.served = true, true
		deadline = time.Now().Add(c.listener.idleTimeout())
	}
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// endIfIdle has http.Server close the connection if no byte of a request has arrived
// there. The server sees that its wait for the next request timed out.
func (c *callerConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ending || !c.served && time.Since(c.acceptedAt) < firstRequestGrace || c.hasUnread() {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// hasUnread reports whether bytes have arrived that weren't read yet.
func (c *callerConn) hasUnread() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		count, _, _ = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return count > 0
}

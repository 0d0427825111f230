package bhserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/baobabhaven/baobabhaven/bhguard"
)

const (
	// IdleTimeoutPlaceholder is the idle timeout of an http.Server that serves a
	// CallerListener, which replaces it by its own.
	IdleTimeoutPlaceholder = 1000 * time.Hour
	// HeadTimeoutPlaceholder is the same for the time that a head may take. By the two, the
	// listener knows what the server waits for.
	HeadTimeoutPlaceholder = 100 * time.Hour
	// DefaultHeadTimeout bounds the time for a request's head where nothing else does.
	DefaultHeadTimeout = 10 * time.Second
	// DefaultHeadBytes bounds the size of a head where nothing else does.
	DefaultHeadBytes = 64 << 10
	// maxHeadBytes bounds heads in any case.
	maxHeadBytes = 1 << 20
	// readAhead is how many bytes of a body http.Server may read together with the head.
	readAhead = 4 << 10
	// writeTimeout bounds how long a caller may read nothing of an answer. After stallTimeout its
	// connection may end in favour of others.
	writeTimeout = 30 * time.Second
	stallTimeout = 2 * time.Second
	// writePiece is what a caller has to read within writeTimeout, in bytes.
	writePiece = 32 << 10
	// restTimeout bounds the wait for the rest of a request that isn't used any more.
	restTimeout = time.Second
	// maxRest bounds what is read of a request that was refused, in bytes.
	maxRest = 256 << 10
	// crowdedInterval is the time between two looks for room for a new connection.
	crowdedInterval = time.Millisecond
	// firstRequestGrace is how long a connection that Drain finds accepted may take
	// to send its first request. Clients send it right after the handshake.
	firstRequestGrace = time.Second
	// drainInterval is the time between two looks at the connections that are left.
	drainInterval = 5 * time.Millisecond
)

// CallerListenerConfig configures a CallerListener.
type CallerListenerConfig struct {
	Listener net.Listener
	// Guard decides which connections are kept and how much memory heads take; nil means no
	// bounds.
	Guard *bhguard.Guard
	// IdleTimeout returns how long a connection may be idle.
	IdleTimeout func() time.Duration
	// HeadTimeout returns how long the head of a request may take, and HeadBytes its largest size
	// in bytes. Nil, or a result that isn't positive, means DefaultHeadTimeout and
	// DefaultHeadBytes.
	HeadTimeout func() time.Duration
	HeadBytes   func() int64
	// WriteBuffer is the size in bytes of a connection's buffer for writes; zero leaves it
	// to the system.
	WriteBuffer int
}

// CallerListener accepts connections of callers, bounds what they make the process hold, and ends
// them without cutting off a request: http.Server.Shutdown closes a connection as idle also while
// it reads a request there, which the handler then passes on without a way to answer.
type CallerListener struct {
	net.Listener
	config CallerListenerConfig

	mu       sync.Mutex
	conns    map[*callerConn]bool
	draining bool
}

// NewCallerListener returns a listener for an http.Server whose idle timeout is
// IdleTimeoutPlaceholder. The bounds of heads need one whose timeout for heads is
// HeadTimeoutPlaceholder.
func NewCallerListener(config CallerListenerConfig) *CallerListener {
	if config.Guard == nil {
		config.Guard = bhguard.NewPool(bhguard.PoolConfig{}).NewGuard(bhguard.GuardConfig{})
	}
	return &CallerListener{Listener: config.Listener, config: config, conns: make(map[*callerConn]bool)}
}

// Accept implements net.Listener. It returns http.ErrServerClosed after Drain.
func (l *CallerListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.draining {
				return nil, http.ErrServerClosed
			}
			return nil, err
		}
		for l.config.Guard.Crowded() {
			time.Sleep(crowdedInterval)
		}
		if conn := l.keep(accepted); conn != nil {
			return conn, nil
		}
		_ = accepted.Close()
	}
}

// keep returns the connection that was accepted for the server, or nil if there is no room.
func (l *CallerListener) keep(accepted net.Conn) *callerConn {
	if socket, ok := accepted.(*net.TCPConn); ok && l.config.WriteBuffer > 0 {
		_ = socket.SetWriteBuffer(l.config.WriteBuffer)
	}
	conn := &callerConn{Conn: accepted, listener: l, idle: true, acceptedAt: time.Now()}
	conn.held = l.config.Guard.Open(func() { _ = accepted.Close() })
	if conn.held == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return conn
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

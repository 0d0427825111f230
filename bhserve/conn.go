package bhserve

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhguard"
)

// Answers to requests whose head isn't read to its end.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	headNoRoom   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errHeadRefused ends a connection whose head was refused. http.Server writes no answer of its own
// after an error of a read from the network.
var errHeadRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request's head was refused")}

// callerConn is a connection of a caller. It applies the timeouts of its listener in place of
// those of http.Server, which can't change while it serves, and bounds the heads of requests.
type callerConn struct {
	net.Conn
	listener   *CallerListener
	held       *bhguard.Conn
	acceptedAt time.Time

	mu sync.Mutex
	// idle is true until the first byte of the next request is read. served is set once
	// a request was.
	idle   bool
	served bool
	// ending is set while the read deadline is over because the connection is idle.
	ending bool
	// inHead is set while the server reads a head, which meter measures.
	inHead bool
	meter  bhguard.Meter
	// readDeadline is the one for the body of the present request; zero if there is none.
	readDeadline time.Time
	// writeDeadline is the one that the handler has set; zero if there is none.
	writeDeadline time.Time
}

// NetConn returns the connection that is wrapped.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		if answer := c.arrived(buffer[:n]); answer != "" {
			c.refuse(answer)
			return 0, errHeadRefused
		}
	}
	return n, err
}

// refuse writes the answer and reads a part of what the caller still sends, as closing the
// connection before would take the answer from it.
func (c *callerConn) refuse(answer string) {
	_ = c.Conn.SetDeadline(time.Now().Add(restTimeout))
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return
	}
	if socket, ok := c.Conn.(*net.TCPConn); ok && socket.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, socket, maxRest)
	}
}

// arrived records the bytes that were read. It returns the answer that refuses the request if they
// belong to a head for which there is no room, or "".
func (c *callerConn) arrived(data []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending { // the request came first
		c.ending = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	if c.idle {
		c.idle = false
		c.held.Begin()
		if c.inHead { // the first one on the connection
			_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.headTimeout()))
		}
	}
	if !c.inHead {
		return ""
	}
	cost := c.meter.Add(data)
	if c.meter.Bytes > c.listener.headBytes()+readAhead {
		return headTooLarge
	}
	if !c.held.Hold(cost) {
		return headNoRoom
	}
	return ""
}

// headBytes returns the largest size of a head.
func (l *CallerListener) headBytes() int64 {
	if l.config.HeadBytes != nil {
		if size := l.config.HeadBytes(); size > 0 {
			return min(size, maxHeadBytes)
		}
	}
	return DefaultHeadBytes
}

// headTimeout returns how long a head may take.
func (l *CallerListener) headTimeout() time.Duration {
	if l.config.HeadTimeout != nil {
		if timeout := l.config.HeadTimeout(); timeout > 0 {
			return timeout
		}
	}
	return DefaultHeadTimeout
}

// SetReadDeadline implements net.Conn. A deadline that http.Server derived from one of the
// placeholders begins the time between two requests, or a head. The next one ends the head.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := time.Duration(0)
	if !deadline.IsZero() {
		left = time.Until(deadline)
	}
	switch {
	case left > IdleTimeoutPlaceholder/2:
		c.idle, c.served, c.inHead = true, true, false
		c.held.Rest()
		deadline = time.Now().Add(c.listener.config.IdleTimeout())
	case left > HeadTimeoutPlaceholder/2:
		c.inHead, c.meter = true, bhguard.Meter{}
		timeout := c.listener.headTimeout()
		if c.idle { // no byte has come yet
			timeout = max(timeout, DefaultHeadTimeout)
		}
		deadline = time.Now().Add(timeout)
	default:
		c.inHead = false
	}
	c.readDeadline = deadline
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// limitRest bounds the wait for what a handler has left of a body, which the server reads.
func (c *callerConn) limitRest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if deadline := time.Now().Add(restTimeout); c.readDeadline.IsZero() || deadline.Before(c.readDeadline) {
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// Write implements net.Conn. Unless the handler has set a deadline, the caller has to read each
// piece in time.
func (c *callerConn) Write(data []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePiece(data[:min(len(data), writePiece)])
		written += n
		data = data[n:]
		if err != nil || len(data) == 0 {
			return written, err
		}
	}
}

// writePiece writes the piece, and records if that takes long.
func (c *callerConn) writePiece(piece []byte) (int, error) {
	limit := time.Now().Add(writeTimeout)
	c.limitWrite(limit, stallTimeout)
	n, err := c.Conn.Write(piece)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.limitWrite(limit, writeTimeout) {
		return n, err
	}
	c.held.Stall()
	more, err := c.Conn.Write(piece[n:])
	if err == nil {
		c.held.Work()
	}
	return n + more, err
}

// limitWrite sets the deadline for a write: that of the handler, or else the limit, but not later
// than after the time. It reports whether the deadline is yet to come.
func (c *callerConn) limitWrite(limit time.Time, most time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeDeadline.IsZero() {
		limit = c.writeDeadline
	}
	now := time.Now()
	if !limit.After(now) {
		_ = c.Conn.SetWriteDeadline(limit)
		return false
	}
	if soon := now.Add(most); soon.Before(limit) {
		limit = soon
	}
	_ = c.Conn.SetWriteDeadline(limit)
	return true
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.remove(c)
	c.held.Close()
	return c.Conn.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection on which the request of the context came, or nil.
func connOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(connKey{}).(*callerConn)
	return conn
}

// HoldHead takes memory for further copies of the head of the request whose context is given, in
// bytes, until it is answered. It reports whether there is room.
func HoldHead(ctx context.Context, bytes int64) bool {
	conn := connOf(ctx)
	return conn == nil || conn.held.Hold(bytes)
}

// Keep records that the connection of the request has become a link to a known peer, which doesn't
// end in favour of others and is read all the time.
func Keep(ctx context.Context) {
	conn := connOf(ctx)
	if conn == nil {
		return
	}
	conn.held.Work()
	if socket, ok := conn.Conn.(*net.TCPConn); ok {
		_ = socket.SetReadBuffer(linkReadBuffer)
	}
}

// ExpectBody makes room in the kernel for a body, or a part of one, that the process is about to
// read, in bytes. The caller has to have the memory for it.
func ExpectBody(ctx context.Context, bytes int64) {
	conn := connOf(ctx)
	if conn == nil || bytes <= bhguard.ReadBuffer {
		return
	}
	if socket, ok := conn.Conn.(*net.TCPConn); ok {
		_ = socket.SetReadBuffer(int(min(bytes, maxReadBuffer)))
	}
}

// maxReadBuffer and linkReadBuffer are the largest kernel's buffers for the body of one request and
// for a link, in bytes. The system may bound them further.
const (
	maxReadBuffer  = 256 << 10
	linkReadBuffer = 1 << 20
)

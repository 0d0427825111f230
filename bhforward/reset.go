package bhforward

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// maxWrite is the most that is written at once, in bytes, so that a long upload shows its progress.
const maxWrite = 64 << 10

// pendingWriteWait bounds the wait for a write that is under way when a read sees the end of the
// connection. One that has taken a reset returns at once.
const pendingWriteWait = time.Second

// resetConn is a connection whose reads tell an orderly end from a reset that a write has taken:
// the kernel reports a reset to one call alone, and the next read returns io.EOF.
type resetConn struct {
	net.Conn

	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
	// pending is closed when the write that is under way has ended; nil if there is none.
	pending chan struct{}
}

// DialDetectingResets returns a function for http.Transport.DialContext that connects by the dialer
// and detects resets as DetectResets does.
func DialDetectingResets(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return DetectResets(conn), nil
	}
}

// DetectResets returns the connection with a Read that fails with io.ErrUnexpectedEOF, instead of
// io.EOF, if a write has failed. Its reads and writes may be concurrent, but not its writes.
func DetectResets(conn net.Conn) net.Conn { return &resetConn{Conn: conn} }

// Write implements net.Conn.
func (c *resetConn) Write(data []byte) (int, error) {
	return c.writeAll(&net.Buffers{data}, func() {})
}

// writeAll writes the buffers, and calls progress for each part that the connection has taken.
func (c *resetConn) writeAll(data *net.Buffers, progress func()) (int, error) {
	done := make(chan struct{})
	c.mu.Lock()
	c.pending = done
	c.mu.Unlock()
	var n int64
	var err error
	for part := cutFront(data, maxWrite); len(part) > 0 && err == nil; part = cutFront(data, maxWrite) {
		var written int64
		written, err = part.WriteTo(c.Conn)
		n += written
		progress()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.pending = nil
	close(done)
	return int(n), err
}

// boundWriteBuffer sets the size of the kernel's buffer for what was written and not yet taken, in
// bytes. A connection that isn't TCP's keeps its own.
func (c *resetConn) boundWriteBuffer(size int) {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetWriteBuffer(size) // without it the kernel's default holds
	}
}

// cutFront removes up to limit bytes from the front of the buffers and returns them.
func cutFront(data *net.Buffers, limit int) net.Buffers {
	var front net.Buffers
	for len(*data) > 0 && limit > 0 {
		first := (*data)[0]
		if len(first) > limit {
			(*data)[0] = first[limit:]
			return append(front, first[:limit])
		}
		front, limit = append(front, first), limit-len(first)
		*data = (*data)[1:]
	}
	return front
}

// Read implements net.Conn.
func (c *resetConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	if writeErr := c.failedWrite(); writeErr != nil {
		return n, &resetError{cause: writeErr}
	}
	return n, err
}

// failedWrite returns the error of a write that failed, or nil. It waits for a write that is under
// way, pendingWriteWait at most.
func (c *resetConn) failedWrite() error {
	c.mu.Lock()
	pending, err := c.pending, c.writeErr
	c.mu.Unlock()
	if pending == nil || err != nil {
		return err
	}
	timeout := time.NewTimer(pendingWriteWait)
	defer timeout.Stop()
	select {
	case <-pending:
	case <-timeout.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// resetError reports the end of a connection on which a write has failed. It is io.ErrUnexpectedEOF
// and the write's error.
type resetError struct{ cause error }

// Error implements error.
func (e *resetError) Error() string {
	return "the connection ended after a write failed: " + e.cause.Error()
}

// Unwrap implements the interface of errors.Is.
func (e *resetError) Unwrap() []error { return []error{io.ErrUnexpectedEOF, e.cause} }

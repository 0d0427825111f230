// Package bhforward sends HTTP/1.1 requests to upstreams, byte for byte and
// each at most once. It reports whether a failed request may have run.
package bhforward

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// dialTimeout is many round trips within a region, and leaves time for
	// another upstream within a latency objective of 300 ms.
	dialTimeout = 150 * time.Millisecond
	// userTimeout bounds unacknowledged bytes, so that a silent peer is noticed.
	userTimeout = 3 * time.Second
	// idleLimit is shorter than the idle timeouts that servers usually have.
	idleLimit = 2 * time.Second
	// idlePerAddress bounds kept connections, since upstreams limit them.
	idlePerAddress = 4

	readBuffer = 4 << 10
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	idle   time.Time
	limit  time.Duration
}

// usable reports whether an idle connection is open and holds no stray bytes.
func (c *conn) usable() bool {
	if time.Since(c.idle) > c.limit || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Pool keeps idle connections to upstreams. Its zero value is not usable.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: UserTimeout(userTimeout)},
		idle:   make(map[string][]*conn),
	}
}

// Run closes connections that have been idle for too long until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	for bhtree.Sleep(ctx, idleLimit) {
		p.prune()
	}
	return nil
}

// prune closes the connections that wouldn't be used any more.
func (p *Pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		// The longest idle ones come first.
		for len(list) > 0 && time.Since(list[0].idle) > idleLimit {
			_ = list[0].Close()
			list = list[1:]
		}
		if p.idle[address] = list; len(list) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
	return nil
}

// get returns an idle connection if reuse is true and there is one, or a new one.
func (p *Pool) get(ctx context.Context, address string, reuse bool) (*conn, bool, error) {
	for reuse {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.usable() {
			return c, true, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), limit: idleLimit}, false, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address string, c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= idlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// UserTimeout returns the Control of a dialer whose connections end when sent
// bytes aren't acknowledged within the limit.
func UserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

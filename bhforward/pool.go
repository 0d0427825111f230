// Package bhforward sends HTTP/1.1 requests to upstreams, with target and body
// unchanged and each at most once, and reports whether a failed request may have
// run. Gateways, job runners and the reader of engine load reports call it.
package bhforward

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// dialTimeout allows many round trips within a region and leaves time to try
	// another upstream within a latency objective of 300 ms.
	dialTimeout = 150 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails, so that an unreachable upstream is detected.
	userTimeout = 3 * time.Second
	// maxIdleTimeout is shorter than the usual idle timeouts of servers. It applies
	// where the upstream declares none.
	maxIdleTimeout = 2 * time.Second
	// maxDeclaredIdleTimeout bounds the idle time of one connection to an upstream
	// that declares a longer timeout. Further ones rest for maxIdleTimeout at most.
	maxDeclaredIdleTimeout = 10 * time.Second
	// maxIdlePerAddress bounds the idle connections to one upstream, because
	// upstreams limit their number of connections.
	maxIdlePerAddress = 4

	// maxCarried is the number of requests after which a connection isn't used again. It
	// bounds what a connection remembers of them, 8 bytes each.
	maxCarried = 256

	readBufferSize = 4 << 10 // bytes
	// maxHeadBytes bounds what is read for the head of an answer, interim answers
	// included. Bytes that are no answer may come without end.
	maxHeadBytes = 64 << 10
	// socketReadBuffer is the size of the kernel's buffer, in bytes, for what an upstream sent that
	// isn't read yet. It takes some hundred events.
	socketReadBuffer = 32 << 10
	// defaultAnswers is PoolConfig.Answers of a process without a limit of its memory, in bytes.
	defaultAnswers = 16 << 20
)

// conn is one connection to an upstream. It isn't reused after idleTimeout, which
// is maxIdleTimeout or follows from the value that the upstream declared.
type conn struct {
	*resetConn
	reader *bufio.Reader
	// headBytes is how many bytes may still be read for the present head; negative
	// while no head is read.
	headBytes int
	// head is the memory for the present head, which takes headCost bytes by what meter estimates.
	head     *bhspool.Share
	headCost int64
	meter    bhguard.Meter
	// idleSince is when the connection was returned to the pool.
	idleSince   time.Time
	idleTimeout time.Duration
	// carried holds the hashes of the IDs of the requests that were sent.
	carried []uint64
}

// carries records that the request is sent on the connection.
func (c *conn) carries(request *Request) {
	if request.IDHeader != "" {
		c.carried = append(c.carried, request.idHash())
	}
}

// hasCarried reports whether a request with the same ID was sent on the connection. Its
// answer may come a second time, and couldn't be told from the answer to the request.
func (c *conn) hasCarried(request *Request) bool {
	return request.IDHeader != "" && slices.Contains(c.carried, request.idHash())
}

// newConn returns a connection that reads through a buffer.
func newConn(netConn net.Conn) *conn {
	c := &conn{resetConn: &resetConn{Conn: netConn}, headBytes: -1, idleTimeout: maxIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read implements io.Reader. It fails within a head that exceeds maxHeadBytes, or for which there
// is no memory.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.headBytes == 0 {
		return 0, errors.Errorf("the head of the answer has more than %d bytes", maxHeadBytes)
	}
	if c.headBytes > 0 {
		buffer = buffer[:min(len(buffer), c.headBytes)]
	}
	n, err := c.resetConn.Read(buffer)
	if c.headBytes > 0 {
		c.headBytes -= n
		c.headCost += c.meter.Add(buffer[:n])
		if !c.head.Resize(c.headCost) {
			return 0, errors.Errorf("no memory for the head of an answer of more than %d bytes", c.meter.Bytes)
		}
	}
	return n, err
}

// usable reports whether an idle connection may be reused: it has rested for
// maxRest and its idle timeout at most, is still open and has no unexpected bytes
// to read.
func (c *conn) usable(maxRest time.Duration) bool {
	if c.rested() > min(c.idleTimeout, maxRest) || c.reader.Buffered() > 0 {
		return false
	}
	rawConn, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = err == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// rested returns how long the connection has been idle.
func (c *conn) rested() time.Duration { return time.Since(c.idleSince) }

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Answers is the memory that all heads of answers share, beyond bhguard.GuaranteedHead each. Nil
	// means one of 16 MiB.
	Answers *bhspool.Pool
}

// Pool keeps idle connections to upstreams. Use NewPool or NewPoolOf to create one.
type Pool struct {
	dialer  net.Dialer
	answers *bhspool.Pool

	mu   sync.Mutex
	idle map[string][]*conn // sorted by idleSince, oldest first
	// rests is learned from idle connections that upstreams had forgotten.
	rests RestLimit
}

// NewPool returns a pool without connections for a process without a limit of its memory.
func NewPool() *Pool { return NewPoolOf(PoolConfig{}) }

// NewPoolOf returns a pool without connections.
func NewPoolOf(config PoolConfig) *Pool {
	if config.Answers == nil {
		config.Answers = bhspool.NewPool(defaultAnswers)
	}
	return &Pool{
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setSocketOptions},
		answers: config.Answers,
		idle:    make(map[string][]*conn),
	}
}

// setSocketOptions bounds the time that sent bytes may stay unacknowledged, and what the kernel
// holds of an answer that isn't read.
func setSocketOptions(network, address string, raw syscall.RawConn) error {
	if err := UserTimeout(userTimeout)(network, address, raw); err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		// Without it the kernel's default holds.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketReadBuffer)
	})
}

// Refuses reports whether a new connection to the address is refused, because no
// process listens there. An address that doesn't answer isn't known to be refused.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = netConn.Close()
	return false
}

// Idle reports whether the pool has a connection to the address that has rested for
// maxRest at most. The connection may turn out to be closed.
func (p *Pool) Idle(address string, maxRest time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return false
	}
	newest := conns[len(conns)-1]
	return newest.rested() <= min(newest.idleTimeout, maxRest, p.rests.Current(time.Now()))
}

// Run closes connections that have been idle for too long, at intervals of
// maxIdleTimeout, until ctx is done. It returns nil.
func (p *Pool) Run(ctx context.Context) error {
	for bhtree.Sleep(ctx, maxIdleTimeout) {
		p.prune()
	}
	return nil
}

// prune closes the connections that have been idle for too long: the newest of each
// address after its idle timeout, others after maxIdleTimeout.
func (p *Pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		for len(conns) > 0 {
			allowed := conns[0].idleTimeout
			if len(conns) > 1 {
				allowed = min(allowed, maxIdleTimeout)
			}
			if conns[0].rested() <= allowed {
				break
			}
			_ = conns[0].Close()
			conns = conns[1:]
		}
		if p.idle[address] = conns; len(conns) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes the idle connections. It returns nil.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(p.idle)
	return nil
}

// get returns a connection to the address for the request and how long it was idle
// before. It dials a new one, which was idle for zero, if no connection is usable after
// the request's MaxRest at most or all of them have carried the request's ID.
func (p *Pool) get(ctx context.Context, address string, request *Request) (*conn, time.Duration, error) {
	maxRest := request.MaxRest
	for maxRest > 0 {
		c := p.pop(address, request)
		if c == nil {
			break
		}
		rested := max(c.rested(), 1)
		if c.usable(min(maxRest, p.restLimit())) {
			return c, rested, nil
		}
		if rested > maxRest {
			p.restore(address, c) // others may rest longer; older ones have, too
			break
		}
		_ = c.Close()
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, 0, err
	}
	c := newConn(netConn)
	c.head = p.answers.Open(bhguard.GuaranteedHead)
	return c, 0, nil
}

func (p *Pool) restLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rests.Current(time.Now())
}

// forgotten records that an upstream had forgotten a connection that rested for the
// time.
func (p *Pool) forgotten(rested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests.Forgotten(rested, time.Now())
}

// pop removes and returns the connection to the address that has been idle for the
// shortest time, of those that haven't carried the request's ID. It returns nil if there is
// none.
func (p *Pool) pop(address string, request *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !c.hasCarried(request) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// restore puts back a connection that pop returned and that wasn't used.
func (p *Pool) restore(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
	slices.SortFunc(p.idle[address], func(a, b *conn) int { return a.idleSince.Compare(b.idleSince) })
}

// put returns a connection to the pool, or closes it if it has carried maxCarried requests.
func (p *Pool) put(address string, c *conn) {
	if len(c.carried) >= maxCarried {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) >= maxIdlePerAddress {
		_ = conns[0].Close()
		conns = conns[1:]
	}
	p.idle[address] = append(conns, c)
}

// UserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT:
// a connection fails when sent bytes stay unacknowledged for longer than the
// timeout, which is rounded down to milliseconds.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}

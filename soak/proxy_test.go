package soak

import (
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// proxyMode is what a proxy does with bytes.
type proxyMode int

const (
	pass proxyMode = iota
	// delay holds each piece back for a while.
	delay
	// refuse resets new and open connections.
	refuse
	// silence takes bytes in both directions and passes none on.
	silence
	// deaf passes requests on and drops what comes back.
	deaf
	proxyModes
)

const (
	proxyDelay  = 120 * time.Millisecond
	proxyBuffer = 16 << 10
)

// proxy is a loopback proxy that misbehaves on demand.
type proxy struct {
	target string

	mu sync.Mutex
	// listener is closed while the proxy is down.
	listener net.Listener
	mode     proxyMode
	conns    map[net.Conn]bool
	// flooded is called if a connection reads over maxBabble bytes of answers; nil if
	// that doesn't matter.
	flooded func()
}

// newProxy returns a proxy to the target that listens on the IP.
func newProxy(t *testing.T, ip, target string) *proxy {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.run(listener)
	t.Cleanup(p.down)
	return p
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// down refuses new connections and resets the open ones, like a process that ends.
func (p *proxy) down() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

// up listens again after down. It reports false if the port is taken for the moment.
func (p *proxy) up() bool {
	listener, err := net.Listen("tcp", p.address())
	if err != nil {
		return false
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go p.run(listener)
	return true
}

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	if mode == refuse {
		p.reset()
	}
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

func (p *proxy) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(near net.Conn) {
	p.enter(near)
	defer p.leave(near)
	if p.current() == refuse {
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.enter(far)
	defer p.leave(far)
	back := make(chan struct{})
	go func() {
		defer close(back)
		if silenced := p.pipe(near, far, true); !silenced {
			near.Close()
		}
	}()
	p.pipe(far, near, false)
	far.Close()
	<-back
}

// pipe passes bytes on. A connection that fell silent stays so for good, which pipe
// reports: its end must not be passed on either, or an answer without the bytes that were
// dropped would look complete.
func (p *proxy) pipe(to, from net.Conn, answers bool) (silenced bool) {
	buffer := make([]byte, proxyBuffer)
	passed := 0
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if err != io.EOF {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}
			return silenced
		}
		switch p.current() {
		case delay:
			time.Sleep(proxyDelay)
		case silence:
			silenced = true
		case deaf:
			silenced = silenced || answers
		case refuse:
			return false
		}
		if silenced {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return false
		}
		if passed += n; answers && passed > maxBabble && p.flooded != nil {
			p.flooded()
			return false
		}
	}
}

func (p *proxy) enter(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

func (p *proxy) leave(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// TestSilentConnectionHasNoEnd guards against a finding that isn't one: an answer whose last
// bytes the proxy dropped, and whose orderly end it passed on.
func TestSilentConnectionHasNoEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	silenced := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("part"))
		<-silenced
		_, _ = conn.Write([]byte("rest"))
		conn.Close()
	}()
	p := newProxy(t, "127.0.0.1", listener.Addr().String())
	conn, err := net.Dial("tcp", p.address())
	require.NoError(t, err)
	defer conn.Close()
	part := make([]byte, 4)
	_, err = io.ReadFull(conn, part)
	require.NoError(t, err)
	p.set(deaf)
	close(silenced)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, err = conn.Read(part)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

package bhstand

import (
	"net"
	"time"
)

const (
	// linkBuffer is the size of the kernel's buffer of a Link's connections, and linkChunk the most
	// that is read at once, in bytes.
	linkBuffer = 256 << 10
	linkChunk  = 32 << 10
)

// Link is a listener of TCP whose connections deliver Rate bytes a second.
type Link struct {
	net.Listener
	Rate int
}

// Accept implements net.Listener.
func (l Link) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkConn{Conn: conn, rate: l.Rate}, conn.(*net.TCPConn).SetReadBuffer(linkBuffer)
}

// linkConn is a connection of a Link.
type linkConn struct {
	net.Conn
	rate int
}

// Read implements net.Conn.
func (c linkConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer[:min(len(buffer), linkChunk)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}

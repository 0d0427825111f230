package bhserve

import (
	"net"
	"net/http"
)

// Abort ends the handler of a request whose answer has begun and can't be completed,
// so that the caller sees that it is incomplete. It doesn't return.
//
// Aborting the connection is enough where the answer has a length or chunks. To a
// caller of HTTP/1.0 it ends with its connection, which is therefore reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection without an orderly end.
func reset(conn net.Conn) {
	for inner := conn; ; {
		if socket, ok := inner.(interface{ SetLinger(seconds int) error }); ok {
			_ = socket.SetLinger(0)
			break
		}
		wrapper, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = wrapper.NetConn()
	}
	_ = conn.Close()
}

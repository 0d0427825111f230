// Package bhserve opens listeners and runs HTTP servers as children of a
// supervisor tree. Packages bhcmd, bhentry and bhsidecar use it for the servers
// of the daemons.
package bhserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// idleTimeout bounds the time between two requests of a caller that isn't a client.
const idleTimeout = 2 * time.Minute

// Listen opens a TCP listener on each address (host:port). If one can't be
// opened, it closes the others and returns an error.
func Listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		// The size of the buffer is that of the connections that are accepted.
		config := net.ListenConfig{Control: setReadBuffer}
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, errors.Wrap(err, "listening")
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// setReadBuffer bounds what the kernel holds of a connection that isn't read.
func setReadBuffer(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bhguard.ReadBuffer)
	})
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Callers CallerListenerConfig
	Handler http.Handler
	// Links says that connections become links, which Keep records once they are.
	Links  bool
	Logger bhlog.Logger
}

// Server is an HTTP server that bounds what its callers make it hold.
type Server struct {
	*http.Server
	Callers *CallerListener
}

// NewServer returns a server. It closes idle connections after two minutes if the configuration
// doesn't say when.
func NewServer(config ServerConfig) *Server {
	if config.Callers.IdleTimeout == nil {
		config.Callers.IdleTimeout = func() time.Duration { return idleTimeout }
	}
	handler := config.Handler
	if !config.Links {
		handler = awaitBody(handler)
	}
	return &Server{
		Callers: NewCallerListener(config.Callers),
		Server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: HeadTimeoutPlaceholder,
			IdleTimeout:       IdleTimeoutPlaceholder,
			MaxHeaderBytes:    maxHeadBytes,
			ErrorLog:          bhlog.NewStandard(config.Logger, "server.error"),
			ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, conn)
			},
			// Routes may match the raw request target.
			DisableGeneralOptionsHandler: true,
		},
	}
}

// Run returns a child of a supervisor tree that serves, and closes the server when the tree
// stops. After a Shutdown of the server or a Drain of its connections, the child waits
// until the tree stops, because a child that ends would stop the tree. It returns
// an error if serving fails for another reason. The requests' contexts are cancelled with base.
func (s *Server) Run(base context.Context) bhtree.Run {
	s.BaseContext = func(net.Listener) context.Context { return base }
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		err := s.Serve(s.Callers)
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serving")
		}
		<-ctx.Done()
		return nil
	}
}

// awaitBody returns a handler that records when a request has arrived as a whole, and bounds the
// wait for what the handler leaves of it. If the port is full, the caller is asked to close its
// connection, so that requests sent one after the other don't keep others out.
func awaitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r.Context())
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		if conn.listener.config.Guard.Full() {
			w.Header().Set("Connection", "close")
		}
		if r.Body == nil || r.Body == http.NoBody {
			conn.held.Work()
			next.ServeHTTP(w, r)
			return
		}
		body := &awaitedBody{ReadCloser: r.Body, conn: conn}
		r.Body = body
		defer func() {
			if !body.arrived.Load() {
				conn.limitRest()
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// awaitedBody records when the body of a request has been read.
type awaitedBody struct {
	io.ReadCloser
	conn    *callerConn
	arrived atomic.Bool
}

// Read implements io.Reader.
func (b *awaitedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && !b.arrived.Swap(true) {
		b.conn.held.Work()
	}
	return n, err
}

// Package bhserve opens listeners and runs HTTP servers as children of a
// supervisor tree. Packages bhcmd, bhentry and bhsidecar use it for the servers
// of the daemons.
package bhserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Limits of all servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Listen opens a TCP listener on each address (host:port). If one can't be
// opened, it closes the others and returns an error.
func Listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
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

// NewServer returns a server whose requests' contexts are cancelled with ctx.
func NewServer(ctx context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// Run returns a child of a supervisor tree that serves on listener, and closes
// the server when the tree stops. After a Shutdown of the server, the child waits
// until the tree stops, because a child that ends would stop the tree. It returns
// an error if serving fails for another reason.
func Run(server *http.Server, listener net.Listener) bhtree.Run {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serving")
		}
		<-ctx.Done()
		return nil
	}
}

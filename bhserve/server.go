// Package bhserve runs the HTTP servers of daemons.
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

// Listen opens a listener on each address, or on none if one can't be opened.
func Listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, errors.Wrap(err, "listening")
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// NewServer returns a server whose requests end with ctx.
func NewServer(ctx context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// Run returns the child of a supervisor tree that serves on listener. A server
// that is shut down keeps its child until the tree stops.
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

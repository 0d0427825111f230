package bhgate

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// acceptAfterStop is how long a stopping gateway still accepts connections:
	// two readiness checks a second apart have to miss first.
	acceptAfterStop = 3500 * time.Millisecond
	// stopMargin is what is left of the drain time when the last request is broken off.
	stopMargin = 700 * time.Millisecond
	// idleByPolicy stands for the idle timeout of the policy in force.
	idleByPolicy = 1000 * time.Hour
	// defaultIdle holds until a policy is known.
	defaultIdle = 60 * time.Second
	// listenPause is between attempts to listen.
	listenPause = 200 * time.Millisecond
	// headerTimeout and headerBytes hold whatever the policy says, which clients
	// of these fleets stay within.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Gate  *Gate
	Front string
	Ready string
	// Drain returns the time between the signal to stop and the kill.
	Drain func() time.Duration
	// Index returns the policy in force, or nil.
	Index  func() *bhpolicy.Index
	Logger bhlog.Logger
}

// Server runs a gate's listeners.
type Server struct {
	config ServerConfig
	front  *http.Server
	ready  *http.Server
}

// NewServer returns a server that doesn't listen yet.
func NewServer(config ServerConfig) *Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Any("/*", echo.WrapHandler(http.HandlerFunc(config.Gate.Ready)))
	return &Server{
		config: config,
		front: &http.Server{
			// The raw request target counts, so there is no router before the gate.
			Handler:                      config.Gate,
			ReadHeaderTimeout:            headerTimeout,
			MaxHeaderBytes:               headerBytes,
			IdleTimeout:                  idleByPolicy,
			DisableGeneralOptionsHandler: true,
		},
		ready: &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdle},
	}
}

// Run serves until ctx is done and then stops gracefully: it turns not ready,
// accepts until the balancer knows, and finishes what is in flight.
func (s *Server) Run(ctx context.Context) error {
	front, ready := s.listen(ctx, s.config.Front), s.listen(ctx, s.config.Ready)
	if front == nil || ready == nil {
		return nil // stopped before there were listeners
	}
	failed := make(chan error, 2)
	go func() { failed <- s.front.Serve(&idleListener{Listener: front, idle: s.idle}) }()
	go func() { failed <- s.ready.Serve(ready) }()
	bhlog.Event(s.config.Logger, "gate.serving", "front", s.config.Front, "ready", s.config.Ready)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
	}
	return s.stop()
}

// listen listens on the address, again and again until ctx is done: the port may
// still be in use by a process before this one.
func (s *Server) listen(ctx context.Context, address string) net.Listener {
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		bhlog.Problem(s.config.Logger, "listen.failed", err, "address", address)
		if !bhtree.Sleep(ctx, listenPause) {
			return nil
		}
	}
}

func (s *Server) stop() error {
	started := time.Now()
	drain := s.config.Drain()
	bhlog.Event(s.config.Logger, "gate.stopping", "inflight", s.config.Gate.Inflight(), "drain", drain)
	s.config.Gate.Drain()
	time.Sleep(min(acceptAfterStop, drain/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(drain-stopMargin))
	defer cancel()
	err := s.front.Shutdown(ctx)
	if err != nil {
		bhlog.Problem(s.config.Logger, "gate.cut", err, "inflight", s.config.Gate.Inflight())
		_ = s.front.Close()
	}
	_ = s.ready.Close()
	bhlog.Event(s.config.Logger, "gate.stopped", "took", time.Since(started))
	return nil
}

// idle returns how long a client's connection may be idle.
func (s *Server) idle() time.Duration {
	if index := s.config.Index(); index != nil && index.Policy.Limits.IdleTimeout > 0 {
		return index.Policy.Limits.IdleTimeout
	}
	return defaultIdle
}

// idleListener hands out connections whose idle timeout follows the policy.
type idleListener struct {
	net.Listener
	idle func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: accepted, idle: l.idle}, nil
}

// idleConn replaces the idle timeout of http.Server, which can't change while
// it serves.
type idleConn struct {
	net.Conn
	idle func() time.Duration
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && time.Until(deadline) > idleByPolicy/2 {
		deadline = time.Now().Add(c.idle())
	}
	return c.Conn.SetReadDeadline(deadline)
}

package bhgate

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// defaultIdleTimeout applies to client requests if no policy is known or the policy
	// sets no idle timeout.
	defaultIdleTimeout = 60 * time.Second
	// listenRetryDelay is the delay between attempts to listen.
	listenRetryDelay = 200 * time.Millisecond
	// clientWriteBuffer bounds what the kernel holds for a client that doesn't read. By
	// itself it would let that grow to some megabytes.
	clientWriteBuffer = 128 << 10
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Gate *Gate
	// Front is the address for client requests.
	Front string
	// Ready is the address for readiness checks.
	Ready string
	// Ports creates the servers at these addresses. If it is nil, nothing bounds what callers
	// make the process hold together.
	Ports *bhserve.Ports
	// Drain returns the time between the signal to stop and the kill.
	Drain func() time.Duration
	// Index returns the policy in force, or nil.
	Index  func() *bhpolicy.Index
	Logger bhlog.Logger
}

// Server listens for client requests and readiness checks, and stops gracefully.
type Server struct {
	config ServerConfig
	// handler serves client requests.
	handler http.Handler
}

// NewServer returns a server that doesn't listen yet.
func NewServer(config ServerConfig) *Server {
	if config.Ports == nil {
		config.Ports = bhserve.NewPorts(bhserve.PortsConfig{Logger: config.Logger})
	}
	return &Server{config: config, handler: config.Gate}
}

// newFront returns the server for client requests. Routes match the raw request target, so that
// no router which cleans it stands before the gate.
func (s *Server) newFront(listener net.Listener) *bhserve.Server {
	return s.config.Ports.Callers(bhserve.CallerListenerConfig{
		Listener:    listener,
		WriteBuffer: clientWriteBuffer,
		IdleTimeout: s.idleTimeout,
		HeadTimeout: func() time.Duration { return s.limits().HeadTimeout },
		HeadBytes:   func() int64 { return s.limits().HeadBytes },
	}, s.handler)
}

// newReady returns the server for readiness checks.
func (s *Server) newReady(listener net.Listener) *bhserve.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Any("/*", echo.WrapHandler(http.HandlerFunc(s.config.Gate.Ready)))
	return s.config.Ports.Operators(listener, e)
}

// Run serves until ctx is done and then stops gracefully: it reports not ready,
// accepts connections until the load balancer has noticed, and finishes the
// requests in flight. It returns an error if a listener fails.
func (s *Server) Run(ctx context.Context) error {
	listeners := [2]net.Listener{s.listen(ctx, s.config.Front), s.listen(ctx, s.config.Ready)}
	if listeners[0] == nil || listeners[1] == nil {
		return nil // ctx ended before both addresses could be listened on
	}
	front, ready := s.newFront(listeners[0]), s.newReady(listeners[1])
	failed := make(chan error, 2)
	go func() { failed <- front.Serve(front.Callers) }()
	go func() { failed <- ready.Serve(ready.Callers) }()
	bhlog.Event(s.config.Logger, "gate.serving", "front", s.config.Front, "ready", s.config.Ready)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
	}
	s.stop(front, ready)
	return nil
}

// listen listens on the address. It retries until ctx is done and then returns
// nil: a previous process may still use the port.
func (s *Server) listen(ctx context.Context, address string) net.Listener {
	for {
		listeners, err := bhserve.Listen(address)
		if err == nil {
			return listeners[0]
		}
		bhlog.Problem(s.config.Logger, "listen.failed", err, "address", address)
		if !bhtree.Sleep(ctx, listenRetryDelay) {
			return nil
		}
	}
}

// stop drains the gate within the drain time, which it reads once, and cuts the answers
// that are left.
func (s *Server) stop(front, ready *bhserve.Server) {
	started := time.Now()
	drain := s.config.Drain()
	plan := bhdrain.NewPlan(drain)
	bhlog.Event(s.config.Logger, "gate.stopping", "inflight", s.config.Gate.Inflight(), "drain", drain)
	s.config.Gate.Drain(started.Add(plan.Work))
	time.Sleep(plan.Accept)
	ctx, cancel := s.untilClose(started, plan)
	defer cancel()
	if !front.Callers.Drain(ctx) {
		err := errors.Errorf("requests are left %s after the stop began, connections are closed", time.Since(started))
		bhlog.Problem(s.config.Logger, "gate.cut", err, "inflight", s.config.Gate.Inflight())
	}
	_ = front.Close()
	_ = ready.Close()
	bhlog.Event(s.config.Logger, "gate.stopped", "took", time.Since(started))
}

// untilClose returns a context that is done when the connections that are left are closed.
func (s *Server) untilClose(started time.Time, plan bhdrain.Plan) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(plan.Latest))
	go func() {
		select {
		case <-s.config.Gate.ended.Done():
		case <-ctx.Done():
			return
		}
		if bhtree.Sleep(ctx, time.Until(started.Add(plan.CloseAfter(time.Since(started))))) {
			cancel()
		}
	}()
	return ctx, cancel
}

// idleTimeout returns how long a client's connection may be idle.
func (s *Server) idleTimeout() time.Duration {
	if timeout := s.limits().IdleTimeout; timeout > 0 {
		return timeout
	}
	return defaultIdleTimeout
}

// limits returns those of the policy in force.
func (s *Server) limits() bhpolicy.Limits {
	if index := s.config.Index(); index != nil {
		return index.Policy.Limits
	}
	return bhpolicy.Limits{}
}

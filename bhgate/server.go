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
	// defaultIdleTimeout applies to readiness checks, and to client requests if no
	// policy is known or the policy sets no idle timeout.
	defaultIdleTimeout = 60 * time.Second
	// listenRetryDelay is the delay between attempts to listen.
	listenRetryDelay = 200 * time.Millisecond
	// headerTimeout and headerBytes apply whatever the policy says. Clients of
	// these fleets stay within both.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
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
	// Drain returns the time between the signal to stop and the kill.
	Drain func() time.Duration
	// Index returns the policy in force, or nil.
	Index  func() *bhpolicy.Index
	Logger bhlog.Logger
}

// Server listens for client requests and readiness checks, and stops gracefully.
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
			// Routes match the raw request target, so no router that cleans it
			// stands before the gate.
			Handler:                      config.Gate,
			ReadHeaderTimeout:            headerTimeout,
			MaxHeaderBytes:               headerBytes,
			IdleTimeout:                  bhserve.IdleTimeoutPlaceholder,
			DisableGeneralOptionsHandler: true,
		},
		ready: &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout},
	}
}

// Run serves until ctx is done and then stops gracefully: it reports not ready,
// accepts connections until the load balancer has noticed, and finishes the
// requests in flight. It returns an error if a listener fails.
func (s *Server) Run(ctx context.Context) error {
	front, ready := s.listen(ctx, s.config.Front), s.listen(ctx, s.config.Ready)
	if front == nil || ready == nil {
		return nil // ctx ended before both addresses could be listened on
	}
	failed := make(chan error, 2)
	callers := bhserve.NewCallerListener(bhserve.CallerListenerConfig{Listener: front, IdleTimeout: s.idleTimeout, WriteBuffer: clientWriteBuffer})
	go func() { failed <- s.front.Serve(callers) }()
	go func() { failed <- s.ready.Serve(ready) }()
	bhlog.Event(s.config.Logger, "gate.serving", "front", s.config.Front, "ready", s.config.Ready)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
	}
	return s.stop(callers)
}

// listen listens on the address. It retries until ctx is done and then returns
// nil: a previous process may still use the port.
func (s *Server) listen(ctx context.Context, address string) net.Listener {
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		bhlog.Problem(s.config.Logger, "listen.failed", err, "address", address)
		if !bhtree.Sleep(ctx, listenRetryDelay) {
			return nil
		}
	}
}

// stop drains the gate within the drain time, which it reads once, and cuts the answers
// that are left.
func (s *Server) stop(callers *bhserve.CallerListener) error {
	started := time.Now()
	drain := s.config.Drain()
	plan := bhdrain.NewPlan(drain)
	bhlog.Event(s.config.Logger, "gate.stopping", "inflight", s.config.Gate.Inflight(), "drain", drain)
	s.config.Gate.Drain(started.Add(plan.Work))
	time.Sleep(plan.Accept)
	ctx, cancel := s.untilClose(started, plan)
	defer cancel()
	if !callers.Drain(ctx) {
		err := errors.Errorf("requests are left %s after the stop began, connections are closed", time.Since(started))
		bhlog.Problem(s.config.Logger, "gate.cut", err, "inflight", s.config.Gate.Inflight())
	}
	_ = s.front.Close()
	_ = s.ready.Close()
	bhlog.Event(s.config.Logger, "gate.stopped", "took", time.Since(started))
	return nil
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
	if index := s.config.Index(); index != nil && index.Policy.Limits.IdleTimeout > 0 {
		return index.Policy.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

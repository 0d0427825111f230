package bhserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// operatorHeadBytes is the largest head of a check or a collector of metrics.
	operatorHeadBytes = 8 << 10
	// reportInterval is the time between two reports of what callers hold.
	reportInterval = time.Second
)

// PortsConfig configures Ports.
type PortsConfig struct {
	// Limits bound what callers make the process hold; the zero value means no bounds.
	Limits bhguard.Limits
	Logger bhlog.Logger
	Scope  tally.Scope
}

// Ports creates the servers of a process, whose callers share its memory.
type Ports struct {
	config PortsConfig
	pool   *bhguard.Pool
}

// NewPorts returns ports without servers.
func NewPorts(config PortsConfig) *Ports {
	return &Ports{config: config, pool: bhguard.NewPool(bhguard.PoolConfig{Heads: config.Limits.Heads})}
}

// Callers returns the server for callers' requests. It sets the guard of the configuration.
func (p *Ports) Callers(callers CallerListenerConfig, handler http.Handler) *Server {
	callers.Guard = p.pool.NewGuard(bhguard.GuardConfig{Connections: p.config.Limits.Callers})
	return NewServer(ServerConfig{Callers: callers, Handler: handler, Logger: p.config.Logger})
}

// Links returns the server for links of other processes. The handler calls Keep once a
// peer has proved who it is.
func (p *Ports) Links(listener net.Listener, handler http.Handler) *Server {
	return NewServer(ServerConfig{
		Callers: CallerListenerConfig{
			Listener:  listener,
			Guard:     p.pool.NewGuard(bhguard.GuardConfig{Connections: p.config.Limits.Peers}),
			HeadBytes: func() int64 { return operatorHeadBytes },
		},
		Handler: handler,
		Links:   true,
		Logger:  p.config.Logger,
	})
}

// Operators returns the server for checks, metrics and operators.
func (p *Ports) Operators(listener net.Listener, handler http.Handler) *Server {
	return NewServer(ServerConfig{
		Callers: CallerListenerConfig{
			Listener:  listener,
			Guard:     p.pool.NewGuard(bhguard.GuardConfig{Connections: p.config.Limits.Operators, EndWorking: true}),
			HeadBytes: func() int64 { return operatorHeadBytes },
		},
		Handler: handler,
		Logger:  p.config.Logger,
	})
}

// Report updates the metrics of what callers hold and logs when connections ended in favour of
// others, until ctx is done. It returns nil.
func (p *Ports) Report(ctx context.Context) error {
	scope := p.config.Scope
	connections, heads := scope.Gauge("caller_connections"), scope.Gauge("caller_head_bytes")
	ended, refused, denied := scope.Counter("caller_connections_ended"), scope.Counter("caller_connections_refused"), scope.Counter("caller_heads_denied")
	var last bhguard.Usage
	for bhtree.Sleep(ctx, reportInterval) {
		now := p.pool.Usage()
		connections.Update(float64(now.Connections))
		heads.Update(float64(now.Heads))
		ended.Inc(now.Ended - last.Ended)
		refused.Inc(now.Refused - last.Refused)
		denied.Inc(now.Denied - last.Denied)
		if now.Ended+now.Refused+now.Denied > last.Ended+last.Refused+last.Denied {
			bhlog.Event(p.config.Logger, "callers.pressed", "connections", now.Connections, "head_bytes", now.Heads,
				"ended", now.Ended-last.Ended, "refused", now.Refused-last.Refused, "denied", now.Denied-last.Denied)
		}
		last = now
	}
	return nil
}

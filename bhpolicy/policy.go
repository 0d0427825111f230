// Package bhpolicy holds the routing policy of a gateway: routes, services and
// client accounts, and finds the route and the account of a request.
package bhpolicy

import "time"

// Kind says how a route answers and what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by events. They run at most once unless
	// the route is resumable.
	Streaming
	// Batch routes take jobs whose items run later.
	Batch
)

// Backend is one target of a route's traffic.
type Backend struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout bounds a request from its arrival; zero means no bound.
	Timeout time.Duration
	// Target is the latency objective of the answer, or of its first event.
	Target time.Duration
	// RunTarget and Retention count from a batch job's arrival: when results
	// are due, and when items may be abandoned.
	RunTarget   time.Duration
	Retention   time.Duration
	MaxAttempts int
	Public      bool
	Resumable   bool
	// MaxQueuedTokens bounds the waiting tokens of an account on a batch
	// route; zero means no bound.
	MaxQueuedTokens int64
}

// Repeatable reports whether a request may be sent again though it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Serves reports whether the route sends traffic to the service.
func (r *Route) Serves(service string) bool {
	for _, backend := range r.Backends {
		if backend.Service == service && backend.Weight > 0 {
			return true
		}
	}
	return false
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Rate is in requests a second; zero means no limit.
	Rate  float64
	Burst float64
}

// Service is a group of upstreams that serve alike.
type Service struct {
	Name string
	// Slots is how many requests an engine runs at once; zero for plain services.
	Slots int
}

// Limits bound what a client may send.
type Limits struct {
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Policy is one version of the declared configuration.
type Policy struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

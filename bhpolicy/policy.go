// Package bhpolicy defines the routing policy of a gateway, which consists of
// routes, services and client accounts, and finds the route and the account of a
// request. The platform adapter decodes policies, and the gateway's request
// handler, batch job runner and rate limiter read them.
package bhpolicy

import "time"

// Kind is how a route's requests are answered and whether they may run more than
// once.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming
	// Batch requests submit jobs whose items run later.
	Batch
)

// Backend is a service that receives a share of a route's traffic.
type Backend struct {
	Service string
	// Weight is the service's share relative to the other backends' weights. A
	// backend without a positive weight receives no traffic.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest duration of a request, counted from its arrival;
	// zero means that the route sets no limit.
	Timeout time.Duration
	// LatencyObjective is the time within which the response, or its first event
	// if the route streams, should arrive.
	LatencyObjective time.Duration
	// RunTarget is the time from a batch job's arrival until its results are
	// due.
	RunTarget time.Duration
	// Retention is the time from a batch job's arrival after which its
	// unfinished items may be abandoned.
	Retention time.Duration
	// MaxAttempts is how often a request, or an item of a batch job, may be sent
	// to an upstream.
	MaxAttempts int
	// Public is whether requests need no key.
	Public bool
	// Resumable is whether an interrupted stream may be resumed by sending the
	// request again.
	Resumable bool
	// MaxQueuedTokens limits the tokens of an account's unfinished items on a
	// batch route; zero means no limit.
	MaxQueuedTokens int64
	// Priority ranks the route's requests where not all of them can be served; 0 is
	// the most urgent.
	Priority int
}

// Repeatable reports whether a request may be sent again although it may already
// have run.
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
	// Rate is the sustained rate in requests per second over all gateways; zero
	// means no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once over all gateways.
	Burst float64
	// Priority replaces that of the routes for the account's requests; nil leaves it
	// to the routes.
	Priority *int
}

// PriorityOf returns the priority of the account's requests on the route; 0 is the most
// urgent. The account is nil on public routes.
func PriorityOf(route *Route, account *Account) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// Slots is the number of requests that an engine of the service runs at
	// once. It is zero for services whose upstreams aren't engines.
	Slots int
	// ColdTime is how long an upstream is cold after it started under traffic, and
	// ColdRate the requests a second that it takes meanwhile. A zero ColdRate sets no
	// bound.
	ColdTime time.Duration
	ColdRate float64
}

// Limits apply to all clients. Users of a Limits replace values that aren't
// positive by defaults of their own.
type Limits struct {
	// HeadBytes and BodyBytes are the sizes of the largest request head and body.
	HeadBytes int64
	BodyBytes int64
	// HeadTimeout is how long a client may take to send a request's head.
	HeadTimeout time.Duration
	// IdleTimeout is how long a client's connection may be idle.
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

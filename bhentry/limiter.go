package bhentry

import (
	"context"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlimit"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// limiterPeers sends the rate limiter's messages over control sessions.
type limiterPeers struct {
	mesh   *bhmesh.Mesh
	logger bhlog.Logger
}

// Entries implements bhlimit.Peers. It returns the names of connected entries.
func (p limiterPeers) Entries() []string {
	var hosts []string
	for _, peer := range p.mesh.Peers(string(bhconf.RoleEntry)) {
		hosts = append(hosts, peer.Host)
	}
	return hosts
}

// Send implements bhlimit.Peers. A message that can't be sent is logged and
// dropped.
func (p limiterPeers) Send(host string, kind bhwire.Kind, message any) {
	frame, err := bhwire.Encode(kind, 0, message)
	if err == nil {
		err = p.mesh.Send(host, frame)
	}
	if err != nil {
		bhlog.Trace(p.logger, "limits.lost", "peer", host, "kind", kind, "err", err)
	}
}

// newLimiter returns a rate limiter that exchanges messages with the other
// entries over the mesh.
func newLimiter(config Config, mesh *bhmesh.Mesh, store *bhsync.Store, logger bhlog.Logger) *bhlimit.Limiter {
	limiter := bhlimit.New(bhlimit.Config{
		Host:        config.Settings.Host,
		Incarnation: config.Incarnation,
		Table:       config.Platform.Table,
		Peers:       limiterPeers{mesh: mesh, logger: logger},
		Accounts: func() (int64, []bhconf.Account) {
			snapshot := store.Current()
			if snapshot == nil {
				return 0, nil
			}
			return snapshot.Version, snapshot.Config.Accounts
		},
		Logger: logger,
	})
	handle := func(peer bhwire.Hello, frame bhwire.Frame) error {
		if peer.Role != string(bhconf.RoleEntry) {
			return bhcode.New(bhcode.FrameInvalid, "%s frame from a %s", frame.Kind, peer.Role)
		}
		return limiter.Receive(peer, frame)
	}
	mesh.Handle(bhwire.KindGrant, handle)
	mesh.Handle(bhwire.KindVote, handle)
	return limiter
}

// takeToken takes one token of the account for a request. The error is
// RateExceeded, or Leaving if the departure ended the wait for a token.
func (e *Entry) takeToken(ctx context.Context, account string) error {
	decision := e.limiter.Take(ctx, account, 1)
	if decision.OK {
		return nil
	}
	if cause := cancelCause(ctx); cause != nil {
		return cause
	}
	return bhcode.New(bhcode.RateExceeded, "the client account %s is over its rate and burst", account).WithRetryAfter(decision.RetryAfter)
}

// rateLimited wraps a handler so that each request takes a token of the
// account.
func (e *Entry) rateLimited(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := e.takeToken(c.Request().Context(), callerFrom(c).identity.Account); err != nil {
			return err
		}
		return next(c)
	}
}

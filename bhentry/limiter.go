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

// limitPeers sends the limiter's messages over the control sessions.
type limitPeers struct {
	mesh   *bhmesh.Mesh
	logger bhlog.Logger
}

// Entries implements bhlimit.Peers.
func (p limitPeers) Entries() []string {
	var hosts []string
	for _, peer := range p.mesh.Peers(string(bhconf.RoleEntry)) {
		hosts = append(hosts, peer.Host)
	}
	return hosts
}

// Send implements bhlimit.Peers.
func (p limitPeers) Send(host string, kind bhwire.Kind, message any) {
	frame, err := bhwire.Encode(kind, 0, message)
	if err == nil {
		err = p.mesh.Send(host, frame)
	}
	if err != nil {
		bhlog.Trace(p.logger, "limits.lost", "peer", host, "kind", kind, "err", err)
	}
}

func newLimiter(config Config, mesh *bhmesh.Mesh, store *bhsync.Store, logger bhlog.Logger) *bhlimit.Limiter {
	limiter := bhlimit.New(bhlimit.Config{
		Host:        config.Settings.Host,
		Incarnation: config.Incarnation,
		Table:       config.Platform.Table,
		Peers:       limitPeers{mesh: mesh, logger: logger},
		Accounts: func() (int64, []bhconf.Account) {
			state := store.Current()
			if state == nil {
				return 0, nil
			}
			return state.Version, state.Config.Accounts
		},
		Logger: logger,
	})
	receive := func(peer bhwire.Hello, frame bhwire.Frame) error {
		if peer.Role != string(bhconf.RoleEntry) {
			return bhcode.New(bhcode.FrameInvalid, "%s frame from a %s", frame.Kind, peer.Role)
		}
		return limiter.Receive(peer, frame)
	}
	mesh.Handle(bhwire.KindGrant, receive)
	mesh.Handle(bhwire.KindVote, receive)
	return limiter
}

// spend takes a token for one request of the account.
func (e *Entry) spend(ctx context.Context, account string) error {
	verdict := e.limiter.Take(ctx, account, 1)
	if verdict.OK {
		return nil
	}
	return bhcode.New(bhcode.RateExceeded, "the client account %s is over its rate and burst", account).WithRetryAfter(verdict.RetryAfter)
}

// spending wraps a handler whose requests count against the account's rate.
func (e *Entry) spending(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := e.spend(c.Request().Context(), callerOf(c).identity.Account); err != nil {
			return err
		}
		return next(c)
	}
}

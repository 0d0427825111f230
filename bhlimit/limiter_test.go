package bhlimit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// singleRowTable is a bhplatform.Table that holds only the membership row.
type singleRowTable struct {
	mu     sync.Mutex
	row    bhplatform.Row
	writes int
}

func (r *singleRowTable) Get(context.Context, string) (bhplatform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.row.Version == 0 {
		return r.row, bhcode.New(bhcode.NotFound, "no row")
	}
	return r.row, nil
}

func (r *singleRowTable) List(context.Context, string, string, int) ([]bhplatform.Row, error) {
	return nil, nil
}

func (r *singleRowTable) Commit(_ context.Context, writes ...bhplatform.Write) ([]bhplatform.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if writes[0].Expect != r.row.Version {
		return nil, bhcode.New(bhcode.PlatformConflict, "version %d", r.row.Version)
	}
	r.writes++
	r.row = bhplatform.Row{Key: MembershipKey, Value: writes[0].Value, Version: r.row.Version + 1}
	return []bhplatform.Version{r.row.Version}, nil
}

// directPeers implements Peers for limiters in one process.
type directPeers struct {
	self  bhwire.Hello
	hosts map[string]*Limiter
}

func (d *directPeers) Entries() []string { return sortedKeys(d.hosts) }

func (d *directPeers) Send(host string, kind bhwire.Kind, message any) {
	frame, err := bhwire.Encode(kind, 0, message)
	if err == nil && d.hosts[host] != nil {
		_ = d.hosts[host].Receive(d.self, frame)
	}
}

// TestLimiterBorrowsWholeBurst checks that one of three hosts can borrow and
// spend the whole burst of an account, and that all three then refuse its
// next request.
func TestLimiterBorrowsWholeBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &singleRowTable{}
		hosts := map[string]*Limiter{}
		accounts := func() (int64, []bhconf.Account) {
			return 1, []bhconf.Account{{Name: "zoo", Rate: 1, Burst: 30}}
		}
		for _, host := range []string{"a", "b", "c"} {
			hosts[host] = New(Config{
				Host: host, Incarnation: 1, Table: table, Accounts: accounts, Logger: bhlog.Nop(),
				Peers: &directPeers{self: bhwire.Hello{Host: host, Incarnation: 1}, hosts: hosts},
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, l := range hosts {
			running.Go(func() { require.NoError(t, l.Run(ctx)) })
		}
		time.Sleep(time.Minute)
		require.True(t, hosts["a"].Ready())
		require.LessOrEqual(t, table.writes, 3)
		for i := range 30 {
			require.True(t, hosts["a"].Take(ctx, "zoo", 1).OK, "request %d", i)
		}
		for host, l := range hosts {
			verdict := l.Take(ctx, "zoo", 1)
			require.False(t, verdict.OK, host)
			require.LessOrEqual(t, verdict.RetryAfter, time.Second)
		}
		require.False(t, hosts["a"].Take(ctx, "unknown", 1).OK)
		hosts["a"].Drain()
		cancel()
		running.Wait()
	})
}

package bhforward

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPruneClosesExpiredConnections(t *testing.T) {
	pool := NewPool()
	defer pool.Close()
	addIdleConn := func(address string, since time.Duration) net.Conn {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { theirs.Close() })
		pool.put(address, newConn(ours))
		conns := pool.idle[address]
		conns[len(conns)-1].idleSince = time.Now().Add(-since)
		return theirs
	}
	expiredOnly := addIdleConn("gone", 2*maxIdleTimeout)
	expired, fresh := addIdleConn("kept", 2*maxIdleTimeout), addIdleConn("kept", 0)
	pool.prune()
	assert.Len(t, pool.idle, 1)
	assert.Len(t, pool.idle["kept"], 1)
	for _, closed := range []net.Conn{expiredOnly, expired} {
		_, err := closed.Read(make([]byte, 1))
		require.Error(t, err, "the other end was closed")
	}
	require.NoError(t, fresh.SetReadDeadline(time.Now()))
	_, err := fresh.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	assert.True(t, timeout.Timeout(), "still open")
}

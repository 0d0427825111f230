package bhforward

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConnectionsIdleForLongAreClosed(t *testing.T) {
	pool := NewPool()
	defer pool.Close()
	idle := func(address string, since time.Duration) net.Conn {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { theirs.Close() })
		pool.put(address, &conn{Conn: ours, reader: bufio.NewReader(ours), limit: idleLimit})
		list := pool.idle[address]
		list[len(list)-1].idle = time.Now().Add(-since)
		return theirs
	}
	gone := idle("gone", 2*idleLimit)
	old, young := idle("kept", 2*idleLimit), idle("kept", 0)
	pool.prune()
	assert.Len(t, pool.idle, 1)
	assert.Len(t, pool.idle["kept"], 1)
	for _, closed := range []net.Conn{gone, old} {
		_, err := closed.Read(make([]byte, 1))
		require.Error(t, err, "the other end was closed")
	}
	require.NoError(t, young.SetReadDeadline(time.Now()))
	_, err := young.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	assert.True(t, timeout.Timeout(), "still open")
}

package bhjob

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// TestEarlyOutputThatIsResetIsBroken guards against a part of an output that is recorded as the
// whole: the engine answers without a length while it is sent a large item, and resets the
// connection.
func TestEarlyOutputThatIsResetIsBroken(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	early := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+dialect.RequestID+": "+request.Header.Get(dialect.RequestID)+"\r\n\r\nid: 1\ndata: part\n\n")
		_ = conn.(*net.TCPConn).SetLinger(0)
	}))
	t.Cleanup(early.Close)
	instance := bhwatch.Instance{ID: "i-1", Service: "llm", Address: early.Listener.Addr().String()}
	for range 20 {
		run := &itemRun{runner: r.runner, job: &Job{Account: "zoo", Host: "one.example"}, item: Item{ID: "j-0", Target: "/drafts/x", Body: make([]byte, 6<<20)}}
		err := run.send(t.Context(), instance, func() {})
		require.Error(t, err, "%q is only a part", run.output())
		assert.NotErrorIs(t, err, errFailed, "no failure counts")
		assert.NotErrorIs(t, err, errRejected)
	}
}

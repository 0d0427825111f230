package bhjob

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// TestLongUploadOfAnItemIsNoStall guards against an item with a large body that no engine ever runs,
// because each request for it is cancelled while the engine reads it.
func TestLongUploadOfAnItemIsNoStall(t *testing.T) {
	r := newRunnerFixture(t, bhstand.NewStore(bhstand.StoreConfig{}), "a")
	slow := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		w.Header().Set(dialect.RequestID, request.Header.Get(dialect.RequestID))
		_, _ = fmt.Fprint(w, "id: 1\ndata: done\n\n")
	}))
	slow.Listener = bhstand.Link{Listener: slow.Listener, Rate: 1 << 20}
	slow.Start()
	t.Cleanup(slow.Close)
	run := &itemRun{runner: r.runner, job: &Job{Account: "zoo", Host: "one.example"}, item: Item{ID: "j-0", Target: "/drafts/x", Body: make([]byte, 6<<20)}}
	require.NoError(t, run.send(t.Context(), bhwatch.Instance{ID: "i-1", Service: "llm", Address: slow.Listener.Addr().String()}, func() {}))
	assert.Equal(t, "done", run.output())
}

package bhentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fragile is an upstream that a request for a path with "kill" crashes: every
// request that it runs ends without an answer.
type fragile struct {
	mutex   sync.Mutex
	down    chan struct{}
	crashes int
}

func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mutex.Lock()
	down := f.down
	f.mutex.Unlock()
	if strings.Contains(r.URL.Path, "kill") {
		time.Sleep(50 * time.Millisecond)
		f.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-down:
		panic(http.ErrAbortHandler)
	case <-time.After(100 * time.Millisecond):
		fmt.Fprint(w, r.URL.Path)
	}
}

func (f *fragile) crash() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashes++
	close(f.down)
	f.down = make(chan struct{})
}

// A request that crashes its upstream, sent again and again, crashes two. The
// requests beside it are all answered.
func TestKillerCrashesTwoUpstreams(t *testing.T) {
	var upstreams []*fragile
	var handlers []http.Handler
	for range 3 {
		upstream := &fragile{down: make(chan struct{})}
		upstreams = append(upstreams, upstream)
		handlers = append(handlers, upstream)
	}
	rig := newRig(t, handlers...)
	var others sync.WaitGroup
	for i := range 60 {
		others.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			path := fmt.Sprintf("/svc/%d", i)
			status, body, err := rig.call(http.MethodGet, path)
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, status, "%s: %s", path, body)
			assert.Equal(t, path, body, "the answer to its own request")
		})
	}
	time.Sleep(200 * time.Millisecond)
	for range 8 {
		status, body, err := rig.call(http.MethodGet, "/svc/kill")
		require.NoError(t, err)
		require.Equal(t, http.StatusUnprocessableEntity, status, body)
		require.Contains(t, body, `"quarantined"`)
	}
	others.Wait()
	crashes := 0
	for _, upstream := range upstreams {
		crashes += upstream.crashes
	}
	require.Equal(t, 2, crashes)
}

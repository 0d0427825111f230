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

// crashingUpstream crashes on a request whose path contains "kill": all
// requests that it is running then end without a response.
type crashingUpstream struct {
	mutex sync.Mutex
	// crashed is closed at the next crash.
	crashed chan struct{}
	crashes int
}

func (u *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mutex.Lock()
	crashed := u.crashed
	u.mutex.Unlock()
	if strings.Contains(r.URL.Path, "kill") {
		time.Sleep(50 * time.Millisecond)
		u.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-time.After(100 * time.Millisecond):
		fmt.Fprint(w, r.URL.Path)
	}
}

func (u *crashingUpstream) crash() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.crashes++
	close(u.crashed)
	u.crashed = make(chan struct{})
}

// A request that crashes its upstream is sent repeatedly. It must be
// quarantined after two crashes, and all concurrent requests must be answered.
func TestCrashingRequestIsQuarantinedAfterTwoCrashes(t *testing.T) {
	var upstreams []*crashingUpstream
	var handlers []http.Handler
	for range 3 {
		upstream := &crashingUpstream{crashed: make(chan struct{})}
		upstreams = append(upstreams, upstream)
		handlers = append(handlers, upstream)
	}
	cluster := newTestCluster(t, handlers...)
	var concurrent sync.WaitGroup
	for i := range 60 {
		concurrent.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			path := fmt.Sprintf("/svc/%d", i)
			status, body, err := cluster.fetch(http.MethodGet, path)
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, status, "%s: %s", path, body)
			assert.Equal(t, path, body, "the response must belong to its request")
		})
	}
	time.Sleep(200 * time.Millisecond)
	for range 8 {
		status, body, err := cluster.fetch(http.MethodGet, "/svc/kill")
		require.NoError(t, err)
		require.Equal(t, http.StatusUnprocessableEntity, status, body)
		require.Contains(t, body, `"quarantined"`)
	}
	concurrent.Wait()
	crashes := 0
	for _, upstream := range upstreams {
		crashes += upstream.crashes
	}
	require.Equal(t, 2, crashes)
}

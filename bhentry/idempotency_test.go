package bhentry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
)

// depositService is a payment service that counts the runs of each body. It
// responds once release is closed, and aborts the connection for the body
// "broken".
type depositService struct {
	mutex   sync.Mutex
	runs    map[string]int
	started chan struct{}
	release chan struct{}
}

func newDepositService() *depositService {
	return &depositService{runs: make(map[string]int), started: make(chan struct{}, 100), release: make(chan struct{})}
}

func (d *depositService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	d.mutex.Lock()
	d.runs[string(body)]++
	run := d.runs[string(body)]
	d.mutex.Unlock()
	d.started <- struct{}{}
	<-d.release
	if string(body) == "broken" {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "%s run %d", body, run)
}

func (d *depositService) runCount(body string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.runs[body]
}

func TestIdempotencyKeyRunsRequestOnce(t *testing.T) {
	service := newDepositService()
	cluster := newTestCluster(t, service, service)
	first := make(chan string, 1)
	go func() {
		status, body, err := cluster.postWithKey(t.Context(), "k1", "ten")
		first <- fmt.Sprint(status, body, err)
	}()
	<-service.started
	for range 10 {
		status, body, err := cluster.postWithKey(t.Context(), "k1", "ten")
		require.NoError(t, err)
		assert.Equal(t, http.StatusConflict, status)
		assert.Contains(t, body, `"still_running"`)
	}
	close(service.release)
	assert.Equal(t, fmt.Sprint(http.StatusCreated, "ten run 1", error(nil)), <-first)
	for range 3 {
		status, body, err := cluster.postWithKey(t.Context(), "k1", "ten")
		require.NoError(t, err)
		assert.Equal(t, http.StatusCreated, status)
		assert.Equal(t, "ten run 1", body)
	}
	status, body, err := cluster.postWithKey(t.Context(), "k1", "eleven")
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnprocessableEntity, status, body)
	assert.Equal(t, 1, service.runCount("ten"))
	assert.Zero(t, service.runCount("eleven"))
}

func TestIdempotencyKeyBlocksRerunAfterUnknownOutcome(t *testing.T) {
	service := newDepositService()
	close(service.release)
	cluster := newTestCluster(t, service, service)
	status, body, err := cluster.postWithKey(t.Context(), "k1", "broken")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Contains(t, body, `"ran":"unknown"`)
	status, body, err = cluster.postWithKey(t.Context(), "k1", "broken")
	require.NoError(t, err)
	assert.Equal(t, http.StatusConflict, status)
	assert.Contains(t, body, `"outcome_unknown"`)
	assert.Equal(t, 1, service.runCount("broken"))
}

func TestIdempotencyKeyRunContinuesAfterCallerDisconnects(t *testing.T) {
	service := newDepositService()
	cluster := newTestCluster(t, service)
	ctx, cancel := context.WithCancel(t.Context())
	callerErr := make(chan error, 1)
	go func() {
		_, _, err := cluster.postWithKey(ctx, "k1", "ten")
		callerErr <- err
	}()
	<-service.started
	cancel()
	require.Error(t, <-callerErr)
	close(service.release)
	require.Eventually(t, func() bool {
		status, body, err := cluster.postWithKey(t.Context(), "k1", "ten")
		return err == nil && status == http.StatusCreated && body == "ten run 1"
	}, eventuallyTimeout, pollInterval)
	assert.Equal(t, 1, service.runCount("ten"))
}

func TestIdempotencyKeyIsRefusedDuringTableOutage(t *testing.T) {
	service := newDepositService()
	close(service.release)
	cluster := newTestCluster(t, service)
	cluster.platform.Switch(bhstand.Faults{Outage: true})
	status, body, err := cluster.postWithKey(t.Context(), "k1", "ten")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Contains(t, body, `"ran":"no"`)
	assert.Zero(t, service.runCount("ten"))
	status, _, err = cluster.postWithKey(t.Context(), "", "ten")
	require.NoError(t, err)
	assert.Equal(t, http.StatusCreated, status, "requests without a key must still run")
	cluster.platform.Switch(bhstand.Faults{})
	require.Eventually(t, func() bool {
		status, body, err := cluster.postWithKey(t.Context(), "k1", "ten")
		return err == nil && status == http.StatusCreated && body == "ten run 2"
	}, eventuallyTimeout, pollInterval, "the key must be free, since the refused request did not run")
}

func TestIdempotencyKeyRunsAtMostOnceDespiteLostTableReplies(t *testing.T) {
	service := newDepositService()
	close(service.release)
	cluster := newTestCluster(t, service)
	for i := range 5 {
		key := fmt.Sprint("k", i)
		cluster.platform.Switch(bhstand.Faults{Lose: 1 + i%3})
		status, body, err := cluster.postWithKey(t.Context(), key, key)
		require.NoError(t, err)
		if status != http.StatusCreated {
			assert.Contains(t, body, `"ran":"no"`)
			assert.Zero(t, service.runCount(key))
			continue
		}
		cluster.platform.Switch(bhstand.Faults{})
		status, body, err = cluster.postWithKey(t.Context(), key, key)
		require.NoError(t, err)
		assert.Equal(t, http.StatusCreated, status)
		assert.Equal(t, key+" run 1", body)
		assert.Equal(t, 1, service.runCount(key))
	}
}

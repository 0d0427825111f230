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

// deposits is a payments service that counts the runs of each body. It answers
// once open is closed, and breaks the connection for the body "broken".
type deposits struct {
	mutex sync.Mutex
	runs  map[string]int
	began chan struct{}
	open  chan struct{}
}

func newDeposits() *deposits {
	return &deposits{runs: make(map[string]int), began: make(chan struct{}, 100), open: make(chan struct{})}
}

func (d *deposits) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	d.mutex.Lock()
	d.runs[string(body)]++
	run := d.runs[string(body)]
	d.mutex.Unlock()
	d.began <- struct{}{}
	<-d.open
	if string(body) == "broken" {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "%s run %d", body, run)
}

func (d *deposits) count(body string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.runs[body]
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	service := newDeposits()
	rig := newRig(t, service, service)
	first := make(chan string, 1)
	go func() {
		status, body, err := rig.post(t.Context(), "k1", "ten")
		first <- fmt.Sprint(status, body, err)
	}()
	<-service.began
	for range 10 {
		status, body, err := rig.post(t.Context(), "k1", "ten")
		require.NoError(t, err)
		assert.Equal(t, http.StatusConflict, status)
		assert.Contains(t, body, `"still_running"`)
	}
	close(service.open)
	assert.Equal(t, fmt.Sprint(http.StatusCreated, "ten run 1", error(nil)), <-first)
	for range 3 {
		status, body, err := rig.post(t.Context(), "k1", "ten")
		require.NoError(t, err)
		assert.Equal(t, http.StatusCreated, status)
		assert.Equal(t, "ten run 1", body)
	}
	status, body, err := rig.post(t.Context(), "k1", "eleven")
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnprocessableEntity, status, body)
	assert.Equal(t, 1, service.count("ten"))
	assert.Zero(t, service.count("eleven"))
}

func TestKeyedRequestWithUnknownOutcomeIsNotRunAgain(t *testing.T) {
	service := newDeposits()
	close(service.open)
	rig := newRig(t, service, service)
	status, body, err := rig.post(t.Context(), "k1", "broken")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Contains(t, body, `"ran":"unknown"`)
	status, body, err = rig.post(t.Context(), "k1", "broken")
	require.NoError(t, err)
	assert.Equal(t, http.StatusConflict, status)
	assert.Contains(t, body, `"outcome_unknown"`)
	assert.Equal(t, 1, service.count("broken"))
}

func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	service := newDeposits()
	rig := newRig(t, service)
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		_, _, err := rig.post(ctx, "k1", "ten")
		left <- err
	}()
	<-service.began
	cancel()
	require.Error(t, <-left)
	close(service.open)
	require.Eventually(t, func() bool {
		status, body, err := rig.post(t.Context(), "k1", "ten")
		return err == nil && status == http.StatusCreated && body == "ten run 1"
	}, eventually, pollingStep)
	assert.Equal(t, 1, service.count("ten"))
}

func TestKeyedRequestIsRefusedWhileTheTableIsDown(t *testing.T) {
	service := newDeposits()
	close(service.open)
	rig := newRig(t, service)
	rig.platform.Switch(bhstand.Faults{Outage: true})
	status, body, err := rig.post(t.Context(), "k1", "ten")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Contains(t, body, `"ran":"no"`)
	assert.Zero(t, service.count("ten"))
	status, _, err = rig.post(t.Context(), "", "ten")
	require.NoError(t, err)
	assert.Equal(t, http.StatusCreated, status, "requests without a key go on")
	rig.platform.Switch(bhstand.Faults{})
	require.Eventually(t, func() bool {
		status, body, err := rig.post(t.Context(), "k1", "ten")
		return err == nil && status == http.StatusCreated && body == "ten run 2"
	}, eventually, pollingStep, "the key is free: the refused request didn't run")
}

func TestKeyedRequestWithLostRepliesOfTheTable(t *testing.T) {
	service := newDeposits()
	close(service.open)
	rig := newRig(t, service)
	for i := range 5 {
		key := fmt.Sprint("k", i)
		rig.platform.Switch(bhstand.Faults{Lose: 1 + i%3})
		status, body, err := rig.post(t.Context(), key, key)
		require.NoError(t, err)
		if status != http.StatusCreated {
			assert.Contains(t, body, `"ran":"no"`)
			assert.Zero(t, service.count(key))
			continue
		}
		rig.platform.Switch(bhstand.Faults{})
		status, body, err = rig.post(t.Context(), key, key)
		require.NoError(t, err)
		assert.Equal(t, http.StatusCreated, status)
		assert.Equal(t, key+" run 1", body)
		assert.Equal(t, 1, service.count(key))
	}
}

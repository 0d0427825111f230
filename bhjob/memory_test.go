package bhjob

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// TestOutputsWithoutEndStayWithinTheMemory guards against a runner whose memory is used up by the
// outputs of many items at once, each of which is within the limit of one.
func TestOutputsWithoutEndStayWithinTheMemory(t *testing.T) {
	const slots, shared = 8, 1 << 20
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.runner.config.Outputs = bhspool.NewPool(shared)
	r.policies.set(func(view *bhwatch.View) {
		instance := view.Fleet["llm"][0]
		instance.Slots = slots
		view.Fleet = map[string][]bhwatch.Instance{"llm": {instance}}
	})
	var mu sync.Mutex
	endless := 3 * slots // answers without an end that are still to be given
	block := strings.Repeat("id: 1\ndata: "+strings.Repeat("more ", 50)+"\n\n", 40)
	flood := func(w http.ResponseWriter, request *http.Request) {
		mu.Lock()
		endless--
		mu.Unlock()
		w.Header().Set(dialect.RequestID, request.Header.Get(dialect.RequestID))
		for {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	stop, stopped := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			select {
			case <-stop:
				stopped <- most
				return
			case <-time.After(time.Millisecond):
			}
			mu.Lock()
			more := endless > 0
			mu.Unlock()
			if more {
				r.engine.set(func(e *fakeEngine) { e.next = flood })
			} else {
				r.engine.set(func(e *fakeEngine) { e.next = nil })
			}
			r.runner.mu.Lock()
			held := 0
			for _, run := range r.runner.runs {
				held += run.textBytes
			}
			r.runner.mu.Unlock()
			most = max(most, held)
		}
	}()
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2*slots)))
	for _, result := range r.waitResults("j", 2*slots) {
		assert.Equal(t, Completed, result.Status)
		assert.Equal(t, expectedOutput(result.ID, 5), result.Text)
	}
	close(stop)
	most := <-stopped
	assert.Greater(t, most, shared/2, "the engine did send much")
	assert.LessOrEqual(t, most, shared+2*slots*ownOutputBytes)
	all := r.runner.config.Outputs.Open(0)
	require.Eventually(t, func() bool { return all.Resize(shared) }, 10*time.Second, time.Millisecond, "all memory is free")
}

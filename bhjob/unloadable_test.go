package bhjob

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// refusingObjects refuses calls for objects while the store serves those for records.
type refusingObjects struct {
	*bhstand.Store

	mu         sync.Mutex
	puts, gets bool
}

func (o *refusingObjects) refuse(puts, gets bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.puts, o.gets = puts, gets
}

// Put implements bhplatform.Objects.
func (o *refusingObjects) Put(ctx context.Context, name string, body io.Reader) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.puts {
		return bhcode.New(bhcode.PlatformUnavailable, "status 507: the store is full")
	}
	return o.Store.Put(ctx, name, body)
}

// Get implements bhplatform.Objects.
func (o *refusingObjects) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gets {
		return nil, bhcode.New(bhcode.PlatformUnavailable, "status 503: no objects now")
	}
	return o.Store.Get(ctx, name, offset)
}

// newRefusingRunner starts a runner over objects that may be refused.
func newRefusingRunner(t *testing.T, store *bhstand.Store) (*runnerFixture, *refusingObjects) {
	objects := &refusingObjects{Store: store}
	r := newRunnerFixture(t, store, "a", func(config *RunnerConfig) {
		config.Jobs = NewJobStore(JobStoreConfig{Store: store, Objects: objects, Logger: bhlog.Nop()})
	})
	return r, objects
}

// TestItemsThatCannotBeLoadedLeaveOthersTheirClaims guards against accepted items that no engine runs,
// since some of their job that can't be loaded are claimed again and again.
func TestItemsThatCannotBeLoadedLeaveOthersTheirClaims(t *testing.T) {
	for name, damage := range map[string]func(store *bhstand.Store, objects *refusingObjects, item string){
		"the record is missing":     func(store *bhstand.Store, _ *refusingObjects, item string) { forceMissing(t, store, item) },
		"the store refuses objects": func(_ *bhstand.Store, objects *refusingObjects, _ string) { objects.refuse(false, true) },
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			submission := sampleJob("j", 8)
			submission.Retention = 12 * time.Second
			for i := range 4 {
				submission.Items[i].Body = bytes.Repeat([]byte("x"), recordLimit+1)
			}
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
			r, objects := newRefusingRunner(t, store)
			for i := range 4 {
				damage(store, objects, fmt.Sprintf("j-%d", i))
			}
			began := time.Now()
			for _, result := range r.waitResults("j", 4) {
				assert.Equal(t, Completed, result.Status, result.ID)
			}
			assert.Less(t, time.Since(began), submission.Retention, "they are done before the others may be given up")
			for _, result := range r.waitResults("j", 8)[4:] {
				assert.Equal(t, Dead, result.Status, result.ID)
				assert.GreaterOrEqual(t, time.Since(began), submission.Retention-time.Second)
			}
		})
	}
}

func forceMissing(t *testing.T, store *bhstand.Store, item string) {
	t.Helper()
	require.NoError(t, store.Force(itemKey(itemTable, "zoo", "j", item), nil))
}

// TestItemsThatCouldNotBeLoadedRunLater guards against items that stay unclaimed once the store
// serves their content again.
func TestItemsThatCouldNotBeLoadedRunLater(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	submission := sampleJob("j", 3)
	submission.Items[1].Body = bytes.Repeat([]byte("x"), recordLimit+1)
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	r, objects := newRefusingRunner(t, store)
	objects.refuse(false, true)
	r.waitResults("j", 2)
	objects.refuse(false, false)
	for _, result := range r.waitResults("j", 3) {
		assert.Equal(t, Completed, result.Status)
	}
}

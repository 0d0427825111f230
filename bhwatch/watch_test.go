package bhwatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// fakeSource is a Source with a configurable latency and error.
type fakeSource struct {
	mu        sync.Mutex
	version   bhplatform.Version
	instances []Instance
	evacuated map[string]bool
	policyErr error
	latency   time.Duration
	err       error
	reads     int
}

func (s *fakeSource) update(change func(s *fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Directives implements Source. It answers after the latency with the values at the
// time of the call.
func (s *fakeSource) Directives(ctx context.Context, known bhplatform.Version) (Directives, error) {
	s.mu.Lock()
	latency, err := s.latency, s.err
	directives := Directives{Version: s.version, PolicyVersion: s.version, PolicyErr: s.policyErr, Evacuated: s.evacuated}
	s.reads++
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return Directives{}, ctx.Err()
	case <-time.After(latency):
	}
	if err == nil && directives.PolicyErr == nil && directives.Version != known {
		directives.Policy = &bhpolicy.Policy{Version: int64(directives.Version), Services: []bhpolicy.Service{{Name: "s"}}}
	}
	return directives, err
}

// Instances implements Source.
func (s *fakeSource) Instances(context.Context) ([]Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances, s.err
}

func newWatcher(source Source) (*Watcher, bhclock.Clock) {
	clock := bhclock.NewRuntime()
	return New(Config{Source: source, Clock: clock, Logger: bhlog.Nop(), Scope: tally.NoopScope}), clock
}

// runInBackground runs the Watcher until the test ends.
func runInBackground(t *testing.T, w *Watcher) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestProvenAtIsWhenTheReadWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1, latency: 800 * time.Millisecond}
		w, clock := newWatcher(source)
		startedAt := clock.Now()
		runInBackground(t, w)
		time.Sleep(810 * time.Millisecond)
		require.NotNil(t, w.View().Index)
		assert.Equal(t, startedAt, w.View().ProvenAt)
	})
}

func TestProvenAtStaysDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1}
		w, clock := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.err = errors.New("down") })
		lastProvenAt := w.View().ProvenAt
		time.Sleep(10 * time.Second)
		assert.Equal(t, lastProvenAt, w.View().ProvenAt)
		assert.Greater(t, clock.Now()-w.View().ProvenAt, 9*time.Second)
		require.NotNil(t, w.View().Index, "the last policy is kept")
	})
}

// TestOlderAnswersDontReplaceNewerPolicies guards against a route that counts as removed, and
// items that are given up with it, for a read that a later one has overtaken.
func TestOlderAnswersDontReplaceNewerPolicies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1, latency: 600 * time.Millisecond}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(100 * time.Millisecond)
		source.update(func(s *fakeSource) { s.version, s.latency = 2, time.Millisecond })
		time.Sleep(DefaultInterval) // the second poll overtakes the first
		for range 100 {
			assert.Equal(t, int64(2), w.View().Index.Policy.Version)
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func TestConfirmReadsAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1, latency: 50 * time.Millisecond}
		w, clock := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.version = 2 })
		called := clock.Now()
		view, err := w.Confirm(t.Context())
		require.NoError(t, err)
		assert.Equal(t, int64(2), view.Index.Policy.Version)
		assert.GreaterOrEqual(t, view.ProvenAt, called)
	})
}

func TestConfirmFailsAtOnceInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.latency = time.Hour })
		time.Sleep(2 * time.Second)
		called := time.Now()
		_, err := w.Confirm(t.Context())
		require.Error(t, err)
		assert.True(t, bhcode.Is(err, bhcode.PlatformUnavailable))
		assert.Zero(t, time.Since(called), "a client isn't kept waiting for an answer that won't come")
		source.update(func(s *fakeSource) { s.latency = 0 })
		time.Sleep(2 * time.Second)
		_, err = w.Confirm(t.Context())
		assert.NoError(t, err)
	})
}

func TestConcurrentConfirmsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1}
		w, _ := newWatcher(source)
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				_, err := w.Confirm(t.Context())
				assert.NoError(t, err)
			})
		}
		group.Wait()
		assert.Equal(t, 1, source.reads)
	})
}

func TestConfirmFailsWithoutThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1, err: errors.New("down")}
		w, _ := newWatcher(source)
		_, err := w.Confirm(t.Context())
		require.Error(t, err)
	})
}

func TestHungReadsDontBlockLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1}
		w, clock := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.latency = time.Hour })
		time.Sleep(2 * time.Second)
		source.update(func(s *fakeSource) { s.latency = 0 })
		time.Sleep(pollTimeout + DefaultInterval)
		assert.Less(t, clock.Now()-w.View().ProvenAt, 2*DefaultInterval)
	})
}

func instanceIDs(instances []Instance) []string {
	var result []string
	for _, instance := range instances {
		result = append(result, instance.ID)
	}
	return result
}

func TestInstancesMissingAfterAnOutageStayUntilTheGraceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := Instance{ID: "a", Service: "s"}, Instance{ID: "b", Service: "s"}
		source := &fakeSource{version: 1, instances: []Instance{a, b}}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		assert.ElementsMatch(t, []string{"a", "b"}, instanceIDs(w.View().Fleet["s"]))
		source.update(func(s *fakeSource) { s.err = errors.New("down") })
		time.Sleep(4 * time.Second)
		assert.ElementsMatch(t, []string{"a", "b"}, instanceIDs(w.View().Fleet["s"]), "kept during the outage")
		source.update(func(s *fakeSource) { s.err, s.instances = nil, []Instance{a} })
		time.Sleep(renewGrace - 2*DefaultInterval)
		assert.ElementsMatch(t, []string{"a", "b"}, instanceIDs(w.View().Fleet["s"]), "b may still renew its record")
		time.Sleep(4 * DefaultInterval)
		assert.Equal(t, []string{"a"}, instanceIDs(w.View().Fleet["s"]))
	})
}

func TestInstancesMissingWithoutAnOutageAreRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := Instance{ID: "a", Service: "s"}, Instance{ID: "b", Service: "s"}
		source := &fakeSource{version: 1, instances: []Instance{a, b}}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.instances = []Instance{a} })
		time.Sleep(DefaultInterval + time.Millisecond)
		assert.Equal(t, []string{"a"}, instanceIDs(w.View().Fleet["s"]))
	})
}

func TestDrainingInstancesMissingAfterAnOutageAreRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := Instance{ID: "a", Service: "s"}, Instance{ID: "b", Service: "s", Draining: true}
		source := &fakeSource{version: 1, instances: []Instance{a, b}}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.err = errors.New("down") })
		time.Sleep(4 * time.Second)
		source.update(func(s *fakeSource) { s.err, s.instances = nil, []Instance{a} })
		time.Sleep(2 * DefaultInterval)
		assert.Equal(t, []string{"a"}, instanceIDs(w.View().Fleet["s"]))
	})
}

func TestNewestInstanceReplacesOthersAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := Instance{ID: "old", Service: "s", Address: "10.0.0.1:80", Born: 100}
		young := Instance{ID: "young", Service: "s", Address: "10.0.0.1:80", Born: 200}
		other := Instance{ID: "other", Service: "s", Address: "10.0.0.2:80", Born: 50}
		source := &fakeSource{version: 1, instances: []Instance{old, other}}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		assert.ElementsMatch(t, []string{"old", "other"}, instanceIDs(w.View().Fleet["s"]))
		source.update(func(s *fakeSource) { s.instances = []Instance{young, old, other} })
		time.Sleep(2 * DefaultInterval)
		assert.ElementsMatch(t, []string{"young", "other"}, instanceIDs(w.View().Fleet["s"]), "the record of the replaced instance hasn't expired yet")
		source.update(func(s *fakeSource) { s.instances = []Instance{old, other} })
		time.Sleep(2 * DefaultInterval)
		assert.ElementsMatch(t, []string{"old", "other"}, instanceIDs(w.View().Fleet["s"]), "the record of the newer instance is gone")
	})
}

// TestInstanceIsColdAsLongAsItsRecordSaysFromItsFirstRead guards against an upstream that is
// taken to be cold for ever because its record isn't renewed, or warm when it is cold again.
func TestInstanceIsColdAsLongAsItsRecordSaysFromItsFirstRead(t *testing.T) {
	tracker := newInstanceTracker(time.Hour)
	for _, c := range []struct {
		sent time.Duration
		born int64
		cold time.Duration
		want time.Duration
	}{
		{1 * time.Second, 1, 0, 0},
		{2 * time.Second, 1, 3 * time.Second, 5 * time.Second},
		{3 * time.Second, 1, 3 * time.Second, 5 * time.Second},
		{4 * time.Second, 1, 500 * time.Millisecond, 4500 * time.Millisecond},
		{9 * time.Second, 1, 500 * time.Millisecond, 4500 * time.Millisecond},
		{10 * time.Second, 1, 3 * time.Second, 13 * time.Second},
		{11 * time.Second, 2, 3 * time.Second, 14 * time.Second},
		{12 * time.Second, 2, 0, 0},
	} {
		fleet := tracker.update([]Instance{{ID: "a", Service: "s", Born: c.born, Cold: c.cold}}, c.sent, c.sent, nil, bhlog.Nop())
		assert.Equal(t, c.want, fleet["s"][0].ColdUntil, "at %s", c.sent)
	}
}

func TestConfirmFleetReadsTheListAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1, latency: 50 * time.Millisecond}
		source.instances = []Instance{{ID: "a", Service: "s", Version: "v1"}}
		w, clock := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.instances = append(s.instances, Instance{ID: "b", Service: "s", Version: "v2"}) })
		called := clock.Now()
		view, err := w.ConfirmFleet(t.Context())
		require.NoError(t, err)
		assert.GreaterOrEqual(t, view.Versions.ReadAt, called)
		assert.Len(t, view.Fleet["s"], 2)
		source.update(func(s *fakeSource) { s.latency = time.Hour })
		time.Sleep(2 * time.Second)
		asked := time.Now()
		_, err = w.ConfirmFleet(t.Context())
		require.Error(t, err)
		assert.Zero(t, time.Since(asked), "a client isn't kept waiting for an answer that won't come")
	})
}

// TestRecordOfAnUnknownServiceHidesNoInstance guards against a record that another writer left,
// with the address of an upstream and a later start: the upstream was taken to be replaced.
func TestRecordOfAnUnknownServiceHidesNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1, instances: []Instance{
			{ID: "sound", Service: "s", Address: "10.0.0.1:80", Born: 100}, {ID: "odd", Service: "nobody", Address: "10.0.0.1:80", Born: 200},
		}}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(2 * DefaultInterval)
		view := w.View()
		assert.Equal(t, []string{"sound"}, instanceIDs(view.Fleet["s"]))
		instance, ok := view.At("10.0.0.1:80")
		assert.True(t, ok)
		assert.Equal(t, "sound", instance.ID)
		_, ok = view.At("10.0.0.2:80")
		assert.False(t, ok)
	})
}

package bhwatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// TestEvacuationIsInForceWithinAPoll guards against an evacuation that a process learns of
// late, also while each answer of the store takes long.
func TestEvacuationIsInForceWithinAPoll(t *testing.T) {
	for _, latency := range []time.Duration{4 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			source := &fakeSource{version: 1, instances: []Instance{{ID: "a", Service: "s", Zone: "north"}, {ID: "b", Service: "s", Zone: "south"}}, latency: latency}
			w, _ := newWatcher(source)
			runInBackground(t, w)
			time.Sleep(time.Second)
			view := w.View()
			assert.ElementsMatch(t, []string{"a", "b"}, instanceIDs(view.Available("s")))
			source.update(func(s *fakeSource) { s.version, s.evacuated = 2, map[string]bool{"north": true} })
			time.Sleep(DefaultInterval + latency)
			synctest.Wait()
			view = w.View()
			assert.Equal(t, []string{"b"}, instanceIDs(view.Available("s")))
			assert.ElementsMatch(t, []string{"a", "b"}, instanceIDs(view.Fleet["s"]))
			source.update(func(s *fakeSource) { s.version, s.evacuated = 3, nil })
			time.Sleep(DefaultInterval + latency)
			synctest.Wait()
			view = w.View()
			assert.ElementsMatch(t, []string{"a", "b"}, instanceIDs(view.Available("s")))
		})
	}
}

// TestEvacuationHoldsWhileThePlatformIsSilent guards against a data centre that is used again
// because the store can't be read, or by a process that has just started and can't know.
func TestEvacuationHoldsWhileThePlatformIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 2, instances: []Instance{{ID: "a", Service: "s", Zone: "north"}}, evacuated: map[string]bool{"north": true}}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) { s.err = errors.New("down") })
		time.Sleep(time.Minute)
		view := w.View()
		assert.Empty(t, view.Available("s"))
		restarted, _ := newWatcher(source)
		runInBackground(t, restarted)
		time.Sleep(time.Minute)
		view = restarted.View()
		assert.Nil(t, view.Index, "it serves nothing without a policy")
		assert.Empty(t, view.Available("s"))
	})
}

// TestEvacuationHoldsBesideAnUnusablePolicy guards against an evacuation that is missed
// because something else that the operator wrote is malformed.
func TestEvacuationHoldsBesideAnUnusablePolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1, instances: []Instance{{ID: "a", Service: "s", Zone: "north"}}}
		w, _ := newWatcher(source)
		runInBackground(t, w)
		time.Sleep(time.Second)
		source.update(func(s *fakeSource) {
			s.version, s.evacuated, s.policyErr = 2, map[string]bool{"north": true}, errors.New("malformed")
		})
		time.Sleep(time.Second)
		view := w.View()
		assert.Equal(t, int64(1), view.Index.Policy.Version)
		assert.Empty(t, view.Available("s"))
	})
}

func TestOlderDirectivesDontReplaceNewerOnes(t *testing.T) {
	var e evacuations
	for _, c := range []struct {
		version   bhplatform.Version
		evacuated map[string]bool
		want      map[string]bool
	}{
		{5, map[string]bool{"north": true}, map[string]bool{"north": true}},
		{4, map[string]bool{}, map[string]bool{"north": true}},
		{5, map[string]bool{"north": true}, map[string]bool{"north": true}},
		{6, map[string]bool{"south": true}, map[string]bool{"south": true}},
		{7, map[string]bool{}, map[string]bool{}},
	} {
		e.update(Directives{Version: c.version, Evacuated: c.evacuated}, bhlog.Nop())
		assert.Equal(t, c.want, e.centres, "version %d", c.version)
	}
}

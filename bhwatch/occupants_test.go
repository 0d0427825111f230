package bhwatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

const occupiedAddress = "10.0.0.1:80"

// contest runs a watcher whose source lists a worker that writes its record at each heartbeat, and
// since later the other instances, at the same address unless they have another one.
func contest(t *testing.T, others ...Instance) (*Watcher, *fakeSource, Instance) {
	worker := Instance{ID: "worker", Service: "s", Address: occupiedAddress, Born: 100, Version: "v1"}
	source := &fakeSource{version: 1, instances: []Instance{worker}}
	w, _ := newWatcher(source)
	runInBackground(t, w)
	source.beat(t, "worker")
	time.Sleep(5 * time.Second)
	for i := range others {
		others[i].Service = "s"
		if others[i].Address == "" {
			others[i].Address = occupiedAddress
		}
	}
	source.update(func(s *fakeSource) { s.instances = append(s.instances, others...) })
	time.Sleep(DefaultInterval)
	synctest.Wait()
	return w, source, worker
}

// beat has the record of the instance change every 1.2 s until the test ends.
func (s *fakeSource) beat(t *testing.T, id string) {
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			s.update(func(s *fakeSource) {
				changed := append([]Instance(nil), s.instances...)
				for i := range changed {
					if changed[i].ID == id {
						changed[i].Sequence++
					}
				}
				s.instances = changed
			})
		}
	}()
	t.Cleanup(func() {
		close(stopped)
		<-done
	})
}

func fleetIDs(w *Watcher) []string { return instanceIDs(w.View().Fleet["s"]) }

func occupantOf(w *Watcher) string {
	view := w.View()
	instance, _ := view.At(occupiedAddress)
	return instance.ID
}

// TestConflictingEntryHidesNoWorkerForLong guards against an entry with the address of a worker and a
// later start that hides the worker for good, whatever it says and whether requests are sent or not.
func TestConflictingEntryHidesNoWorkerForLong(t *testing.T) {
	for name, other := range map[string]Instance{
		"ready":             {ID: "other", Born: 200},
		"draining":          {ID: "other", Born: 200, Draining: true},
		"the same start":    {ID: "other", Born: 100},
		"hours ahead":       {ID: "other", Born: 1 << 50},
		"without a start":   {ID: "other"},
		"with its own data": {ID: "other", Born: 200, Version: "v9", Slots: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("no request is sent", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w, _, _ := contest(t, other)
					time.Sleep(4 * time.Second)
					for range 100 {
						assert.Equal(t, []string{"worker"}, fleetIDs(w))
						assert.Equal(t, "worker", occupantOf(w))
						time.Sleep(time.Second)
					}
				})
			})
			t.Run("the worker answers", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w, source, worker := contest(t, other)
					source.update(func(s *fakeSource) { other = s.instances[1] })
					w.ObserveOccupant(other, "worker", w.config.Clock.Now())
					for range 100 {
						assert.Equal(t, []string{"worker"}, fleetIDs(w))
						assert.False(t, w.View().Contested[occupiedAddress])
						time.Sleep(time.Second)
					}
					assert.Equal(t, worker.ID, occupantOf(w))
				})
			})
			t.Run("the worker reports its start", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w, _, _ := contest(t, other)
					w.ObserveStart(occupiedAddress, 100, w.config.Clock.Now())
					if other.Born != 100 {
						assert.Equal(t, []string{"worker"}, fleetIDs(w))
					}
					assert.Equal(t, other.Born == 100 && !other.Draining, len(fleetIDs(w)) == 2)
				})
			})
		})
	}
}

// TestDrainingEntryReplacesNoInstance guards against a worker that is lost to a draining entry, to
// which nobody sends a request that would show the other.
func TestDrainingEntryReplacesNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, _ := contest(t, Instance{ID: "other", Born: 200, Draining: true})
		assert.ElementsMatch(t, []string{"worker", "other"}, fleetIDs(w))
		assert.Equal(t, "worker", occupantOf(w))
	})
}

// TestOneAnswerRefutesAllEntriesAtItsAddress guards against requests that are used up by one entry
// after another.
func TestOneAnswerRefutesAllEntriesAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, source, _ := contest(t, Instance{ID: "l1", Born: 200}, Instance{ID: "l2", Born: 300}, Instance{ID: "l3", Born: 100}, Instance{ID: "far", Born: 300, Address: "10.0.0.2:80"})
		assert.ElementsMatch(t, []string{"l2", "far"}, fleetIDs(w))
		asked := w.config.Clock.Now()
		time.Sleep(100 * time.Millisecond)
		source.update(func(s *fakeSource) {
			s.instances = append(s.instances, Instance{ID: "started", Service: "s", Address: occupiedAddress, Born: 400})
		})
		time.Sleep(DefaultInterval)
		synctest.Wait()
		w.ObserveOccupant(Instance{ID: "l2", Address: occupiedAddress, Born: 300}, "worker", asked)
		assert.ElementsMatch(t, []string{"started", "far"}, fleetIDs(w), "the answer is older than the last start")
		w.ObserveOccupant(Instance{ID: "started", Address: occupiedAddress, Born: 400}, "worker", w.config.Clock.Now())
		assert.ElementsMatch(t, []string{"worker", "far"}, fleetIDs(w))
	})
}

// TestWorkerThatStartedAgainIsBelievedAtOnce guards against a worker under a new ID at the address
// of its last start, whose entry hasn't expired, that gets no requests.
func TestWorkerThatStartedAgainIsBelievedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, source, worker := contest(t)
		source.update(func(s *fakeSource) {
			ended := worker
			ended.Sequence = 1000 // a last write that the store carried out late
			s.instances = []Instance{ended, {ID: "again", Service: "s", Address: occupiedAddress, Born: 200}}
		})
		source.beat(t, "again")
		time.Sleep(DefaultInterval)
		synctest.Wait()
		for range 40 {
			assert.Equal(t, []string{"again"}, fleetIDs(w))
			time.Sleep(100 * time.Millisecond)
		}
		w.ObserveOccupant(worker, "again", w.config.Clock.Now())
		source.update(func(s *fakeSource) { s.instances[1].Draining = true })
		time.Sleep(time.Second)
		assert.Equal(t, []string{"again"}, fleetIDs(w))
	})
}

// TestRefutedInstanceIsUsedAgain guards against a sound worker that is lost for good by an answer that
// was a fault, or by one to its last start.
func TestRefutedInstanceIsUsedAgain(t *testing.T) {
	t.Run("no other one is listed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, _, worker := contest(t)
			w.ObserveOccupant(worker, "nobody", w.config.Clock.Now())
			assert.Empty(t, fleetIDs(w))
			time.Sleep(refutedExclusion + DefaultInterval)
			assert.Equal(t, []string{"worker"}, fleetIDs(w))
		})
	})
	t.Run("another one is listed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, _, worker := contest(t, Instance{ID: "other", Born: 200})
			w.ObserveOccupant(worker, "other", w.config.Clock.Now())
			assert.Equal(t, []string{"other"}, fleetIDs(w))
			time.Sleep(time.Minute)
			w.ObserveOccupant(Instance{ID: "other", Address: occupiedAddress, Born: 200}, "worker", w.config.Clock.Now())
			assert.Equal(t, []string{"worker"}, fleetIDs(w))
		})
	})
	t.Run("it starts again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, source, worker := contest(t)
			w.ObserveOccupant(worker, "nobody", w.config.Clock.Now())
			source.update(func(s *fakeSource) {
				s.instances = []Instance{{ID: "worker", Service: "s", Address: occupiedAddress, Born: 101}}
			})
			time.Sleep(DefaultInterval)
			assert.Equal(t, []string{"worker"}, fleetIDs(w))
		})
	})
	t.Run("its record is odd for a heartbeat", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, source, worker := contest(t)
			source.update(func(s *fakeSource) { s.instances = nil })
			time.Sleep(time.Second)
			assert.Empty(t, fleetIDs(w))
			source.update(func(s *fakeSource) { s.instances = []Instance{worker} })
			time.Sleep(DefaultInterval)
			assert.Equal(t, []string{"worker"}, fleetIDs(w))
		})
	})
	t.Run("an outage of the store", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, source, _ := contest(t, Instance{ID: "other", Born: 200})
			time.Sleep(4 * time.Second)
			source.update(func(s *fakeSource) { s.err = errors.New("down") })
			time.Sleep(time.Minute)
			assert.Equal(t, []string{"worker"}, fleetIDs(w))
			source.update(func(s *fakeSource) { s.err = nil })
			time.Sleep(4 * time.Second)
			assert.Equal(t, []string{"worker"}, fleetIDs(w))
		})
	})
}

// TestVersionsOfRefutedInstancesDontCount guards against streams that aren't taken up since an entry
// that conflicts with a sound one names another version.
func TestVersionsOfRefutedInstancesDontCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, _ := contest(t, Instance{ID: "other", Born: 200, Version: "v9"})
		time.Sleep(4*time.Second + versionMemory)
		version, ok := w.View().Versions.Only("s", w.config.Clock.Now()-versionMemory/2)
		assert.True(t, ok)
		assert.Equal(t, "v1", version)
	})
}

// TestEntryThatComesAndGoesStaysRefuted guards against an entry that is odd for a while, or removed,
// and hides the worker again each time that it is back.
func TestEntryThatComesAndGoesStaysRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, source, _ := contest(t, Instance{ID: "other", Born: 200})
		var other Instance
		source.update(func(s *fakeSource) { other = s.instances[1] })
		w.ObserveOccupant(other, "worker", w.config.Clock.Now())
		for range 5 {
			source.update(func(s *fakeSource) { s.instances = s.instances[:1] })
			time.Sleep(2 * time.Second)
			source.update(func(s *fakeSource) { s.instances = append(s.instances[:1:1], other) })
			for range 20 {
				assert.Equal(t, []string{"worker"}, fleetIDs(w))
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}

func TestStartsAreForgottenAfterTheirRecords(t *testing.T) {
	tracker := newInstanceTracker(time.Hour)
	tracker.update([]Instance{{ID: "a", Service: "s", Born: 1}}, 1, 1, nil, bhlog.Nop())
	tracker.update(nil, 2, 2, nil, bhlog.Nop())
	assert.Len(t, tracker.starts, 1)
	tracker.update(nil, 3+startMemory, 3+startMemory, nil, bhlog.Nop())
	assert.Empty(t, tracker.starts)
}

// TestInstancesThatLapsedInALongOutageAreKept guards against a process that ends because it has
// forgotten the start of an instance that it still knows.
func TestInstancesThatLapsedInALongOutageAreKept(t *testing.T) {
	const outage = 2 * startMemory
	tracker := newInstanceTracker(time.Second)
	instances := []Instance{{ID: "a", Service: "s", Born: 1}, {ID: "b", Service: "s", Born: 1}}
	tracker.update(instances, 1, 1, nil, bhlog.Nop())
	for _, since := range []time.Duration{0, time.Second} {
		fleet := tracker.update(instances[:1], outage+since, outage+since, nil, bhlog.Nop())
		assert.ElementsMatch(t, []string{"a", "b"}, instanceIDs(fleet["s"]))
	}
}

// TestRecordWithAnotherAddressLeavesNoMark guards against a sound worker that gets no requests for a
// while, since another writer had entered another worker's address under its ID.
func TestRecordWithAnotherAddressLeavesNoMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const own = "10.0.0.2:80"
		w, source, _ := contest(t, Instance{ID: "second", Address: own, Born: 100})
		enter := func(address string) (entered Instance) {
			source.update(func(s *fakeSource) {
				s.instances = append([]Instance(nil), s.instances...)
				s.instances[1].Address = address
				entered = s.instances[1]
			})
			time.Sleep(DefaultInterval)
			synctest.Wait()
			return entered
		}
		w.ObserveOccupant(enter(occupiedAddress), "worker", w.config.Clock.Now())
		assert.Equal(t, []string{"worker"}, fleetIDs(w))
		enter(own)
		assert.ElementsMatch(t, []string{"worker", "second"}, fleetIDs(w))
	})
}

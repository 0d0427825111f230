package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// heartbeatTime is the time between two writes of an engine's entry.
	heartbeatTime = 1200 * time.Millisecond
	// oddNames is the number of names under which another writer enters something.
	oddNames = 3
)

// entry is what an engine enters in the list of engines. Its fields are those of the platform's page.
type entry struct {
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs int     `json:"coldRemainingMs"`
	Stage           string  `json:"stage"`
	Models          []model `json:"models"`
	Sequence        int     `json:"sequence"`
	Born            int64   `json:"born"`
}

// model is one of the models that an engine has loaded.
type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// report is an engine's answer to GET /report.
type report struct {
	Stage    string  `json:"stage"`
	Models   []model `json:"models"`
	Busy     bool    `json:"busy"`
	Sequence int     `json:"sequence"`
	Waiting  int     `json:"waiting"`
	Running  int     `json:"running"`
	KVUsed   int     `json:"kvUsed"`
	KVTotal  int     `json:"kvTotal"`
	Handles  int     `json:"handles"`
	Born     int64   `json:"born"`
}

func loadedModels() []model { return []model{{Name: "m", Version: 1, Adapters: []string{}}} }

// nextEntry returns the engine's entry, or false if the engine is down or lost.
func (e *engine) nextEntry() (entry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return entry{
		Service: "llm", Address: e.address, Zone: centre(e.id), Version: e.version, Slots: engineSlots, State: e.state,
		Stage: "both", Models: loadedModels(), Sequence: e.sequence, Born: e.startedAt,
	}, !e.lost && !e.down
}

// report returns the engine's report. The caller holds e.mu.
func (e *engine) report() report {
	return report{Stage: "both", Models: loadedModels(), Waiting: e.waiting, Running: e.running, KVTotal: 79_783, Born: e.startedAt}
}

// begin counts a start of the engine. The caller holds e.mu.
func (e *engine) begin() {
	e.starts++
	e.startedAt = max(e.startedAt+1, time.Now().UnixMilli())
	e.sequence = 0
}

// list has the engine enter the state and then write its entry at each heartbeat.
func (w *world) list(e *engine, state string) {
	e.set(func(e *engine) { e.state = state })
	w.writeEntry(e)
	e.checkIns.Do(func() {
		go func() {
			for w.t.Context().Err() == nil {
				pause(w.t.Context(), heartbeatTime)
				w.writeEntry(e)
			}
		}()
	})
}

func (w *world) writeEntry(e *engine) {
	e.entryWrites.Lock()
	defer e.entryWrites.Unlock()
	entered, up := e.nextEntry()
	if !up || w.t.Context().Err() != nil {
		return
	}
	if err := w.store.put("servers", e.id, entered); err != nil {
		w.record.broken("entry of %s: %v", e.id, err)
	}
}

// listOdd writes an entry of another writer with the address of an engine, which names no engine to use.
func (w *world) listOdd(random *rand.Rand) {
	e := w.engines[random.IntN(len(w.engines))]
	sound, _ := e.nextEntry()
	sound.Born = time.Now().UnixMilli()
	data, err := json.Marshal(sound)
	require.NoError(w.t, err)
	odd := oddEntries(string(data))
	if random.IntN(2) == 0 {
		odd = conflictingEntries(sound)
	}
	key := bhplatform.Key{Table: "servers", Name: fmt.Sprint("odd-", random.IntN(oddNames))}
	require.NoError(w.t, w.store.store.Force(key, []byte(odd[random.IntN(len(odd))])))
}

// oddEntries returns entries that differ from the sound one in one field, and some that are none.
func oddEntries(sound string) []string {
	odd := []string{
		strings.Repeat(`{"service":`, rowBytes/len(`{"service":`)),
		strings.Repeat(`[`, rowBytes/2) + strings.Repeat(`]`, rowBytes/2),
		"\xff\x00\xfe",
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(sound), &fields); err != nil {
		panic(err)
	}
	change := func(name, value string) {
		changed := map[string]json.RawMessage{}
		for other, kept := range fields {
			changed[other] = kept
		}
		delete(changed, name)
		if value != "" {
			changed[name] = json.RawMessage(value)
		}
		data, err := json.Marshal(changed)
		if err != nil {
			panic(err)
		}
		odd = append(odd, string(data))
	}
	for _, name := range []string{"service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"} {
		for _, value := range []string{"", "null", "[]", "{}", "true"} {
			change(name, value)
		}
	}
	for _, name := range []string{"slots", "sequence", "born"} {
		for _, value := range []string{"null", "[]", "true", `"4"`, "4.5", "1e300", "-1"} {
			change(name, value)
		}
	}
	change("coldRemainingMs", `"0"`)
	change("state", `"resting"`)
	change("service", `"nobody"`)
	change("address", `"127.0.0.1:99999"`)
	change("address", `"127.0.0.1:0"`)
	return odd
}

// conflictingEntries returns entries with all fields that differ from the sound one in what they say.
func conflictingEntries(sound entry) []string {
	draining, ahead, early := sound, sound, sound
	draining.State = "draining"
	ahead.Born += time.Hour.Milliseconds()
	early.Born = 0
	var conflicting []string
	for _, entered := range []entry{sound, draining, ahead, early} {
		data, err := json.Marshal(entered)
		if err != nil {
			panic(err)
		}
		conflicting = append(conflicting, string(data))
	}
	return conflicting
}

package bhjob

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// notText is a byte that no UTF-8 text has.
const notText = "\xff"

// Guards against a job that nobody can read any more, because one byte of one item's output isn't
// UTF-8.
func TestOutputThatIsNoTextIsRunAgain(t *testing.T) {
	for name, c := range map[string]struct {
		events string
		// resumed is the event after which the second request goes on.
		resumed string
	}{
		"data":              {"id: 1\ndata: j-0-1\n\nid: 2\ndata: j-0-" + notText + "\n\nid: 3\ndata: j-0-3\n\n", "1"},
		"data of the first": {"id: 1\ndata: " + notText + "\n\n", ""},
		"data of the last":  {"id: 1\ndata: j-0-1\n\nid: 2\ndata: j-0-2\n\nid: 3\ndata: j-0-\xe3\x81\n\n", "2"},
		"surrogate":         {"id: 1\ndata: j-0-1\n\nid: 2\ndata: \xed\xa0\x80\n\n", "1"},
		"ID":                {"id: 1\ndata: j-0-1\n\nid: " + notText + "\ndata: j-0-2\n\n", "1"},
		"ID of the first":   {"id: " + notText + "\ndata: j-0-1\n\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) {
				e.next = func(w http.ResponseWriter, r *http.Request) {
					writeFramed(w, r, bhforward.FramedByLength, "", c.events)
				}
			})
			submission := sampleJob("j", 1)
			submission.Attempts = 1
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
			assert.Equal(t, []Result{{ID: "j-0", Status: Completed, Text: expectedOutput("j-0", 5)}}, r.waitResults("j", 1))
			requests := r.engine.requestHeaders()
			require.Len(t, requests, 2)
			assert.Equal(t, c.resumed, requests[1].Get(dialect.LastEvent))
		})
	}
}

// Guards against an item that runs again because of bytes that no client gets.
func TestCommentsAndUnknownFieldsMayBeAnyBytes(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) {
		e.next = func(w http.ResponseWriter, r *http.Request) {
			writeFramed(w, r, bhforward.FramedByLength, "", ": "+notText+"\n\nx-note: "+notText+"\nid: 1\ndata: a\n\n")
		}
	})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	assert.Equal(t, "a", r.waitResults("j", 1)[0].Text)
	assert.Len(t, r.engine.requestHeaders(), 1)
}

// Guards against outputs that are recorded in another form than the engine sent them, or in one
// that this version or the one before can't read: the data is recorded as it came, or not at all.
func TestOutputsAreReadAsTheyCame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.OneOf(
			rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }),
			rapid.String(),
		).Draw(t, "data")
		data = strings.NewReplacer("\n", "", "\r", "").Replace(data)
		reader := bhevent.NewReader(bhevent.ReaderConfig{
			Source: strings.NewReader("id: 1\ndata: " + data + "\n\n"), Progress: &bhevent.Progress{}, Text: true,
		})
		events, err := reader.Next()
		if err != nil && err != io.EOF {
			require.False(t, utf8.ValidString(data), "%q is refused", data)
			require.Empty(t, events)
			return
		}
		text := bhevent.Parse(events)[0].Data[0]
		require.Equal(t, data, text)
		value, err := encode(Result{ID: "j-0", Status: Completed, Text: text})
		require.NoError(t, err)
		var before Result
		require.NoError(t, cbor.Unmarshal(value, &before), "the version before reads it")
		require.Equal(t, data, before.Text)
	})
}

// Guards against one result that costs all results of its job: an earlier version has recorded
// texts that aren't UTF-8, and a record may be damaged.
func TestUnreadableResultCostsItselfAlone(t *testing.T) {
	for name, c := range map[string]struct {
		value func(result Result) []byte
		id    string
	}{
		"text that is no UTF-8": {func(result Result) []byte {
			result.Text = "a" + notText
			return mustEncode(t, result)
		}, "j-1"},
		"text of another type": {func(result Result) []byte {
			return mustEncode(t, map[int]any{1: result.ID, 2: Completed, 3: 7})
		}, "j-1"},
		"no record at all": {func(Result) []byte { return []byte{0xff} }, ""},
		"an object that is missing": {func(result Result) []byte {
			return mustEncode(t, Result{ID: result.ID, Status: Completed, Object: "nowhere"})
		}, "j-1"},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			jobs := newTestJobStore(store)
			require.NoError(t, jobs.Submit(t.Context(), sampleJob("j", 4)))
			job := claimAll(t, jobs, "j", "a")
			for _, item := range []string{"j-0", "j-1", "j-2"} {
				recorded, err := jobs.RecordResult(t.Context(), job, "a", Result{ID: item, Status: Completed, Text: "text of " + item})
				require.NoError(t, err)
				require.True(t, recorded)
			}
			require.NoError(t, store.Force(resultKey("zoo", "j", 1), c.value(Result{ID: "j-1", Status: Completed, Text: "text of j-1"})))
			for range 2 {
				results, err := jobs.Results(t.Context(), "zoo", "j", 0)
				require.NoError(t, err)
				assert.Equal(t, Results{Total: 4, Next: 3, Results: []Result{
					{ID: "j-0", Status: Completed, Text: "text of j-0"},
					{ID: c.id, Status: Dead},
					{ID: "j-2", Status: Completed, Text: "text of j-2"},
				}}, results)
			}
		})
	}
}

// Guards against an unreadable result that stands for an outage of the store: a client must read
// the whole text once the store is back.
func TestResultIsNotGivenUpWhileTheStoreIsAway(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	objects := &failingObjects{Store: store}
	jobs := newTestJobStore(store)
	jobs.config.Objects = objects
	require.NoError(t, jobs.Submit(t.Context(), sampleJob("j", 1)))
	job := claimAll(t, jobs, "j", "a")
	_, err := jobs.RecordResult(t.Context(), job, "a", Result{ID: "j-0", Status: Completed, Text: largeText("x")})
	require.NoError(t, err)
	objects.fail = true
	_, err = jobs.Results(t.Context(), "zoo", "j", 0)
	require.Error(t, err)
	objects.fail = false
	results, err := jobs.Results(t.Context(), "zoo", "j", 0)
	require.NoError(t, err)
	assert.Equal(t, largeText("x"), results.Results[0].Text)
}

// Guards against a checkpoint that keeps its item from being started by any other runner: an
// earlier version has saved an output that isn't UTF-8, and a record may be damaged.
func TestUnreadableCheckpointIsNotResumed(t *testing.T) {
	for name, value := range map[string][]byte{
		"text": mustEncode(t, Checkpoint{LastEvent: "2", Text: "j-0-1\n" + notText, Service: "llm"}),
		"ID":   mustEncode(t, Checkpoint{LastEvent: notText, Text: "j-0-1", Service: "llm"}),
		"none": {0xff},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			jobs := newTestJobStore(store)
			require.NoError(t, jobs.Submit(t.Context(), sampleJob("j", 1)))
			job := claimAll(t, jobs, "j", "old")
			require.NoError(t, jobs.Release(t.Context(), job, "old", []ItemRelease{{ID: "j-0", Checkpoint: Checkpoint{LastEvent: "2", Text: "j-0-1\nj-0-2", Service: "llm"}}}))
			require.NoError(t, store.Force(checkpointKey(job, "j-0", "old"), value))
			r := newRunnerFixture(t, store, "a")
			assert.Equal(t, Result{ID: "j-0", Status: Completed, Text: expectedOutput("j-0", 5)}, r.waitResults("j", 1)[0])
			assert.Empty(t, r.engine.requestHeaders()[0].Get(dialect.LastEvent), "begun anew")
		})
	}
}

// Guards against an item that is claimed and returned without end, because its record can't be
// read.
func TestUnreadableItemIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		runner, _ := newIdleRunner(t, store, store, "r.1")
		require.NoError(t, runner.config.Jobs.Submit(t.Context(), sampleJob("j", 2)))
		require.NoError(t, store.Force(itemKey(itemTable, "zoo", "j", "j-0"), []byte{0xff}))
		claimIdle(t, runner, "j", "j-0")
		time.Sleep(time.Second)
		results, err := newTestJobStore(store).Results(t.Context(), "zoo", "j", 0)
		require.NoError(t, err)
		assert.Equal(t, []Result{{ID: "j-0", Status: Dead}}, results.Results)
	})
}

// failingObjects is a store of objects that is away while fail is set.
type failingObjects struct {
	*bhstand.Store
	fail bool
}

// Get implements bhplatform.Objects.
func (f *failingObjects) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	if f.fail {
		return nil, bhcode.New(bhcode.PlatformUnavailable, "away")
	}
	return f.Store.Get(ctx, name, offset)
}

// mustEncode encodes a value as any version does.
func mustEncode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := cbor.Marshal(value)
	require.NoError(t, err)
	return data
}

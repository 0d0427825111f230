package bhstand

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhchat"
)

type engineBody struct {
	Model    string           `json:"model"`
	Messages []bhchat.Message `json:"messages"`
	Stream   bool             `json:"stream"`
	Max      int              `json:"max_tokens,omitempty"`
	Resume   *bhchat.Resume   `json:"resume,omitempty"`
}

func newBody(content string) engineBody {
	return engineBody{Model: "m", Messages: []bhchat.Message{{Role: "user", Content: content}}}
}

func (b engineBody) request(t *testing.T) *http.Request {
	t.Helper()
	data, err := json.Marshal(b)
	require.NoError(t, err)
	return httptest.NewRequest(http.MethodPost, bhchat.Path, bytes.NewReader(data))
}

func newEngine(config EngineConfig) *Engine {
	if config.Models == nil {
		config.Models = map[string]string{"m": "1"}
	}
	return NewEngine(config)
}

// serve runs a request and reports whether the connection would have been
// closed without the end of the answer.
func serve(e *Engine, r *http.Request) (recorder *httptest.ResponseRecorder, aborted bool) {
	recorder = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			aborted = true
		}
	}()
	e.ServeHTTP(recorder, r)
	return recorder, false
}

func collect(t *testing.T, body io.Reader) (*bhchat.Collector, string) {
	t.Helper()
	data, err := io.ReadAll(body)
	require.NoError(t, err)
	var decoder bhchat.Decoder
	var collector bhchat.Collector
	chunks, err := decoder.Feed(data)
	require.NoError(t, err)
	for _, chunk := range chunks {
		collector.Add(chunk)
	}
	if decoder.Done() {
		collector.Done()
	}
	return &collector, collector.Completion("", 0).Choices[0].Message.Content
}

func TestPlainAndStreamedAnswersAreTheSame(t *testing.T) {
	engine := newEngine(EngineConfig{})
	want := strings.Join(Answer("m", "user: hello\n", 0), "")
	body := newBody("hello")
	recorder, _ := serve(engine, body.request(t))
	var completion bhchat.Completion
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &completion))
	assert.Equal(t, want, completion.Choices[0].Message.Content)
	body.Stream = true
	recorder, _ = serve(engine, body.request(t))
	collector, text := collect(t, recorder.Body)
	assert.True(t, collector.Whole())
	assert.Equal(t, want, text)
	assert.Equal(t, completion.Usage, collector.Usage())
	assert.NotEqual(t, want, strings.Join(Answer("m", "user: hullo\n", 0), ""))
}

func TestResumeGivesTheRest(t *testing.T) {
	engine := newEngine(EngineConfig{})
	tokens := Answer("m", "user: hello\n", 40)
	body := newBody("hello")
	body.Stream, body.Max = true, 40
	body.Resume = &bhchat.Resume{Text: strings.Join(tokens[:7], ""), Tokens: 7}
	recorder, _ := serve(engine, body.request(t))
	_, text := collect(t, recorder.Body)
	assert.Equal(t, strings.Join(tokens[7:], ""), text)
	body.Resume.Text = "something else"
	recorder, _ = serve(engine, body.request(t))
	assert.Equal(t, http.StatusBadRequest, recorder.Code)
}

func TestRefusalsAndUnknownModels(t *testing.T) {
	engine := newEngine(EngineConfig{})
	recorder, _ := serve(engine, newBody("please REFUSE this").request(t))
	assert.Equal(t, http.StatusBadRequest, recorder.Code)
	body := newBody("hello")
	body.Model = "other"
	recorder, _ = serve(engine, body.request(t))
	assert.Equal(t, http.StatusNotFound, recorder.Code)
}

func TestCrashEndsAllRequestsAndEmptiesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(EngineConfig{Token: time.Second, Restart: time.Minute, Models: map[string]string{"m": "1"}})
		innocent := make(chan bool)
		go func() {
			body := newBody(strings.Repeat("x", 600))
			body.Stream = true
			_, aborted := serve(engine, body.request(t))
			innocent <- aborted
		}()
		time.Sleep(5 * time.Second)
		assert.Equal(t, 2, engine.Load().Cached)
		_, aborted := serve(engine, newBody("CRASH").request(t))
		assert.True(t, aborted)
		assert.True(t, <-innocent)
		_, aborted = serve(engine, newBody("hello").request(t))
		assert.True(t, aborted, "the engine must be away while it restarts")
		time.Sleep(time.Minute)
		recorder, aborted := serve(engine, newBody("hello").request(t))
		assert.False(t, aborted)
		assert.Equal(t, http.StatusOK, recorder.Code)
		assert.Equal(t, 0, engine.Load().Cached)
		stats := engine.Stats()
		assert.Equal(t, 1, stats.Crashes)
		assert.Equal(t, 1, stats.Requests[Digest("user: CRASH\n")])
		assert.Equal(t, 2, stats.Cancelled)
		require.NoError(t, engine.Close())
	})
}

func TestClosedConnectionFreesItsSlotAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(EngineConfig{Slots: 1, Token: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan bool)
		go func() {
			_, aborted := serve(engine, newBody("first").request(t).WithContext(ctx))
			first <- aborted
		}()
		synctest.Wait()
		second := make(chan bool)
		go func() {
			_, aborted := serve(engine, newBody("second").request(t))
			second <- aborted
		}()
		synctest.Wait()
		assert.Equal(t, Load{Slots: 1, Running: 1, Waiting: 1}, engine.Load())
		cancel()
		assert.True(t, <-first)
		synctest.Wait()
		assert.Equal(t, Load{Slots: 1, Running: 1}, engine.Load())
		assert.False(t, <-second)
		assert.Equal(t, Load{Slots: 1}, engine.Load())
		require.NoError(t, engine.Close())
	})
}

func TestTimesGrowWithLoadAndFallWithTheCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(EngineConfig{Token: time.Second, Slowdown: 0.5, Prompt: time.Second})
		timed := func(content string) time.Duration {
			start := time.Now()
			serve(engine, newBody(content).request(t))
			return time.Since(start) / time.Duration(len(Answer("m", "user: "+content+"\n", 0)))
		}
		assert.Equal(t, time.Second, timed("a"))
		done := make(chan time.Duration, 2)
		go func() { done <- timed("a") }()
		go func() { done <- timed("a") }()
		assert.Greater(t, <-done, time.Second)
		<-done
		long := strings.Repeat("x", 2000)
		cold := timed(long)
		assert.Greater(t, cold, timed(long))
		require.NoError(t, engine.Close())
	})
}

func TestCacheEvictsAndItsEventsHaveGaps(t *testing.T) {
	c := newCache(2)
	assert.Equal(t, 3, c.use([]uint64{1, 2, 3}))
	assert.Equal(t, 1, c.use([]uint64{2, 4}))
	want := []Event{{1, EventStore, 1}, {3, EventStore, 3}, {5, EventStore, 4}}
	assert.Equal(t, want, c.after(0, 0, 2))
	assert.Len(t, c.after(0, 0, 0), 6)
	assert.Empty(t, c.after(0, time.Hour, 0))
}

func order(engine *Engine, o Order) int {
	data, err := json.Marshal(o)
	if err != nil {
		return 0
	}
	recorder := httptest.NewRecorder()
	engine.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, PathOrders, bytes.NewReader(data)))
	return recorder.Code
}

func TestOnlyFencedEnginesRefuseOldOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		engine := newEngine(EngineConfig{Fenced: fenced})
		require.Equal(t, http.StatusOK, order(engine, Order{Fence: 5, Action: ActionLoad, Model: "n", Version: "2"}))
		code := order(engine, Order{Fence: 4, Action: ActionLoad, Model: "n", Version: "1"})
		if fenced {
			assert.Equal(t, http.StatusConflict, code)
			assert.Equal(t, "2", engine.Models().Models["n"])
		} else {
			assert.Equal(t, http.StatusOK, code)
			assert.Equal(t, "1", engine.Models().Models["n"])
		}
		assert.EqualValues(t, 5, engine.Models().Fence)
	}
}

func TestFencedEngineRefusesALoadThatANewerOrderOvertook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(EngineConfig{Fenced: true, Loading: time.Minute})
		slow := make(chan int)
		go func() { slow <- order(engine, Order{Fence: 1, Action: ActionLoad, Model: "n", Version: "1"}) }()
		synctest.Wait()
		assert.Equal(t, http.StatusOK, order(engine, Order{Fence: 2, Action: ActionUnload, Model: "n"}))
		assert.Equal(t, http.StatusConflict, <-slow)
		assert.NotContains(t, engine.Models().Models, "n")
	})
}

func TestLoadingReadsTheWeights(t *testing.T) {
	weights := NewWeights(WeightsConfig{Size: 100_000})
	server := httptest.NewServer(weights)
	defer server.Close()
	engine := newEngine(EngineConfig{Weights: server.URL})
	assert.Equal(t, http.StatusOK, order(engine, Order{Action: ActionLoad, Model: "n/x", Version: "1"}))
	assert.EqualValues(t, 100_000, weights.Sent())
}

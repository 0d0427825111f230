package bhsidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

func newBatchEngine(t *testing.T, config bhstand.EngineConfig) batchEngine {
	config.Models = map[string]string{"rota": "1"}
	engine := bhstand.NewEngine(config)
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	declared := bhconf.Upstream{Name: "rota-1", Group: "rota", Slots: 8, Address: strings.TrimPrefix(server.URL, "http://")}
	return batchEngine{upstream: newUpstream(declared, equalWeight), onFirstToken: func() {}}
}

func batchItem(prompt string) bhbatch.Item {
	return bhbatch.Item{Body: []byte(`{"model":"rota","max_tokens":16,"messages":[{"role":"user","content":"` + prompt + `"}]}`)}
}

func discardEmit(bhbatch.Piece) {}

func TestResumedBatchItemHasSameAnswer(t *testing.T) {
	engine := newBatchEngine(t, bhstand.EngineConfig{})
	var texts []string
	full, err := engine.Run(context.Background(), batchItem("week"), bhbatch.ResumePoint{}, func(piece bhbatch.Piece) {
		texts = append(texts, piece.Text)
	})
	require.NoError(t, err)
	resume := bhbatch.ResumePoint{Text: strings.Join(texts[:5], ""), Tokens: 5}
	emitted := 0
	resumed, err := engine.Run(context.Background(), batchItem("week"), resume, func(bhbatch.Piece) { emitted++ })
	require.NoError(t, err)
	fullCreated, fullFields := splitCreated(t, full.Body)
	resumedCreated, resumedFields := splitCreated(t, resumed.Body)
	assert.Equal(t, fullFields, resumedFields)
	assert.GreaterOrEqual(t, resumedCreated, fullCreated)
	assert.Equal(t, len(texts)-5, emitted)
	assert.Equal(t, len(texts), resumed.Tokens)
}

// splitCreated returns an answer's creation time in seconds, which differs if
// two runs fall in different seconds, and the other fields of the answer.
func splitCreated(t *testing.T, body []byte) (float64, map[string]any) {
	t.Helper()
	var answer map[string]any
	require.NoError(t, json.Unmarshal(body, &answer))
	created, ok := answer["created"].(float64)
	require.True(t, ok, "%s", body)
	delete(answer, "created")
	return created, answer
}

// An item sent to a restarting engine fails with NoUpstream, which doesn't
// charge the item. A restarting engine closes connections just as one that the
// item crashed.
func TestBatchItemOnDownEngineFailsWithNoUpstream(t *testing.T) {
	engine := newBatchEngine(t, bhstand.EngineConfig{Restart: time.Hour})
	_, err := engine.Run(context.Background(), batchItem("CRASH"), bhbatch.ResumePoint{}, discardEmit)
	assert.True(t, bhcode.Is(err, bhcode.UpstreamLost), "%v", err)
	_, err = engine.Run(context.Background(), batchItem("week"), bhbatch.ResumePoint{}, discardEmit)
	assert.True(t, bhcode.Is(err, bhcode.NoUpstream), "%v", err)
	assert.False(t, engine.upstream.reachable())
}

func TestBatchItemErrorsByCause(t *testing.T) {
	engine := newBatchEngine(t, bhstand.EngineConfig{})
	_, err := engine.Run(context.Background(), batchItem("REFUSE"), bhbatch.ResumePoint{}, discardEmit)
	assert.True(t, bhcode.Is(err, bhcode.ItemFailed), "%v", err)
	unknownModel := batchItem("week")
	unknownModel.Body = []byte(strings.Replace(string(unknownModel.Body), "rota", "setlist", 1))
	_, err = engine.Run(context.Background(), unknownModel, bhbatch.ResumePoint{}, discardEmit)
	assert.True(t, bhcode.Is(err, bhcode.NoUpstream), "a model that is not loaded: %v", err)
}

// TestBatchItemIsOwedAfterAnAnswerThatSaysNotRun guards against an item that fails for good,
// since an engine answered it once with a status that says that it did not run.
func TestBatchItemIsOwedAfterAnAnswerThatSaysNotRun(t *testing.T) {
	for status, want := range map[int]bhcode.Code{
		http.StatusNotFound: bhcode.NoUpstream, http.StatusRequestTimeout: bhcode.NoUpstream, http.StatusMisdirectedRequest: bhcode.NoUpstream,
		http.StatusTooManyRequests: bhcode.NoUpstream, http.StatusServiceUnavailable: bhcode.NoUpstream,
		http.StatusBadRequest: bhcode.ItemFailed, http.StatusUnprocessableEntity: bhcode.ItemFailed, http.StatusInternalServerError: bhcode.UpstreamFailed,
	} {
		err := responseError(&http.Response{StatusCode: status, Body: http.NoBody})
		assert.Equal(t, want, bhcode.From(err).Code, "status %d", status)
	}
}

// TestBatchItemIsTriedAgainAfterAnAnswerThatIsNoRefusal guards against an item that fails for good
// after one answer whose status is neither that of an output nor that of a refusal.
func TestBatchItemIsTriedAgainAfterAnAnswerThatIsNoRefusal(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusPartialContent, http.StatusFound, http.StatusNotModified} {
		err := responseError(&http.Response{StatusCode: status, Body: http.NoBody})
		assert.Equal(t, bhcode.UpstreamFailed, bhcode.From(err).Code, "status %d", status)
	}
}

// Guards against an item whose text an engine of another version continued.
func TestBatchItemGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	engine := newBatchEngine(t, bhstand.EngineConfig{}) // of version 1
	var texts []string
	var version string
	_, err := engine.Run(context.Background(), batchItem("week"), bhbatch.ResumePoint{}, func(piece bhbatch.Piece) {
		texts, version = append(texts, piece.Text), piece.Version
	})
	require.NoError(t, err)
	resume := bhbatch.ResumePoint{Text: strings.Join(texts[:5], ""), Tokens: 5, Version: version}
	_, err = engine.Run(context.Background(), batchItem("week"), resume, discardEmit)
	require.NoError(t, err)
	resume.Version = "another"
	_, err = engine.Run(context.Background(), batchItem("week"), resume, func(bhbatch.Piece) { t.Error("a piece of another version was added") })
	assert.True(t, bhcode.Is(err, bhcode.VersionDiffers), "%v", err)
}

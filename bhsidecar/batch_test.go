package bhsidecar

import (
	"context"
	"encoding/json"
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
	return batchEngine{upstream: newUpstream(declared, evenWeight), begun: func() {}}
}

func batchItem(prompt string) bhbatch.Item {
	return bhbatch.Item{Body: []byte(`{"model":"rota","max_tokens":16,"messages":[{"role":"user","content":"` + prompt + `"}]}`)}
}

func ignore(string, int) {}

func TestBatchItemResumedHasTheSameAnswer(t *testing.T) {
	engine := newBatchEngine(t, bhstand.EngineConfig{})
	var pieces []string
	whole, err := engine.Run(context.Background(), batchItem("week"), bhbatch.Resume{}, func(text string, _ int) {
		pieces = append(pieces, text)
	})
	require.NoError(t, err)
	resume := bhbatch.Resume{Text: strings.Join(pieces[:5], ""), Tokens: 5}
	rest := 0
	resumed, err := engine.Run(context.Background(), batchItem("week"), resume, func(string, int) { rest++ })
	require.NoError(t, err)
	wholeCreated, wholeRest := splitCreated(t, whole.Body)
	resumedCreated, resumedRest := splitCreated(t, resumed.Body)
	assert.Equal(t, wholeRest, resumedRest)
	assert.GreaterOrEqual(t, resumedCreated, wholeCreated)
	assert.Equal(t, len(pieces)-5, rest)
	assert.Equal(t, len(pieces), resumed.Tokens)
}

// splitCreated returns an answer's time in seconds, which differs between runs
// on both sides of a second, and the rest of the answer.
func splitCreated(t *testing.T, body []byte) (float64, map[string]any) {
	t.Helper()
	var answer map[string]any
	require.NoError(t, json.Unmarshal(body, &answer))
	created, ok := answer["created"].(float64)
	require.True(t, ok, "%s", body)
	delete(answer, "created")
	return created, answer
}

// TestItemIsNotChargedForAnEngineThatIsDown: a restarting engine closes
// connections just as one that the item crashed.
func TestItemIsNotChargedForAnEngineThatIsDown(t *testing.T) {
	engine := newBatchEngine(t, bhstand.EngineConfig{Restart: time.Hour})
	_, err := engine.Run(context.Background(), batchItem("CRASH"), bhbatch.Resume{}, ignore)
	assert.True(t, bhcode.Is(err, bhcode.UpstreamLost), "%v", err)
	_, err = engine.Run(context.Background(), batchItem("week"), bhbatch.Resume{}, ignore)
	assert.True(t, bhcode.Is(err, bhcode.NoUpstream), "%v", err)
	assert.False(t, engine.upstream.answers())
}

func TestBatchItemErrorsByCause(t *testing.T) {
	engine := newBatchEngine(t, bhstand.EngineConfig{})
	_, err := engine.Run(context.Background(), batchItem("REFUSE"), bhbatch.Resume{}, ignore)
	assert.True(t, bhcode.Is(err, bhcode.ItemFailed), "%v", err)
	other := batchItem("week")
	other.Body = []byte(strings.Replace(string(other.Body), "rota", "setlist", 1))
	_, err = engine.Run(context.Background(), other, bhbatch.Resume{}, ignore)
	assert.True(t, bhcode.Is(err, bhcode.NoUpstream), "a model that is not loaded: %v", err)
}

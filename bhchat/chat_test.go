package bhchat

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

func TestParseRejectsBadRequests(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":     `{`,
		"array":        `[]`,
		"no model":     `{"messages":[{"role":"user","content":"x"}]}`,
		"no messages":  `{"model":"m"}`,
		"zero tokens":  `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0}`,
		"wrong type":   `{"model":7}`,
		"null message": `{"model":"m","messages":null}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(body))
			assert.True(t, bhcode.Is(err, bhcode.BadRequest), "%v", err)
		})
	}
}

func TestEngineBodyKeepsUnknownFieldsAndDropsCallersResume(t *testing.T) {
	request, err := Parse([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"seed":7,"resume":{"tokens":3}}`))
	require.NoError(t, err)
	body, err := request.EngineBody(Resume{})
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(body, &fields))
	assert.EqualValues(t, 7, fields["seed"])
	assert.Equal(t, true, fields["stream"])
	assert.NotContains(t, fields, "resume")
}

func TestDecoderReturnsSameChunksForAnySplit(t *testing.T) {
	stop := "stop"
	var stream strings.Builder
	for _, word := range []string{"a ", "b ", "c "} {
		event, err := Event(Chunk{ID: "1", Choices: []ChunkChoice{{Delta: Delta{Content: word}}}})
		require.NoError(t, err)
		stream.Write(event)
	}
	event, err := Event(Chunk{Choices: []ChunkChoice{{Finish: &stop}}})
	require.NoError(t, err)
	stream.Write(event)
	stream.WriteString(DoneEvent)
	rapid.Check(t, func(t *rapid.T) {
		rest := stream.String()
		var decoder Decoder
		var collector Collector
		for rest != "" {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			chunks, err := decoder.Feed([]byte(rest[:size]))
			require.NoError(t, err)
			for _, chunk := range chunks {
				collector.Add(chunk)
			}
			rest = rest[size:]
			require.Equal(t, len(rest) < len(eventEnd), decoder.Done())
		}
		collector.Done()
		require.True(t, collector.Whole())
		require.Equal(t, "a b c ", collector.Completion("x", 0).Choices[0].Message.Content)
	})
}

func TestCollectorIsNotWholeWithoutFinishReason(t *testing.T) {
	var collector Collector
	collector.Add(Chunk{Choices: []ChunkChoice{{Delta: Delta{Content: "a"}}}})
	collector.Done()
	assert.False(t, collector.Whole())
}

func TestPrefixReturnsEqualHashesForEqualPrefixes(t *testing.T) {
	start := strings.Repeat("x", 2*prefixBlockBytes)
	a := Prefix(start + strings.Repeat("a", prefixBlockBytes))
	b := Prefix(start + strings.Repeat("b", prefixBlockBytes))
	assert.Equal(t, a[:2], b[:2])
	assert.NotEqual(t, a[2], b[2])
	assert.Len(t, Prefix("short"), 0)
}

func TestParseKeepsNonTextContentAsJSON(t *testing.T) {
	request, err := Parse([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]},{"role":"assistant","content":null}]}`))
	require.NoError(t, err)
	assert.Equal(t, "user: [{\"type\":\"text\",\"text\":\"hi\"}]\nassistant: \n", request.Prompt())
}

func TestStreamedIfRequestedOrTextOnly(t *testing.T) {
	for body, streamed := range map[string]bool{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"seed":1}`:                 true,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"tools":[]}`:               false,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`:                    false,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"tools":[],"stream":true}`: true,
	} {
		request, err := Parse([]byte(body))
		require.NoError(t, err)
		assert.Equal(t, streamed, request.Streamed(), body)
	}
}

func TestRenameKeepsUnknownChunkFields(t *testing.T) {
	var decoder Decoder
	chunks, err := decoder.Feed([]byte("data: {\"id\":\"a\",\"created\":1,\"choices\":[{\"delta\":{\"tool_calls\":[1]}}],\"x\":{\"y\":2}}\r\n\r\n"))
	require.NoError(t, err)
	require.Len(t, chunks, 1)
	renamed, err := Rename(chunks[0].Raw, "b", 7)
	require.NoError(t, err)
	assert.JSONEq(t, `{"id":"b","created":7,"choices":[{"delta":{"tool_calls":[1]}}],"x":{"y":2}}`, string(renamed))
}

// Guards against a chat that ran, and whose caller is told that it did not, or gets a text of
// which bytes were replaced.
func TestDecoderTellsThatTheEngineRan(t *testing.T) {
	for _, text := range []string{"data: {\n", "data: {\"choices\":[{\"delta\":{\"content\":\"\xff\"}}]}\n", "data: " + strings.Repeat("x", maxLineBytes)} {
		var decoder Decoder
		_, err := decoder.Feed([]byte(text))
		require.Error(t, err)
		assert.Equal(t, bhcode.RanYes, bhcode.From(err).Ran)
	}
}

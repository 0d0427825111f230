package bhentry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// chatChunk returns an event with the text and the JSON of the finish reason.
func chatChunk(text, finish string) string {
	return fmt.Sprintf("data: {\"id\":\"c\",\"model\":\"m\",\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", text, finish)
}

// chatAttempt plays one engine's answer to a chat.
func chatAttempt(t *testing.T, sink *chatSink, status int, body string) error {
	t.Helper()
	_, err := sink.beginAttempt()
	require.NoError(t, err)
	if err := sink.writeHead(bhwire.Head{Status: status}); err != nil {
		return err
	}
	if err := sink.writeData([]byte(body)); err != nil {
		return err
	}
	return sink.finish()
}

// Guards against an error of the next engine that a caller reads in the middle of its chat, or
// after which its chat ends as if it were complete.
func TestErrorOfTheNextEngineIsNotJoinedToTheChat(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, answer := range []struct {
			status int
			body   string
		}{
			{500, `{"error": "out of memory"}`},
			{429, `{"error": "out of memory"}`},
			{302, ""},
			{204, ""},
			{200, ""},
			{200, `{"error": "out of memory"}` + "\n\n"},
			{200, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 13\r\n\r\nout of memory\n\n"},
			{200, `data: {"error": {"message": "out of memory"}}` + "\n\n"},
			{200, `data: {"error": {"message": "out of memory"}}` + "\n\n" + bhchat.DoneEvent},
			{200, "event: error\ndata: {\"object\": \"error\", \"message\": \"out of memory\"}\n\n"},
			{200, "data: null\n\n"},
			{200, `data: {"error": {"message": "out of memory"}, "choices": [{"delta": {}, "finish_reason": "error"}]}` + "\n\n" + bhchat.DoneEvent},
			{200, chatChunk(" of", "null")[:20] + "HTTP/1.1 500 Internal Server Error\r\n\r\nout of memory\n\n"},
		} {
			recorder := httptest.NewRecorder()
			request, err := bhchat.Parse(fmt.Appendf(nil, `{"model":"m","stream":%t,"messages":[{"role":"user","content":"week"}]}`, stream))
			require.NoError(t, err)
			sink := &chatSink{c: echo.New().NewContext(httptest.NewRequest(http.MethodPost, bhchat.Path, strings.NewReader("")), recorder), request: request}
			require.Error(t, chatAttempt(t, sink, 200, chatChunk("end", "null")))
			before := recorder.Body.String()
			err = chatAttempt(t, sink, answer.status, answer.body)
			require.Error(t, err, "%+v", answer)
			assert.NotEqual(t, bhcode.RanNo, bhcode.From(err).Ran, "%+v: it ran", answer)
			assert.True(t, mayRetry(err, true, sink), "%+v", answer)
			assert.Equal(t, before, recorder.Body.String(), "%+v", answer)
			require.NoError(t, chatAttempt(t, sink, 200, chatChunk(" of it", `"stop"`)+bhchat.DoneEvent))
			assert.NotContains(t, recorder.Body.String(), "memory")
			assert.Contains(t, recorder.Body.String(), " of it")
		}
	}
}

// Guards against a chat that ends as complete because an earlier engine wrote the end marker.
func TestEndMarkerOfAnEarlierEngineCompletesNoChat(t *testing.T) {
	request, err := bhchat.Parse([]byte(`{"model":"m","messages":[{"role":"user","content":"week"}]}`))
	require.NoError(t, err)
	sink := &chatSink{c: echo.New().NewContext(httptest.NewRequest(http.MethodPost, bhchat.Path, strings.NewReader("")), httptest.NewRecorder()), request: request}
	require.Error(t, chatAttempt(t, sink, 200, chatChunk("end", "null")+bhchat.DoneEvent), "no finish reason")
	require.Error(t, chatAttempt(t, sink, 200, chatChunk(" of", `"stop"`)), "no end marker")
	require.NoError(t, chatAttempt(t, sink, 200, bhchat.DoneEvent), "nothing was left")
}

// The caller of a chat that breaks off learns why from an event of its own.
func TestChatThatBreaksEndsWithItsError(t *testing.T) {
	recorder := httptest.NewRecorder()
	request, err := bhchat.Parse([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"week"}]}`))
	require.NoError(t, err)
	sink := &chatSink{c: echo.New().NewContext(httptest.NewRequest(http.MethodPost, bhchat.Path, strings.NewReader("")), recorder), request: request}
	err = chatAttempt(t, sink, 200, chatChunk("end", "null"))
	require.Error(t, err)
	assert.Panics(t, func() { (&Entry{}).abortResponse(sink.c, bhcode.From(err)) }, "aborts the connection")
	assert.Contains(t, recorder.Body.String(), "}]}\n\ndata: {\"error\":{\"code\":2009,")
}

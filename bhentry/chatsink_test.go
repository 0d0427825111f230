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
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Guards against an answer to a chat that an engine of another version continued.
func TestChatGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	chunk := func(fingerprint, text string) []byte {
		return fmt.Appendf(nil, "data: {\"id\":\"c\",\"model\":\"m\",\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", fingerprint, text)
	}
	for _, c := range []struct {
		first, second string
		fits          bool
	}{{"v1", "v1", true}, {"v1", "v1.1", false}, {"", "v1", true}, {"v1", "", true}} {
		recorder := httptest.NewRecorder()
		request, err := bhchat.Parse([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"week"}]}`))
		require.NoError(t, err)
		sink := &chatSink{c: echo.New().NewContext(httptest.NewRequest(http.MethodPost, bhchat.Path, strings.NewReader("")), recorder), request: request}
		for _, fingerprint := range []string{c.first, c.second} {
			_, err = sink.beginAttempt()
			require.NoError(t, err)
			require.NoError(t, sink.writeHead(bhwire.Head{Status: http.StatusOK}))
			err = sink.writeData(chunk(fingerprint, "text of "+fingerprint))
		}
		if c.fits {
			require.NoError(t, err, "%+v", c)
			continue
		}
		assert.True(t, bhcode.Is(err, bhcode.VersionDiffers), "%+v: %v", c, err)
		assert.NotContains(t, recorder.Body.String(), "text of "+c.second)
	}
}

// Guards against engines whose answers, each within the limit of one, fill the memory of the entry
// together.
func TestChatsShareTheMemoryForAnswers(t *testing.T) {
	const shared, chats = 1 << 20, 20
	request, err := bhchat.Parse([]byte(`{"model":"m","messages":[{"role":"user","content":"week"}]}`))
	require.NoError(t, err)
	for name, data := range map[string]string{
		"chunks": `data: {"id":"c","choices":[{"delta":{"content":"` + strings.Repeat("more ", 2000) + `"}}]}` + "\n\n",
		"a line": "data: " + strings.Repeat("more ", 2000),
	} {
		t.Run(name, func(t *testing.T) {
			pool := bhspool.NewPool(shared)
			held := 0
			for range chats {
				memory := pool.Open(ownAnswerBytes)
				defer memory.Close()
				sink, err := newChatSink(echo.New().NewContext(httptest.NewRequest(http.MethodPost, bhchat.Path, strings.NewReader("")), httptest.NewRecorder()), request, memory)
				require.NoError(t, err)
				_, err = sink.beginAttempt()
				require.NoError(t, err)
				require.NoError(t, sink.writeHead(bhwire.Head{Status: http.StatusOK}))
				for range 30 {
					if err = sink.writeData([]byte(data)); err != nil {
						assert.True(t, bhcode.Is(err, bhcode.AnswerIncomplete), err)
						break
					}
					held += len(data)
				}
			}
			// Besides the text there are the names of its fields.
			assert.LessOrEqual(t, held, (shared+chats*ownAnswerBytes)*11/10)
		})
	}
}

// Guards against an engine whose answer never ends and that fills the memory of the
// entry.
func TestChatOfEndlessBytesIsRefused(t *testing.T) {
	const enough = 64 << 20
	request, err := bhchat.Parse([]byte(`{"model":"m","messages":[{"role":"user","content":"week"}]}`))
	require.NoError(t, err)
	chunk := []byte(`data: {"id":"c","choices":[{"delta":{"content":"` + strings.Repeat("more ", 2000) + `"}}]}` + "\n\n")
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		sink := &chatSink{c: echo.New().NewContext(httptest.NewRequest(http.MethodPost, bhchat.Path, strings.NewReader("")), httptest.NewRecorder()), request: request}
		_, err = sink.beginAttempt()
		require.NoError(t, err)
		require.NoError(t, sink.writeHead(bhwire.Head{Status: status}))
		bytes := 0
		for err = nil; err == nil && bytes < enough; bytes += len(chunk) {
			err = sink.writeData(chunk)
		}
		assert.True(t, bhcode.Is(err, bhcode.TooLarge), "status %d: %v", status, err)
	}
}

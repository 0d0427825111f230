package bhbatch

import (
	"bytes"
	"encoding/json"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// testAPI calls a Handler as a client account.
type testAPI struct {
	t      *testing.T
	server *echo.Echo
}

func newAPI(t *testing.T, store *Store) testAPI {
	server := echo.New()
	server.HTTPErrorHandler = func(err error, c echo.Context) {
		code := bhcode.From(err).Code
		_ = c.JSON(code.Info().Status, map[string]int{"code": int(code)})
	}
	handler := NewHandler(HandlerConfig{Store: store, Account: func(c echo.Context) (string, error) {
		return c.Request().Header.Get("Account"), nil
	}})
	handler.Register(server)
	return testAPI{t: t, server: server}
}

func (a testAPI) call(account, method, path string, header http.Header, body string, reply any) int {
	a.t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Account", account)
	recorder := httptest.NewRecorder()
	a.server.ServeHTTP(recorder, request)
	if text, ok := reply.(*string); ok {
		*text = recorder.Body.String()
	} else if reply != nil {
		require.NoError(a.t, json.Unmarshal(recorder.Body.Bytes(), reply), recorder.Body.String())
	}
	return recorder.Code
}

func (a testAPI) upload(account, content string, reply any) int {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	_ = form.WriteField("purpose", "batch")
	file, err := form.CreateFormFile("file", "week.jsonl")
	require.NoError(a.t, err)
	_, _ = file.Write([]byte(content))
	_ = form.Close()
	header := http.Header{"Content-Type": {form.FormDataContentType()}}
	return a.call(account, http.MethodPost, PathFiles, header, body.String(), reply)
}

func TestHandlerServesBatchFromUploadToResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 10)
		api := newAPI(t, store)
		var file FileReply
		require.Equal(t, 200, api.upload(testAccount, inputFile(30), &file))
		assert.Equal(t, 30, file.Items)
		body := `{"input_file_id":"` + file.ID + `","endpoint":"/v1/chat/completions","completion_window":"24h"}`
		header := http.Header{HeaderIdempotency: {"week-1"}}
		var batch, again BatchReply
		require.Equal(t, 200, api.call(testAccount, http.MethodPost, PathBatches, header, body, &batch))
		require.Equal(t, 200, api.call(testAccount, http.MethodPost, PathBatches, header, body, &again))
		assert.Equal(t, batch.ID, again.ID)
		assert.Equal(t, Running, batch.Status)
		other := strings.Replace(body, "24h", "12h", 1)
		assert.Equal(t, 409, api.call(testAccount, http.MethodPost, PathBatches, header, other, nil))

		engine := newFakeEngine()
		engine.itemErrors["item-4"] = bhcode.BadRequest
		_, stop := startNewRunner(store, engine, newFakeGate(4), "s1")
		awaitEnd(t, store, batch.ID, time.Hour)
		stop()
		require.Equal(t, 200, api.call(testAccount, http.MethodGet, PathBatches+"/"+batch.ID, nil, "", &batch))
		assert.Equal(t, RequestCounts{Total: 30, Completed: 29, Failed: 1}, batch.Counts)
		assert.Equal(t, Completed, batch.Status)
		assert.True(t, batch.MeetsDeadline)
		var output, failed string
		require.Equal(t, 200, api.call(testAccount, http.MethodGet, PathFiles+"/"+*batch.OutputFile+"/content", nil, "", &output))
		require.Equal(t, 200, api.call(testAccount, http.MethodGet, PathFiles+"/"+*batch.ErrorFile+"/content", nil, "", &failed))
		assert.Equal(t, 29, strings.Count(output, "\n"))
		assert.Equal(t, 1, strings.Count(failed, "\n"))
		assert.Contains(t, failed, `"item-4"`)
		var list ListReply
		require.Equal(t, 200, api.call(testAccount, http.MethodGet, PathBatches+"?limit=1", nil, "", &list))
		assert.Len(t, list.Data, 1)
		assert.False(t, list.More)

		for _, path := range []string{
			PathBatches + "/" + batch.ID, PathFiles + "/" + file.ID, PathFiles + "/" + *batch.OutputFile + "/content",
		} {
			assert.Equal(t, 404, api.call("hinokuni", http.MethodGet, path, nil, "", nil), path)
		}
		assert.Equal(t, 404, api.call("hinokuni", http.MethodPost, PathBatches+"/"+batch.ID+"/cancel", nil, "", nil))
	})
}

func TestHandlerRejectsBadLinesAndBadRequests(t *testing.T) {
	api := newAPI(t, newStore(newFakePlatform(1), 10))
	var reply InvalidReply
	assert.Equal(t, 400, api.upload(testAccount, itemLine(1)+"\n{\n[]\n", &reply))
	assert.Equal(t, 2, reply.Total)
	assert.Equal(t, 2, reply.Lines[0].Line)
	assert.Equal(t, 3, reply.Lines[1].Line)
	for _, line := range []string{"caf\xe9", `a\ud83d`, `a", "custom_id": "b`} {
		bad := strings.Replace(itemLine(1), `"custom_id":"`, `"custom_id":"`+line, 1)
		require.NotEqual(t, itemLine(1), bad)
		assert.Equal(t, 400, api.upload(testAccount, bad, &reply), "%q would be stored as another one", bad)
		assert.Equal(t, 1, reply.Total)
	}
	assert.Equal(t, 400, api.call(testAccount, http.MethodPost, PathBatches, nil, "{\"input_file_id\":\"file-x\",\"metadata\":{\"a\":\"\xe9\"}}", nil))
	assert.Equal(t, 400, api.call(testAccount, http.MethodPost, PathFiles, nil, "x", nil))
	assert.Equal(t, 400, api.call(testAccount, http.MethodPost, PathBatches, nil, "x", nil))
	assert.Equal(t, 404, api.call(testAccount, http.MethodPost, PathBatches, nil, `{"input_file_id":"file-x"}`, nil))
	assert.Equal(t, 400, api.call(testAccount, http.MethodGet, PathBatches+"?limit=0", nil, "", nil))
}

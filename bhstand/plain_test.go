package bhstand

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPlainCountsRunsAlsoOfDroppedRequests(t *testing.T) {
	plain := NewPlain(PlainConfig{Name: "p"})
	server := httptest.NewServer(plain)
	defer server.Close()
	post := func(path, id, body string) error {
		request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set(HeaderRequestID, id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	assert.NoError(t, post("/pay", "7", ""))
	assert.Error(t, post("/pay?drop=1", "7", ""))
	assert.NoError(t, post("/pay?delay=1ms", "", "body"))
	assert.Equal(t, 2, plain.Runs("POST /pay 7"))
	assert.Equal(t, 1, plain.Runs("POST /pay body"))
	assert.Len(t, plain.Seen(), 3)
}

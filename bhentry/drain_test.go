package bhentry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// While it leaves, an entry still answers, but asks callers to close their
// connections, so that none is idle with a request on its way when it closes.
func TestLeavingEntryAnswersAndClosesConnections(t *testing.T) {
	e := &Entry{metrics: newRequestMetrics(tally.NoopScope)}
	server := echo.New()
	server.Use(e.observe)
	server.GET("/", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	get := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		return recorder
	}
	assert.Empty(t, get().Header().Get("Connection"))
	assert.Equal(t, bhplatform.HostLive, e.self().State)
	e.leaving.Store(true)
	answer := get()
	assert.Equal(t, http.StatusOK, answer.Code)
	assert.Equal(t, "close", answer.Header().Get("Connection"))
	assert.Equal(t, bhplatform.HostLeaving, e.self().State)
}

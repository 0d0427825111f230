package bhentry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// A leaving entry still serves requests but asks callers to close their
// connections. Otherwise a request sent on an idle connection may be lost
// when the entry closes it.
func TestLeavingEntryServesAndAsksToCloseConnections(t *testing.T) {
	e := &Entry{metrics: newRequestMetrics(tally.NoopScope), departure: bhdrain.NewDeparture(time.Minute)}
	server := echo.New()
	server.Use(e.instrument)
	server.GET("/", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	get := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		return recorder
	}
	assert.Empty(t, get().Header().Get("Connection"))
	assert.Equal(t, bhplatform.HostLive, e.hostRecord().State)
	e.leaving.Store(true)
	response := get()
	assert.Equal(t, http.StatusOK, response.Code)
	assert.Equal(t, "close", response.Header().Get("Connection"))
	assert.Equal(t, bhplatform.HostLeaving, e.hostRecord().State)
}

package bhentry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlimit"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// A leaving entry still serves requests but asks callers to close their
// connections. Otherwise a request sent on an idle connection may be lost
// when the entry closes it.
func TestLeavingEntryServesAndAsksToCloseConnections(t *testing.T) {
	e := &Entry{metrics: newRequestMetrics(tally.NoopScope), departure: bhdrain.NewDeparture(time.Minute), bodies: newBodies(bhguard.Limits{})}
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

// TestEndOfTheStopIsNotTakenForTheRateOfAnAccount guards against requests whose wait for a token the
// end of a stop cuts short, and that were refused with 429 although their account may be below its
// rate.
func TestEndOfTheStopIsNotTakenForTheRateOfAnAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Entry{metrics: newRequestMetrics(tally.NoopScope), departure: bhdrain.NewDeparture(10 * time.Second), logger: bhlog.Nop(), bodies: newBodies(bhguard.Limits{})}
		e.limiter = bhlimit.New(bhlimit.Config{
			Host:     "entry-1",
			Accounts: func() (int64, []bhconf.Account) { return 1, []bhconf.Account{{Name: "zoo", Rate: 1, Burst: 1}} },
			Logger:   bhlog.Nop(),
		})
		server := echo.New()
		server.HTTPErrorHandler = e.respondError
		server.Use(e.instrument)
		server.GET("/refused", func(c echo.Context) error { return e.takeToken(c.Request().Context(), "zoo") })
		server.GET("/waits", func(c echo.Context) error {
			<-c.Request().Context().Done()
			return e.takeToken(c.Request().Context(), "zoo")
		})
		get := func(path string) *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
			return recorder
		}
		assert.Equal(t, http.StatusTooManyRequests, get("/refused").Code)
		e.departure.Begin()
		response := get("/waits")
		assert.Equal(t, http.StatusServiceUnavailable, response.Code)
		assert.Equal(t, "1", response.Header().Get("Retry-After"))
		assert.Contains(t, response.Body.String(), `"code":2008`)
		assert.Contains(t, response.Body.String(), `"ran":"no"`)
	})
}

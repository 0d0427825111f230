package bhentry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// TestRequestThatMayHaveRunIsNotAnsweredLikeOneThatDidNot guards against a status that has callers
// send a request again that may have run: 503 or 429, or Retry-After. Only one with an idempotency
// key may be sent again while it runs.
func TestRequestThatMayHaveRunIsNotAnsweredLikeOneThatDidNot(t *testing.T) {
	entry := &Entry{logger: bhlog.Nop()}
	for _, c := range []struct {
		code   bhcode.Code
		ran    bhcode.Ran
		status int
		retry  string
	}{
		{bhcode.ConfigStale, bhcode.RanNo, http.StatusServiceUnavailable, "1"},
		{bhcode.ConfigStale, bhcode.RanUnknown, http.StatusBadGateway, ""},
		{bhcode.Withheld, bhcode.RanYes, http.StatusBadGateway, ""},
		{bhcode.RateExceeded, bhcode.RanUnknown, http.StatusBadGateway, ""},
		{bhcode.KeyRevoked, bhcode.RanUnknown, http.StatusUnauthorized, ""},
		{bhcode.StillRunning, bhcode.RanUnknown, http.StatusConflict, "1"},
	} {
		recorder := httptest.NewRecorder()
		failure := bhcode.New(c.code, "").WithRan(c.ran).WithRetryAfter(time.Second)
		entry.respondError(failure, echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), recorder))
		assert.Equal(t, c.status, recorder.Code, "%+v", c)
		assert.Equal(t, c.retry, recorder.Header().Get("Retry-After"), "%+v", c)
		assert.Contains(t, recorder.Body.String(), `"ran":"`+string(c.ran)+`"`)
	}
}

package bhentry

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// maxBody is the largest body of a live request in bytes.
const maxBody = 4 << 20

const contentEvents = "text/event-stream"

// callersHandler serves callers: the conventions of inference servers, and
// routes to plain services for all other paths.
func (e *Entry) callersHandler() http.Handler {
	server := echo.New()
	server.HideBanner = true
	server.HidePort = true
	server.HTTPErrorHandler = e.respondError
	server.Use(e.observe)
	server.POST(bhchat.Path, e.authenticated(e.chat))
	server.GET("/v1/models", e.authenticated(e.models))
	e.batches.Register(server, e.authenticated, e.spending)
	server.Any("/*", e.plain)
	return server
}

// observe counts requests in flight and their outcomes.
func (e *Entry) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.inflight.Add()
		defer e.inflight.Done()
		if e.leaving.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		start := time.Now()
		err := next(c)
		if err != nil {
			c.Error(err)
		}
		e.metrics.done(err, time.Since(start))
		return nil
	}
}

// errorBody is the JSON form of an error towards callers.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    int        `json:"code"`
	Type    string     `json:"type"`
	Message string     `json:"message"`
	Ran     bhcode.Ran `json:"ran"`
}

func newErrorBody(failure *bhcode.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code:    int(failure.Code),
		Type:    failure.Code.String(),
		Message: callerMessage(failure),
		Ran:     failure.Ran,
	}}
}

// callerMessage returns the sentence for callers, without internal causes.
func callerMessage(failure *bhcode.Error) string {
	if failure.Code < bhcode.NoUpstream && failure.Message != "" {
		return failure.Message
	}
	return failure.Code.Info().Text
}

// respondError answers with the error, or cuts the connection if an answer has
// begun, so that it can't be taken for whole.
func (e *Entry) respondError(err error, c echo.Context) {
	failure := asFailure(err)
	bhlog.Trace(e.logger, "request.failed", "id", requestID(c), "code", int(failure.Code), "ran", failure.Ran, "err", err)
	if c.Response().Committed {
		e.breakOff(c, failure)
	}
	if failure.RetryAfter > 0 {
		seconds := int(math.Ceil(failure.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if err := c.JSON(failure.Code.Info().Status, newErrorBody(failure)); err != nil {
		bhlog.Trace(e.logger, "response.failed", "err", err)
	}
}

// breakOff ends an answer that has begun and can't be finished. A stream of
// events tells the error first. The connection is cut in any case, so that the
// answer can't be taken for whole.
func (e *Entry) breakOff(c echo.Context, failure *bhcode.Error) {
	if c.Response().Header().Get("Content-Type") == contentEvents {
		event, err := bhchat.Event(newErrorBody(failure))
		if err == nil {
			_, err = c.Response().Write(event)
		}
		if err == nil {
			c.Response().Flush()
		}
	}
	panic(http.ErrAbortHandler)
}

func asFailure(err error) *bhcode.Error {
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		return bhcode.New(bhcode.FromStatus(routing.Code), "%v", routing.Message)
	}
	return bhcode.From(err)
}

// readBody reads a live request's body within the size limit.
func readBody(c echo.Context) ([]byte, error) {
	reader := http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
	var body bytes.Buffer
	_, err := io.Copy(&body, reader)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, bhcode.New(bhcode.TooLarge, "the body is over %d bytes", maxBody)
	}
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.BadRequest, "reading the body")
	}
	return body.Bytes(), nil
}

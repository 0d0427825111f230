package bhentry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhspool"
)

const (
	// maxBodyBytes is the largest request body that readBody accepts, and bodyTimeout the longest
	// time that it may take.
	maxBodyBytes = 4 << 20
	bodyTimeout  = time.Minute
	// headCopies and bodyCopies are how many copies of a request's head and body the entry makes
	// to pass it on.
	headCopies = 4
	bodyCopies = 3
	// answerShare is the part of the memory for bodies and answers, as its inverse, that is for
	// answers which callers haven't read.
	answerShare = 2
	// callerWriteBuffer bounds what the kernel holds for a caller that doesn't read, in bytes.
	callerWriteBuffer = 128 << 10
	// noRoomRetryAfter is sent with requests for which there is no memory.
	noRoomRetryAfter = time.Second
	// contextKeyBody is the key of what is held for the request's body.
	contextKeyBody = "body"
)

const contentTypeEventStream = "text/event-stream"

// callerHandler serves the listener for callers: the chat, model and batch
// endpoints, and the configured routes to plain services for all other paths.
func (e *Entry) callerHandler() http.Handler {
	server := echo.New()
	server.HideBanner = true
	server.HidePort = true
	server.HTTPErrorHandler = e.respondError
	server.Use(e.instrument)
	server.POST(bhchat.Path, e.requireKey(e.serveChat))
	server.GET("/v1/models", e.requireKey(e.listModels))
	e.batches.Register(server, e.requireKey, e.rateLimited)
	server.Any("/*", e.servePlain)
	return server
}

// instrument tracks requests in flight and records their result and latency.
// While the entry is leaving it asks callers to close their connections, refuses
// requests that come late, and ends in time those that still run.
func (e *Entry) instrument(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.inflight.Add()
		defer e.inflight.Done()
		if e.leaving.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		start := time.Now()
		err := e.departure.Refusal()
		if err == nil {
			ctx, release := e.departure.Bind(c.Request().Context())
			defer release()
			defer endReading(ctx, c)()
			c.SetRequest(c.Request().WithContext(ctx))
			err = e.holdRequest(c, next)
			if cause := cancelCause(ctx); cause != nil && bhcode.Is(err, bhcode.BadRequest) {
				err = cause // its body was still arriving
			}
		}
		if err != nil {
			c.Error(err)
		}
		e.metrics.record(err, time.Since(start))
		return nil
	}
}

// holdRequest serves the request if there is memory for its head, and frees what is held for it
// afterwards.
func (e *Entry) holdRequest(c echo.Context, next echo.HandlerFunc) error {
	request := c.Request()
	if !bhserve.HoldHead(request.Context(), headCopies*bhguard.CopyCost(request)) {
		return noRoom("a head of %d fields", len(request.Header))
	}
	body := e.bodies.OpenBody()
	defer body.Close()
	c.Set(contextKeyBody, body)
	return next(c)
}

// noRoom returns the error of a request for which the entry has no memory.
func noRoom(format string, values ...any) error {
	return bhcode.New(bhcode.Overloaded, "the entry holds too much for its callers to take "+format, values...).WithRetryAfter(noRoomRetryAfter)
}

// endReading has reads of the request's body fail once ctx is done. The caller must call
// stop before the handler returns.
func endReading(ctx context.Context, c echo.Context) (stop func()) {
	controller := http.NewResponseController(c.Response())
	ended := make(chan struct{})
	detach := context.AfterFunc(ctx, func() {
		defer close(ended)
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	return func() {
		if !detach() {
			<-ended
		}
	}
}

// errorBody is the JSON body of an error response to a caller.
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

// callerMessage returns the error message for callers. Messages of errors with
// a code from NoUpstream upward name internal causes, so callers get the fixed
// text of the code instead.
func callerMessage(failure *bhcode.Error) string {
	if failure.Code < bhcode.NoUpstream && failure.Message != "" {
		return failure.Message
	}
	return failure.Code.Info().Text
}

// respondError writes the error response. If the response has already begun, it
// aborts the connection so that the caller can't mistake it for a complete one.
func (e *Entry) respondError(err error, c echo.Context) {
	failure := toCodeError(err)
	bhlog.Trace(e.logger, "request.failed", "id", requestID(c), "code", int(failure.Code), "ran", failure.Ran, "err", err)
	if c.Response().Committed {
		e.abortResponse(c, failure)
	}
	status := failure.Code.Info().Status
	mayHaveRun := failure.Ran != bhcode.RanNo
	if mayHaveRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway // 429 and 503 would tell the caller that the request did not run
	}
	// StillRunning is about an earlier request with the key, which makes asking again safe.
	if failure.RetryAfter > 0 && (!mayHaveRun || failure.Code == bhcode.StillRunning) {
		seconds := int(math.Ceil(failure.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if err := c.JSON(status, newErrorBody(failure)); err != nil {
		bhlog.Trace(e.logger, "response.failed", "err", err)
	}
}

// abortResponse ends a response that has begun and can't be completed. On a
// stream of a chat it first sends the error as an event; that of a service may have
// ended within an event. It always aborts the connection, so that the caller can't
// mistake the response for a complete one.
func (e *Entry) abortResponse(c echo.Context, failure *bhcode.Error) {
	if c.Get(contextKeyChatEvents) != nil {
		event, err := bhchat.Event(newErrorBody(failure))
		if err == nil {
			_, err = c.Response().Write(event)
		}
		if err == nil {
			c.Response().Flush()
		}
	}
	bhserve.Abort(c.Response(), c.Request())
}

// toCodeError converts err, which may be from the echo router, to a
// bhcode.Error.
func toCodeError(err error) *bhcode.Error {
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		return bhcode.New(bhcode.FromStatus(routing.Code), "%v", routing.Message)
	}
	return bhcode.From(err)
}

// holdBody takes memory for more of the request's body, in bytes.
func holdBody(c echo.Context, bytes int64) error {
	if body, ok := c.Get(contextKeyBody).(*bhspool.Holding); ok && body.Grow(bytes) != bhspool.Granted {
		return noRoom("a body of %d bytes more", bytes)
	}
	return nil
}

// readBody reads the request body. The error is TooLarge if the body exceeds
// maxBodyBytes, Overloaded if there is no memory for it, and BadRequest if reading fails.
func readBody(c echo.Context) ([]byte, error) {
	request := c.Request()
	if request.ContentLength > maxBodyBytes {
		return nil, bhcode.New(bhcode.TooLarge, "the body is over %d bytes", maxBodyBytes)
	}
	controller := http.NewResponseController(c.Response())
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := bhserve.Body{
		Source: http.MaxBytesReader(c.Response(), request.Body, maxBodyBytes),
		Length: request.ContentLength,
		Hold:   func(bytes int64) error { return holdBody(c, bytes) },
	}.Read(request.Context())
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, bhcode.New(bhcode.TooLarge, "the body is over %d bytes", maxBodyBytes)
	}
	if bhcode.Is(err, bhcode.Overloaded) {
		return nil, err
	}
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.BadRequest, "reading the body")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

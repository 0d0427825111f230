package bhbatch

import (
	"context"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhserve"
)

// Paths and headers of the batch API.
const (
	PathFiles   = "/v1/files"
	PathBatches = "/v1/batches"

	// HeaderIdempotency carries the client's idempotency key for a batch.
	HeaderIdempotency = "Idempotency-Key"
)

// Limits, timeouts and fixed names of the batch API.
const (
	// MaxFileBytes is the largest size of an input file.
	MaxFileBytes = 2 << 30

	purposeBatch       = "batch"
	maxFormValueBytes  = 1 << 10
	maxCreateBodyBytes = 64 << 10
	storeTimeout       = 20 * time.Second
	retryAfter         = 5 * time.Second

	suffixOutput = "-output"
	suffixErrors = "-errors"
)

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Store  *Store
	Logger bhlog.Logger
	// Account returns the client account of an authenticated request.
	Account func(c echo.Context) (string, error)
	// Model returns an error if the caller may not use the model; nil allows
	// every model.
	Model func(c echo.Context, model string) error
}

// Handler serves files and batches over HTTP in the conventions of inference
// servers. A file or batch is visible only to the client account that created
// it. Errors are returned to echo with their codes.
type Handler struct {
	store   *Store
	logger  bhlog.Logger
	account func(c echo.Context) (string, error)
	model   func(c echo.Context, model string) error
}

// NewHandler returns a handler that serves config.Store.
func NewHandler(config HandlerConfig) *Handler {
	logger := config.Logger
	if logger == nil {
		logger = bhlog.Nop()
	}
	model := config.Model
	if model == nil {
		model = func(echo.Context, string) error { return nil }
	}
	return &Handler{store: config.Store, logger: logger, account: config.Account, model: model}
}

// Router is the part of echo's routers that Register uses.
type Router interface {
	GET(path string, handler echo.HandlerFunc, middleware ...echo.MiddlewareFunc) *echo.Route
	POST(path string, handler echo.HandlerFunc, middleware ...echo.MiddlewareFunc) *echo.Route
}

// Register adds the routes of the batch API. The middleware must authenticate
// the caller.
func (h *Handler) Register(router Router, middleware ...echo.MiddlewareFunc) {
	router.POST(PathFiles, h.upload, middleware...)
	router.GET(PathFiles+"/:id", h.file, middleware...)
	router.GET(PathFiles+"/:id/content", h.content, middleware...)
	router.POST(PathBatches, h.create, middleware...)
	router.GET(PathBatches, h.list, middleware...)
	router.GET(PathBatches+"/:id", h.get, middleware...)
	router.POST(PathBatches+"/:id/cancel", h.cancel, middleware...)
}

// upload stores the file of a multipart form while receiving it.
func (h *Handler) upload(c echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	request := c.Request()
	request.Body = http.MaxBytesReader(c.Response(), request.Body, MaxFileBytes)
	form, err := request.MultipartReader()
	if err != nil {
		return bhcode.New(bhcode.BadRequest, "the body must be a multipart form")
	}
	file, err := h.readForm(request.Context(), account, form)
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return c.JSON(http.StatusBadRequest, newInvalidReply(invalid))
	}
	if err != nil {
		return callerError(err)
	}
	return c.JSON(http.StatusOK, newFileReply(file))
}

func (h *Handler) readForm(ctx context.Context, account string, form *multipart.Reader) (File, error) {
	var file File
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return File{}, formError(err)
		}
		switch part.FormName() {
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxFormValueBytes))
			if err != nil {
				return File{}, formError(err)
			}
			purpose = string(value)
		case "file":
			file, err = h.store.SaveFile(ctx, account, part.FileName(), part)
			if err != nil {
				return File{}, err
			}
		}
	}
	if purpose != purposeBatch {
		return File{}, bhcode.New(bhcode.BadRequest, "purpose: must be %q", purposeBatch)
	}
	if file.ID == "" {
		return File{}, bhcode.New(bhcode.BadRequest, "file: is missing")
	}
	return file, nil
}

func formError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return bhcode.New(bhcode.TooLarge, "the file is over %d bytes", int64(MaxFileBytes))
	}
	return bhcode.New(bhcode.BadRequest, "the multipart form is malformed")
}

func (h *Handler) file(c echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeTimeout)
	defer cancel()
	id := c.Param("id")
	if batch, _, ok := parseResultFileID(id); ok {
		status, err := h.store.Get(ctx, account, batch)
		if err != nil {
			return callerError(err)
		}
		return c.JSON(http.StatusOK, newResultFileReply(id, status))
	}
	file, err := h.store.File(ctx, account, id)
	if err != nil {
		return callerError(err)
	}
	return c.JSON(http.StatusOK, newFileReply(file))
}

// content streams an input or result file. If reading the file fails midway,
// content aborts the connection, so that the client cannot mistake a partial
// file for a complete one.
func (h *Handler) content(c echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	body, err := h.openFile(c.Request().Context(), account, c.Param("id"))
	if err != nil {
		return callerError(err)
	}
	defer body.Close()
	c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
	c.Response().WriteHeader(http.StatusOK)
	if _, err := io.Copy(c.Response(), body); err != nil {
		bhlog.Problem(h.logger, "batch.content", err, "file", c.Param("id"))
		bhserve.Abort(c.Response(), c.Request())
	}
	return nil
}

func (h *Handler) openFile(ctx context.Context, account, id string) (io.ReadCloser, error) {
	if batch, lines, ok := parseResultFileID(id); ok {
		return h.store.Results(ctx, account, batch, lines)
	}
	return h.store.Input(ctx, account, id)
}

func (h *Handler) create(c echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	request, err := parseCreateRequest(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeTimeout)
	defer cancel()
	file, err := h.store.File(ctx, account, request.File)
	if err != nil {
		return callerError(err)
	}
	if err := h.model(c, file.Model); err != nil {
		return err
	}
	job, err := h.store.Create(ctx, account, request)
	if err != nil {
		return callerError(err)
	}
	status, err := h.store.Get(ctx, account, job.ID)
	if err != nil {
		status = Status{Job: job}
	}
	return c.JSON(http.StatusOK, newBatchReply(status, time.Now()))
}

func (h *Handler) list(c echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	limit := defaultListLimit
	if text := c.QueryParam("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > MaxList {
			return bhcode.New(bhcode.BadRequest, "limit: must be from 1 to %d", MaxList)
		}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeTimeout)
	defer cancel()
	statuses, err := h.store.List(ctx, account, c.QueryParam("after"), limit+1)
	if err != nil {
		return callerError(err)
	}
	return c.JSON(http.StatusOK, newListReply(statuses, limit, time.Now()))
}

func (h *Handler) get(c echo.Context) error {
	return h.replyStatus(c, h.store.Get)
}

func (h *Handler) cancel(c echo.Context) error {
	return h.replyStatus(c, h.store.Cancel)
}

// replyStatus calls operation for the batch of the request and replies with the
// status of the batch.
func (h *Handler) replyStatus(c echo.Context, operation func(context.Context, string, string) (Status, error)) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeTimeout)
	defer cancel()
	status, err := operation(ctx, account, c.Param("id"))
	if err != nil {
		return callerError(err)
	}
	return c.JSON(http.StatusOK, newBatchReply(status, time.Now()))
}

// callerError returns err as the caller receives it. It adds a retry delay if
// the platform was unavailable or the outcome is unknown.
func callerError(err error) error {
	failure := bhcode.From(err)
	if failure.Code == bhcode.PlatformUnavailable || failure.Code == bhcode.PlatformUnknown {
		return failure.WithRetryAfter(retryAfter)
	}
	return failure
}

// parseResultFileID splits the id of a result file into the id of the batch and
// the lines that the file contains. ok is false for other ids.
func parseResultFileID(id string) (batch string, lines Selection, ok bool) {
	if batch, ok := strings.CutSuffix(id, suffixOutput); ok {
		return batch, SelectCompleted, true
	}
	if batch, ok := strings.CutSuffix(id, suffixErrors); ok {
		return batch, SelectFailed, true
	}
	return "", SelectAll, false
}

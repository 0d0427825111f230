package bhentry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// newChatAnswer returns the answer to a chat request.
func newChatAnswer(c echo.Context, request bhchat.Request) (answer, error) {
	if request.Streamed() {
		return &chatAnswer{c: c, request: request}, nil
	}
	body, err := request.EngineBody(bhchat.Resume{})
	if err != nil {
		return nil, err
	}
	return &jsonAnswer{keptAnswer: keptAnswer{body: body}, c: c}, nil
}

// engineFailed returns an error if the status says that the engine failed.
func engineFailed(status int) error {
	if status < http.StatusInternalServerError {
		return nil
	}
	return bhcode.New(bhcode.UpstreamFailed, "the engine answered %d", status).WithRan(bhcode.RanUnknown)
}

// jsonAnswer is an answer that only the engine can put together, such as one
// with tool calls. It is held back until it is whole.
type jsonAnswer struct {
	keptAnswer
	c echo.Context
}

func (a *jsonAnswer) head(head bhwire.Head) error {
	if err := engineFailed(head.Status); err != nil {
		return err
	}
	return a.keptAnswer.head(head)
}

func (a *jsonAnswer) end() error { return writeAnswer(a.c, a.answer()) }

// chatAnswer builds one whole answer for the caller from the chunks of one or
// more engines. Chunks are passed on as the first engine sent them; those of
// later engines get its id.
type chatAnswer struct {
	c         echo.Context
	request   bhchat.Request
	status    int
	decoder   bhchat.Decoder
	collector bhchat.Collector
	refusal   []byte
	buffer    []byte
	// first is the first chunk of the answer.
	first    bhchat.Chunk
	attempts int
}

func (a *chatAnswer) begin() ([]byte, error) {
	a.decoder = bhchat.Decoder{}
	a.refusal = nil
	a.attempts++
	return a.request.EngineBody(a.collector.Resume())
}

func (a *chatAnswer) head(head bhwire.Head) error {
	a.status = head.Status
	return engineFailed(head.Status)
}

func (a *chatAnswer) data(data []byte) error {
	if a.status != http.StatusOK {
		a.refusal = append(a.refusal, data...)
		return nil
	}
	chunks, err := a.decoder.Feed(data)
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		if err := a.chunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (a *chatAnswer) chunk(chunk bhchat.Chunk) error {
	a.collector.Add(chunk)
	if a.first.ID == "" {
		a.first.ID, a.first.Created = chunk.ID, chunk.Created
	}
	if !a.request.Stream {
		return nil
	}
	raw := chunk.Raw
	if a.attempts > 1 {
		renamed, err := a.later(chunk)
		if err != nil {
			return bhcode.Wrap(err, bhcode.UpstreamFailed, "a chunk can't be encoded").WithRan(bhcode.RanYes)
		}
		raw = renamed
	}
	a.buffer = bhchat.RawEvent(a.buffer[:0], raw)
	return a.write(a.buffer)
}

// later returns the JSON of a chunk from an engine that went on with the
// answer of another.
func (a *chatAnswer) later(chunk bhchat.Chunk) ([]byte, error) {
	if chunk.Usage == nil {
		return bhchat.Rename(chunk.Raw, a.first.ID, a.first.Created)
	}
	usage := a.collector.Usage()
	chunk.Usage = &usage
	return bhchat.Last(chunk, a.first.ID, a.first.Created)
}

func (a *chatAnswer) write(event []byte) error {
	response := a.c.Response()
	if !response.Committed {
		response.Header().Set("Content-Type", contentEvents)
		response.Header().Set("Cache-Control", "no-cache")
		response.WriteHeader(http.StatusOK)
	}
	if _, err := response.Write(event); err != nil {
		return bhcode.Wrap(err, bhcode.Cancelled, "the caller left").WithRan(bhcode.RanYes)
	}
	return nil
}

func (a *chatAnswer) flush() {
	if a.request.Stream && a.c.Response().Committed {
		a.c.Response().Flush()
	}
}

func (a *chatAnswer) end() error {
	if a.status != http.StatusOK {
		return a.refuse()
	}
	if a.decoder.Done() {
		a.collector.Done()
	}
	if !a.collector.Whole() {
		return bhcode.New(bhcode.AnswerIncomplete, "the engine ended its answer early").WithRan(bhcode.RanYes)
	}
	if a.request.Stream {
		return a.write([]byte(bhchat.DoneEvent))
	}
	created := a.first.Created
	if created == 0 {
		created = time.Now().Unix()
	}
	return a.c.JSON(http.StatusOK, a.collector.Completion(a.first.ID, created))
}

// refuse passes an engine's refusal on, unless the answer has begun.
func (a *chatAnswer) refuse() error {
	if a.c.Response().Committed {
		return bhcode.New(bhcode.AnswerIncomplete, "the next engine answered %d", a.status).WithRan(bhcode.RanYes)
	}
	return a.c.Blob(a.status, "application/json", a.refusal)
}

// resumable reports whether another engine can go on: if the answer is one
// text, or hasn't begun.
func (a *chatAnswer) resumable() bool {
	return a.request.TextOnly() || a.first.ID == ""
}

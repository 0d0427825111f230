package bhentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// chatTimeout bounds a chat request from arrival to its last token.
const chatTimeout = 5 * time.Minute

// chat serves one chat completion.
func (e *Entry) chat(c echo.Context) error {
	caller := callerOf(c)
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := refuseKeyIn("", body, caller.key); err != nil {
		return err
	}
	request, err := bhchat.Parse(body)
	if err != nil {
		return err
	}
	model, ok := caller.state.Model(request.Model)
	if !ok {
		return bhcode.New(bhcode.NotFound, "no model has the name %q", request.Model)
	}
	if err := e.spend(caller.identity.Account); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), chatTimeout)
	defer cancel()
	ctx, release := e.running.Add(ctx, caller.identity)
	defer release()
	submit := bhwire.Submit{
		ID:         requestID(c),
		Account:    caller.identity.Account,
		Group:      model.Group,
		Model:      model.Name,
		Method:     http.MethodPost,
		Path:       bhchat.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Idempotent: true,
		Digest:     contentDigest(caller.identity.Account, body),
		Work:       request.Work(),
		Prefix:     bhchat.Prefix(request.Prompt()),
	}
	return e.dispatch(ctx, submit, newChatAnswer(c, request))
}

// knownModel reports an error if the configuration has no such model.
func knownModel(c echo.Context, name string) error {
	if _, ok := callerOf(c).state.Model(name); !ok {
		return bhcode.New(bhcode.NotFound, "no model has the name %q", name)
	}
	return nil
}

// models lists the models in the configuration.
func (e *Entry) models(c echo.Context) error {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	type list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	reply := list{Object: "list", Data: []model{}}
	for _, declared := range callerOf(c).state.Config.Models {
		reply.Data = append(reply.Data, model{ID: declared.Name, Object: "model", Owner: declared.Group})
	}
	return c.JSON(http.StatusOK, reply)
}

// chatAnswer builds one whole answer for the caller from the chunks of one or
// more engines.
type chatAnswer struct {
	c         echo.Context
	request   bhchat.Request
	id        string
	created   int64
	status    int
	decoder   bhchat.Decoder
	collector bhchat.Collector
	refusal   []byte
}

func newChatAnswer(c echo.Context, request bhchat.Request) *chatAnswer {
	return &chatAnswer{c: c, request: request, id: "chatcmpl-" + requestID(c), created: time.Now().Unix()}
}

func (a *chatAnswer) begin() ([]byte, error) {
	a.decoder = bhchat.Decoder{}
	a.refusal = nil
	return a.request.EngineBody(a.collector.Resume())
}

func (a *chatAnswer) head(head bhwire.Head) error {
	a.status = head.Status
	if head.Status >= http.StatusInternalServerError {
		return bhcode.New(bhcode.UpstreamFailed, "the engine answered %d", head.Status).WithRan(bhcode.RanUnknown)
	}
	return nil
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
	if !a.request.Stream {
		return nil
	}
	chunk.ID, chunk.Created = a.id, a.created
	if chunk.Usage != nil {
		usage := a.collector.Usage()
		chunk.Usage = &usage
	}
	event, err := bhchat.Event(chunk)
	if err != nil {
		return bhcode.Wrap(err, bhcode.Internal, "encoding a chunk")
	}
	return a.write(event)
}

func (a *chatAnswer) write(event []byte) error {
	response := a.c.Response()
	if !response.Committed {
		response.Header().Set("Content-Type", "text/event-stream")
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
		return a.c.Blob(a.status, "application/json", a.refusal)
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
	return a.c.JSON(http.StatusOK, a.collector.Completion(a.id, a.created))
}

func (a *chatAnswer) resumable() bool { return true }

// contentDigest identifies a request by its account and content.
func contentDigest(account string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(account + "\n"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

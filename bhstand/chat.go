package bhstand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const maxChatBody = 16 << 20

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// chat is one request on an engine.
type chat struct {
	request bhchat.Request
	prompt  string
	resume  bhchat.Resume
	tokens  []string
	finish  string
	id      string
	created int64
	version string
}

// ChatError is the body of an engine's refusal.
type ChatError struct {
	Error ChatErrorDetail `json:"error"`
}

// ChatErrorDetail says why an engine refuses a request.
type ChatErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxChatBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c, err := newChat(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	life, version, ok := e.model(c.request.Model)
	if !ok {
		refuse(w, http.StatusNotFound, "the model is not loaded")
		return
	}
	c.version = version
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	if !e.enter(ctx) {
		e.abort()
	}
	defer e.leave()
	e.run(ctx, w, c)
}

func newChat(body []byte) (*chat, error) {
	request, err := bhchat.Parse(body)
	if err != nil {
		return nil, err
	}
	var extra struct {
		Resume bhchat.Resume `json:"resume"`
	}
	if err := json.Unmarshal(body, &extra); err != nil {
		return nil, errors.WithStack(err)
	}
	c := &chat{
		request: request,
		prompt:  request.Prompt(),
		resume:  extra.Resume,
		finish:  FinishStop,
		created: time.Now().Unix(),
	}
	c.id = "chatcmpl-" + Digest(c.prompt)
	c.tokens = Answer(request.Model, c.prompt, request.MaxTokens)
	if len(c.tokens) == request.MaxTokens {
		c.finish = FinishLength
	}
	n := c.resume.Tokens
	if n < 0 || n > len(c.tokens) || strings.Join(c.tokens[:n], "") != c.resume.Text {
		return nil, bhcode.New(bhcode.BadRequest, "resume: not the start of this answer")
	}
	if _, bad := fails(c.prompt); bad {
		return nil, bhcode.New(bhcode.BadRequest, "the prompt can't be answered")
	}
	return c, nil
}

// model returns the engine's present life and the version of the model.
func (e *Engine) model(name string) (context.Context, string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	version, ok := e.orders.models[name]
	return e.life, version, ok
}

// enter waits for a slot. It fails if ctx ends first.
func (e *Engine) enter(ctx context.Context) bool {
	e.change(func(l *Load) { l.Waiting++ })
	err := e.slots.Acquire(ctx, 1)
	e.change(func(l *Load) {
		l.Waiting--
		if err == nil {
			l.Running++
		}
	})
	return err == nil
}

func (e *Engine) leave() {
	e.change(func(l *Load) { l.Running-- })
	e.slots.Release(1)
}

// abort counts a request that was cancelled and closes its connection.
func (e *Engine) abort() {
	e.mu.Lock()
	e.stats.Cancelled++
	e.mu.Unlock()
	panic(http.ErrAbortHandler)
}

func (e *Engine) run(ctx context.Context, w http.ResponseWriter, c *chat) {
	e.mu.Lock()
	e.stats.Requests[Digest(c.prompt)]++
	e.mu.Unlock()
	if !bhtree.Sleep(ctx, e.prefill(c.prompt+c.resume.Text)) {
		e.abort()
	}
	if crash, _ := fails(c.prompt); crash {
		e.Crash()
		e.abort()
	}
	if c.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
	}
	for _, token := range c.tokens[c.resume.Tokens:] {
		if !bhtree.Sleep(ctx, e.tokenTime()) {
			e.abort()
		}
		e.mu.Lock()
		e.stats.Tokens++
		e.mu.Unlock()
		if c.request.Stream {
			sendEvent(w, c.chunk(token))
		}
	}
	e.mu.Lock()
	e.stats.Completed++
	e.mu.Unlock()
	c.end(w)
}

// end sends what follows the last token.
func (c *chat) end(w http.ResponseWriter) {
	if c.request.Stream {
		sendEvent(w, c.last())
		send(w, []byte(bhchat.DoneEvent))
		return
	}
	text := strings.Join(c.tokens[c.resume.Tokens:], "")
	reply(w, http.StatusOK, completion{
		Completion: bhchat.Completion{
			ID:      c.id,
			Object:  bhchat.ObjectCompletion,
			Created: c.created,
			Model:   c.request.Model,
			Choices: []bhchat.Choice{{Message: bhchat.Message{Role: "assistant", Content: text}, Finish: c.finish}},
			Usage:   c.usage(),
		},
		Fingerprint: c.version,
	})
}

func (c *chat) chunk(token string) chunk {
	delta := bhchat.Delta{Content: token}
	return chunk{
		Chunk: bhchat.Chunk{
			ID:      c.id,
			Object:  bhchat.ObjectChunk,
			Created: c.created,
			Model:   c.request.Model,
			Choices: []bhchat.ChunkChoice{{Delta: delta}},
		},
		Fingerprint: c.version,
	}
}

func (c *chat) last() chunk {
	last := c.chunk("")
	last.Choices[0].Finish = &c.finish
	usage := c.usage()
	last.Usage = &usage
	return last
}

func (c *chat) usage() bhchat.Usage {
	prompt := len(c.prompt)/bytesPerToken + 1
	return bhchat.Usage{Prompt: prompt, Completion: len(c.tokens), Total: prompt + len(c.tokens)}
}

const bytesPerToken = 4

// chunk and completion add the model's version, as engines do.
type chunk struct {
	bhchat.Chunk
	Fingerprint string `json:"system_fingerprint"`
}

type completion struct {
	bhchat.Completion
	Fingerprint string `json:"system_fingerprint"`
}

func sendEvent(w http.ResponseWriter, value any) {
	event, err := bhchat.Event(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	send(w, event)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func refuse(w http.ResponseWriter, status int, message string) {
	detail := ChatErrorDetail{Message: message, Type: "invalid_request_error"}
	reply(w, status, ChatError{Error: detail})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.reports.Get()
	e.mu.Unlock()
	reply(w, http.StatusOK, load)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := Events{Epoch: e.epoch, Events: e.cache.after(after, e.config.Lag, e.config.Gap)}
	e.mu.Unlock()
	reply(w, http.StatusOK, events)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Stats())
}

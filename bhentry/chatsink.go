package bhentry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// newChatSink returns the sink for the response to a chat request, which takes memory as it needs it.
func newChatSink(c echo.Context, request bhchat.Request, memory *bhspool.Share) (responseSink, error) {
	if request.Streamed() {
		return &chatSink{c: c, request: request, memory: memory}, nil
	}
	body, err := request.EngineBody(bhchat.Resume{})
	if err != nil {
		return nil, err
	}
	return &bufferedChatSink{bufferedSink: bufferedSink{body: body, memory: memory}, c: c}, nil
}

// engineError returns UpstreamFailed unless the status is that of an answer, 200, or of a
// refusal of the request, 4xx.
func engineError(status int) error {
	if status == http.StatusOK || status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return nil
	}
	return bhcode.New(bhcode.UpstreamFailed, "the engine answered %d", status).WithRan(bhcode.RanUnknown)
}

// bufferedChatSink buffers a chat response that can't be assembled from stream
// chunks, such as one with tool calls, until it is complete.
type bufferedChatSink struct {
	bufferedSink
	c echo.Context
}

func (s *bufferedChatSink) writeHead(head bhwire.Head) error {
	if err := engineError(head.Status); err != nil {
		return err
	}
	return s.bufferedSink.writeHead(head)
}

func (s *bufferedChatSink) finish() error { return writeResponse(s.c, s.response()) }

// chatSink assembles one response for the caller from the stream chunks of one
// or more engines. Chunks of the first engine are forwarded unchanged; those of
// later engines get the ID and creation time of the first chunk.
type chatSink struct {
	c         echo.Context
	request   bhchat.Request
	memory    *bhspool.Share
	status    int
	decoder   bhchat.Decoder
	collector bhchat.Collector
	// refusalBody is the body of a response whose status isn't 200.
	refusalBody []byte
	eventBuffer []byte
	// firstChunk holds the ID and creation time of the first chunk. Its other
	// fields are unset.
	firstChunk bhchat.Chunk
	attempts   int
	// fingerprint is the last one that an engine told, and unchecked says that the
	// engine that continues the answer hasn't told its own yet.
	fingerprint string
	unchecked   bool
}

func (s *chatSink) beginAttempt() ([]byte, error) {
	s.decoder = bhchat.Decoder{}
	s.refusalBody = nil
	s.attempts++
	s.unchecked = s.collector.Tokens() > 0
	return s.request.EngineBody(s.collector.Resume())
}

func (s *chatSink) writeHead(head bhwire.Head) error {
	s.status = head.Status
	return engineError(head.Status)
}

func (s *chatSink) writeData(data []byte) error {
	if s.status != http.StatusOK {
		s.refusalBody = append(s.refusalBody, data...)
		return holdAnswer(s.memory, len(s.refusalBody))
	}
	chunks, err := s.decoder.Feed(data)
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		if err := s.writeChunk(chunk); err != nil {
			return err
		}
	}
	return holdAnswer(s.memory, s.collector.Size()+s.decoder.Pending())
}

func (s *chatSink) writeChunk(chunk bhchat.Chunk) error {
	if err := s.checkVersion(chunk.Fingerprint); err != nil {
		return err
	}
	s.collector.Add(chunk)
	if s.firstChunk.ID == "" {
		s.firstChunk.ID, s.firstChunk.Created = chunk.ID, chunk.Created
	}
	if !s.request.Stream {
		return nil
	}
	raw := chunk.Raw
	if s.attempts > 1 {
		rewritten, err := s.rewriteChunk(chunk)
		if err != nil {
			return bhcode.Wrap(err, bhcode.UpstreamFailed, "a chunk can't be encoded").WithRan(bhcode.RanYes)
		}
		raw = rewritten
	}
	s.eventBuffer = bhchat.RawEvent(s.eventBuffer[:0], raw)
	return s.writeEvent(s.eventBuffer)
}

// checkVersion returns VersionDiffers if another engine continues the answer than one
// of the version that wrote it so far: what two versions write doesn't fit together.
// Engines may tell no fingerprint, and one may change its own.
func (s *chatSink) checkVersion(fingerprint string) error {
	if fingerprint == "" {
		return nil
	}
	if s.unchecked && s.fingerprint != "" && fingerprint != s.fingerprint {
		return bhcode.New(bhcode.VersionDiffers, "an engine of version %q can't continue an answer of version %q", fingerprint, s.fingerprint).WithRan(bhcode.RanYes)
	}
	s.unchecked, s.fingerprint = false, fingerprint
	return nil
}

// rewriteChunk returns the JSON of a chunk from an engine that resumed the
// response of an earlier one: with the ID and creation time of the first chunk
// and the token usage of the whole response.
func (s *chatSink) rewriteChunk(chunk bhchat.Chunk) ([]byte, error) {
	if chunk.Usage == nil {
		return bhchat.Rename(chunk.Raw, s.firstChunk.ID, s.firstChunk.Created)
	}
	usage := s.collector.Usage()
	chunk.Usage = &usage
	return bhchat.EncodeChunk(chunk, s.firstChunk.ID, s.firstChunk.Created)
}

// writeEvent writes one event to the caller. The first one commits the headers.
func (s *chatSink) writeEvent(event []byte) error {
	response := s.c.Response()
	if !response.Committed {
		response.Header().Set("Content-Type", contentTypeEventStream)
		response.Header().Set("Cache-Control", "no-cache")
		response.WriteHeader(http.StatusOK)
		s.c.Set(contextKeyChatEvents, true)
	}
	if _, err := response.Write(event); err != nil {
		return bhcode.Wrap(err, bhcode.Cancelled, "the caller left").WithRan(bhcode.RanYes)
	}
	return nil
}

func (s *chatSink) flush() {
	if s.request.Stream && s.c.Response().Committed {
		s.c.Response().Flush()
	}
}

func (s *chatSink) finish() error {
	if s.status != http.StatusOK {
		return s.writeRefusal()
	}
	if s.decoder.Done() {
		s.collector.Done()
	}
	if !s.collector.Whole() {
		return bhcode.New(bhcode.AnswerIncomplete, "the engine ended its answer early").WithRan(bhcode.RanYes)
	}
	if s.request.Stream {
		return s.writeEvent([]byte(bhchat.DoneEvent))
	}
	created := s.firstChunk.Created
	if created == 0 {
		created = time.Now().Unix()
	}
	return s.c.JSON(http.StatusOK, s.collector.Completion(s.firstChunk.ID, created))
}

// writeRefusal forwards the refusal of an engine. If an earlier engine has begun the
// response, it returns AnswerIncomplete instead.
func (s *chatSink) writeRefusal() error {
	if s.c.Response().Committed || s.collector.Tokens() > 0 {
		return bhcode.New(bhcode.AnswerIncomplete, "the next engine answered %d", s.status).WithRan(bhcode.RanYes)
	}
	return s.c.Blob(s.status, "application/json", s.refusalBody)
}

// resumable reports whether another engine can continue the response: if it is
// plain text, or if no chunk has arrived yet.
func (s *chatSink) resumable() bool {
	return s.request.TextOnly() || s.firstChunk.ID == ""
}

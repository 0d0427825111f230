package bhchat

import (
	"strconv"
	"strings"

	"github.com/goccy/go-json"
)

// Values of the "object" field in responses.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
)

// Usage is the number of tokens in a request's prompt and in its completion.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// Delta is the text that a chunk appends to the response message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is one choice of a chunk. Finish is the finish reason, nil until
// the choice's last chunk.
type ChunkChoice struct {
	Index  int     `json:"index"`
	Delta  Delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

// Chunk is one event of a streamed response. Created is in seconds since 1970.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// Fingerprint names the version of the model and the engine that wrote the chunk;
	// empty if the engine doesn't tell.
	Fingerprint string `json:"system_fingerprint,omitempty"`

	// Error is what the engine reports instead of going on; empty or null otherwise.
	Error json.RawMessage `json:"error,omitempty"`

	// Raw is the JSON that the engine sent, including fields that Chunk doesn't
	// declare. It is valid until the next call of Decoder.Feed.
	Raw []byte `json:"-"`
}

// Choice is one choice of a complete response.
type Choice struct {
	Index   int     `json:"index"`
	Message Message `json:"message"`
	Finish  string  `json:"finish_reason"`
}

// Completion is a complete, non-streamed response. Created is in seconds since
// 1970.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Collector assembles one response from its chunks, which may come from several
// engines, and tracks whether the response is complete.
type Collector struct {
	text         strings.Builder
	tokens       int
	resumed      bool
	finishReason string
	usage        Usage
	done         bool
	model        string
}

// Add appends the next chunk. It counts each chunk choice with content as one
// token.
func (c *Collector) Add(chunk Chunk) {
	c.model = chunk.Model
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			c.text.WriteString(choice.Delta.Content)
			c.tokens++
		}
		if choice.Finish != nil {
			c.finishReason = *choice.Finish
		}
	}
	if chunk.Usage != nil {
		c.usage = *chunk.Usage
	}
}

// Done records that the engine's stream ended with the end marker.
func (c *Collector) Done() { c.done = true }

// Whole reports whether the response is complete: the stream ended with the end
// marker and a finish reason was received.
func (c *Collector) Whole() bool { return c.done && c.finishReason != "" }

// Tokens returns the number of response tokens received so far.
func (c *Collector) Tokens() int { return c.tokens }

// Size returns the length of the text received so far, in bytes.
func (c *Collector) Size() int { return c.text.Len() }

// Resume returns the text and token count that another engine needs to continue
// the response. If there are any tokens, it also marks the response as coming
// from more than one engine. The end marker of an earlier engine doesn't count.
func (c *Collector) Resume() Resume {
	c.done = false
	if c.tokens > 0 {
		c.resumed = true
	}
	return Resume{Text: c.text.String(), Tokens: c.tokens}
}

// Usage returns the token usage of the whole response. If the response was
// resumed, the completion tokens are those counted over all engines rather than
// those that the last engine reported.
func (c *Collector) Usage() Usage {
	usage := c.usage
	if c.resumed {
		usage.Completion = c.tokens
		usage.Total = usage.Prompt + usage.Completion
	}
	return usage
}

// Completion returns the collected response with the given ID and creation time
// in seconds since 1970.
func (c *Collector) Completion(id string, created int64) Completion {
	return Completion{
		ID:      id,
		Object:  ObjectCompletion,
		Created: created,
		Model:   c.model,
		Choices: []Choice{{Message: Message{Role: "assistant", Content: c.text.String()}, Finish: c.finishReason}},
		Usage:   c.Usage(),
	}
}

// Event returns a server-sent event with value as JSON in its data field. It
// returns an error if value can't be encoded.
func Event(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return RawEvent(nil, data), nil
}

// RawEvent appends a server-sent event with the given data field to buf and
// returns the extended buffer.
func RawEvent(buf, data []byte) []byte {
	buf = append(buf, eventPrefix...)
	buf = append(buf, data...)
	return append(buf, eventEnd...)
}

// EncodeChunk returns the JSON of a chunk with another ID and creation time, in
// seconds since 1970. It encodes only the declared fields of Chunk and is used
// for the chunk that carries the token usage.
func EncodeChunk(chunk Chunk, id string, created int64) ([]byte, error) {
	chunk.ID, chunk.Created = id, created
	return json.Marshal(chunk)
}

// Rename returns a chunk's JSON with another ID and creation time, in seconds
// since 1970. It keeps all other fields, and returns an error if raw isn't a JSON
// object.
func Rename(raw []byte, id string, created int64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	encodedID, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	fields["id"] = encodedID
	fields["created"] = strconv.AppendInt(nil, created, 10)
	return json.Marshal(fields)
}

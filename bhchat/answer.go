package bhchat

import (
	"strconv"
	"strings"

	"github.com/goccy/go-json"
)

// Object names in answers.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
)

// Usage counts the tokens of a request and its answer.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// Delta is the part of the answer that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Index  int     `json:"index"`
	Delta  Delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`

	// Raw is the chunk as the engine sent it, with fields not named above. It is
	// valid until the next call of the decoder.
	Raw []byte `json:"-"`
}

// Choice is one choice of a whole answer.
type Choice struct {
	Index   int     `json:"index"`
	Message Message `json:"message"`
	Finish  string  `json:"finish_reason"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Collector gathers the chunks of one answer, over one or more engines, and
// knows whether the answer is whole.
type Collector struct {
	text    strings.Builder
	tokens  int
	resumed bool
	finish  string
	usage   Usage
	done    bool
	model   string
}

// Add takes in the next chunk.
func (c *Collector) Add(chunk Chunk) {
	c.model = chunk.Model
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			c.text.WriteString(choice.Delta.Content)
			c.tokens++
		}
		if choice.Finish != nil {
			c.finish = *choice.Finish
		}
	}
	if chunk.Usage != nil {
		c.usage = *chunk.Usage
	}
}

// Done notes that the engine ended its stream in order.
func (c *Collector) Done() { c.done = true }

// Whole reports whether the answer is complete.
func (c *Collector) Whole() bool { return c.done && c.finish != "" }

// Tokens returns the number of tokens gathered.
func (c *Collector) Tokens() int { return c.tokens }

// Resume returns what another engine needs to go on, and notes that the answer
// comes from more than one engine.
func (c *Collector) Resume() Resume {
	if c.tokens > 0 {
		c.resumed = true
	}
	return Resume{Text: c.text.String(), Tokens: c.tokens}
}

// Usage returns the tokens used over all engines.
func (c *Collector) Usage() Usage {
	usage := c.usage
	if c.resumed {
		usage.Completion = c.tokens
		usage.Total = usage.Prompt + usage.Completion
	}
	return usage
}

// Completion returns the whole answer under the id and creation time given, in
// seconds since 1970.
func (c *Collector) Completion(id string, created int64) Completion {
	return Completion{
		ID:      id,
		Object:  ObjectCompletion,
		Created: created,
		Model:   c.model,
		Choices: []Choice{{Message: Message{Role: "assistant", Content: c.text.String()}, Finish: c.finish}},
		Usage:   c.Usage(),
	}
}

// Event returns the server-sent event that carries value as JSON.
func Event(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return RawEvent(nil, data), nil
}

// RawEvent appends the server-sent event that carries data to buf.
func RawEvent(buf, data []byte) []byte {
	buf = append(buf, eventPrefix...)
	buf = append(buf, data...)
	return append(buf, eventEnd...)
}

// Last returns the JSON of a chunk with usage under another id and creation
// time.
func Last(chunk Chunk, id string, created int64) ([]byte, error) {
	chunk.ID, chunk.Created = id, created
	return json.Marshal(chunk)
}

// Rename returns a chunk's JSON with another id and creation time, in seconds
// since 1970. Other fields stay as they are.
func Rename(raw []byte, id string, created int64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	name, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	fields["id"] = name
	fields["created"] = strconv.AppendInt(nil, created, 10)
	return json.Marshal(fields)
}

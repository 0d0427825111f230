// Package bhchat encodes and decodes the chat completion API of inference
// servers: requests, responses and event streams. The entry (bhentry), the batch
// API (bhbatch) and the stand-in engine (bhstand) use it.
package bhchat

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Path is the path of the chat completion API, both on the entry for callers and
// on the engines.
const Path = "/v1/chat/completions"

const (
	// DefaultMaxTokens is the maximum response length, in tokens, of a request
	// without max_tokens.
	DefaultMaxTokens = 16
	// MaxMessages is the maximum number of messages in a request.
	MaxMessages = 10_000

	bytesPerToken    = 4
	prefixBlockBytes = 256
	maxPrefixBlocks  = 256
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON decodes a message. Content that isn't a string, such as a list
// of parts, is kept as its JSON text; null content becomes the empty string.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	m.Role = raw.Role
	if len(raw.Content) == 0 || string(raw.Content) == "null" {
		m.Content = ""
		return nil
	}
	if raw.Content[0] != '"' {
		m.Content = string(raw.Content)
		return nil
	}
	return json.Unmarshal(raw.Content, &m.Content)
}

// Resume is the part of a response that the caller already has: its text and its
// number of tokens.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Request is a chat completion request. Fields that it doesn't declare are kept
// and passed to the engine.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`

	raw map[string]json.RawMessage
}

// Parse decodes and validates a request. Errors have the code
// bhcode.BadRequest.
func Parse(body []byte) (Request, error) {
	request := Request{MaxTokens: DefaultMaxTokens}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, bhcode.Wrap(err, bhcode.BadRequest, "the body is not a chat request")
	}
	if err := json.Unmarshal(body, &request.raw); err != nil {
		return request, bhcode.Wrap(err, bhcode.BadRequest, "the body is not an object")
	}
	return request, request.validate()
}

func (r Request) validate() error {
	switch {
	case r.Model == "":
		return bhcode.New(bhcode.BadRequest, "model: must not be empty")
	case len(r.Messages) == 0:
		return bhcode.New(bhcode.BadRequest, "messages: must not be empty")
	case len(r.Messages) > MaxMessages:
		return bhcode.New(bhcode.BadRequest, "messages: at most %d", MaxMessages)
	case r.MaxTokens < 1:
		return bhcode.New(bhcode.BadRequest, "max_tokens: must be at least 1")
	}
	return nil
}

// Prompt returns the conversation as one text, with a line "role: content" for
// each message.
func (r Request) Prompt() string {
	var text strings.Builder
	for _, message := range r.Messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// Work estimates the cost of the request in tokens: the prompt's size at 4 bytes
// per token plus the maximum response length.
func (r Request) Work() int64 {
	size := 0
	for _, message := range r.Messages {
		size += len(message.Content)
	}
	return int64(size/bytesPerToken + r.MaxTokens)
}

// textOnlyFields are the request fields that keep the response to a single text.
// Any other field may change the shape of the response.
var textOnlyFields = map[string]bool{
	"model": true, "messages": true, "stream": true, "max_tokens": true, "max_completion_tokens": true, "temperature": true, "top_p": true,
	"seed": true, "stop": true, "user": true, "frequency_penalty": true, "presence_penalty": true, "resume": true,
}

// TextOnly reports whether the response is a single text, which can be assembled
// from chunks and continued on another engine.
func (r Request) TextOnly() bool {
	for name := range r.raw {
		if !textOnlyFields[name] {
			return false
		}
	}
	return true
}

// Streamed reports whether to request a stream from the engine: if the caller
// requested one, or if the complete response can be assembled from the stream.
func (r Request) Streamed() bool { return r.Stream || r.TextOnly() }

// EngineBody returns the JSON request body for an engine. If resume has tokens,
// the engine continues the response after them. A resume field set by the caller
// is removed. Errors have the code bhcode.BadRequest.
func (r Request) EngineBody(resume Resume) ([]byte, error) {
	fields := make(map[string]any, len(r.raw)+2)
	for name, value := range r.raw {
		fields[name] = value
	}
	delete(fields, "resume")
	fields["stream"] = r.Streamed()
	if resume.Tokens > 0 {
		fields["resume"] = resume
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.BadRequest, "the body can't be encoded")
	}
	return body, nil
}

// Prefix returns one hash for each complete 256-byte block of the prompt, for at
// most the first 256 blocks. Each hash covers the prompt from its start to the
// end of the block, so equal hashes mean equal prefixes.
func Prefix(prompt string) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= prefixBlockBytes && len(hashes) < maxPrefixBlocks {
		if _, err := digest.WriteString(prompt[:prefixBlockBytes]); err != nil {
			return hashes
		}
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return hashes
}

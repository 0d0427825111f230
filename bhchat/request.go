// Package bhchat reads and writes the HTTP conventions of inference servers:
// chat completion requests, their answers and their event streams.
package bhchat

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Path is the path of chat completions on callers' and engines' side.
const Path = "/v1/chat/completions"

const (
	// DefaultMaxTokens is the longest answer of a request that names no bound.
	DefaultMaxTokens = 16
	// MaxMessages is the largest number of messages in one request.
	MaxMessages = 10_000

	bytesPerToken   = 4
	prefixBlockSize = 256
	maxPrefixBlocks = 256
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON reads a message. Content that isn't text, such as a list of
// parts, is kept as its JSON.
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

// Resume names the part of an answer that the caller already has.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Request is a chat completion request. Fields it doesn't know are kept for
// the engine.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`

	raw map[string]json.RawMessage
}

// Parse reads a request. Errors carry BadRequest.
func Parse(body []byte) (Request, error) {
	request := Request{MaxTokens: DefaultMaxTokens}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, bhcode.Wrap(err, bhcode.BadRequest, "the body is not a chat request")
	}
	if err := json.Unmarshal(body, &request.raw); err != nil {
		return request, bhcode.Wrap(err, bhcode.BadRequest, "the body is not an object")
	}
	return request, request.check()
}

func (r Request) check() error {
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

// Prompt returns the conversation as one text.
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

// Work estimates the request's work in tokens, prompt and answer.
func (r Request) Work() int64 {
	size := 0
	for _, message := range r.Messages {
		size += len(message.Content)
	}
	return int64(size/bytesPerToken + r.MaxTokens)
}

// plainFields are the fields with which an answer is text only.
var plainFields = map[string]bool{
	"model": true, "messages": true, "stream": true, "max_tokens": true, "max_completion_tokens": true, "temperature": true, "top_p": true,
	"seed": true, "stop": true, "user": true, "frequency_penalty": true, "presence_penalty": true, "resume": true,
}

// TextOnly reports whether the answer is one text, which can be put together
// from chunks and gone on with at another engine.
func (r Request) TextOnly() bool {
	for name := range r.raw {
		if !plainFields[name] {
			return false
		}
	}
	return true
}

// Streamed reports whether engines are asked for a stream: if the caller wants
// one, or if the whole answer can be put together from it.
func (r Request) Streamed() bool { return r.Stream || r.TextOnly() }

// EngineBody returns the body for an engine, resumed after what the caller
// already has.
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

// Prefix returns a hash for each whole block of the prompt; each hash covers
// the prompt from its start, so equal hashes mean equal prefixes. At most the
// first 256 blocks are covered.
func Prefix(prompt string) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= prefixBlockSize && len(hashes) < maxPrefixBlocks {
		if _, err := digest.WriteString(prompt[:prefixBlockSize]); err != nil {
			return hashes
		}
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[prefixBlockSize:]
	}
	return hashes
}

package bhload

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// Verdict says how a request ended.
type Verdict string

// Verdicts.
const (
	// Good is a whole answer that belongs to its request.
	Good Verdict = "good"
	// Wrong is a whole answer that doesn't belong to its request, or has no valid status.
	Wrong Verdict = "wrong"
	// Short is an answer that ended early as if it were whole.
	Short Verdict = "short"
	// Broken is an answer that started and ended with a visible error.
	Broken Verdict = "broken"
	// Refused is an error in place of an answer.
	Refused Verdict = "refused"
	// Failed is a request that got no reply.
	Failed Verdict = "failed"
)

// Outcome is the end of one request.
type Outcome struct {
	Verdict Verdict
	// Code is the result code of an error, or zero.
	Code int
	// Status is the HTTP status, or zero.
	Status int
	// First is the time from when the request was due to the first token.
	First time.Duration
	// Between are the times from token to token.
	Between []time.Duration
	Total   time.Duration
	Message string
}

// failure is the part of an error body that the load reads.
type failure struct {
	Error struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// expected returns the right answer's text.
func (r Request) expected() string {
	prompt := bhchat.Request{Messages: r.messages()}.Prompt()
	return strings.Join(bhstand.Answer(r.Kind.Model, prompt, r.Kind.Tokens), "")
}

func (r Request) messages() []bhchat.Message {
	return []bhchat.Message{{Role: "user", Content: r.Prompt}}
}

// judge compares an answer's text with the right one.
func (r Request) judge(text string, whole bool) Verdict {
	want := r.expected()
	switch {
	case whole && text == want:
		return Good
	case !whole && strings.HasPrefix(want, text):
		return Short
	}
	return Wrong
}

// judgeChat judges a whole answer in JSON.
func (r Request) judgeChat(body []byte) Verdict {
	var completion bhchat.Completion
	if err := json.Unmarshal(body, &completion); err != nil || len(completion.Choices) != 1 {
		return Short
	}
	return r.judge(completion.Choices[0].Message.Content, completion.Choices[0].Finish != "")
}

// judgePlain judges the answer of a plain service.
func (r Request) judgePlain(body []byte) Verdict {
	var reply bhstand.PlainReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return Short
	}
	if reply.ID != r.ID {
		return Wrong
	}
	return Good
}

// Package bhload puts an open-loop load on an entry and checks that each answer
// is whole and belongs to its own request. It needs upstreams that are
// stand-ins, whose answers are known beforehand.
package bhload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// DefaultTimeout bounds one request when the configuration names no bound.
const DefaultTimeout = time.Minute

// Class is the kind of a request.
type Class string

// Classes of requests.
const (
	ClassChat   Class = "chat"
	ClassStream Class = "stream"
	ClassPlain  Class = "plain"
)

// Config describes a load.
type Config struct {
	// Seed decides the arrivals and the prompts.
	Seed uint64 `json:"seed"`
	// Duration is how long new requests are sent.
	Duration bhconf.Duration `json:"duration"`
	// Timeout bounds one request; zero means DefaultTimeout.
	Timeout  bhconf.Duration `json:"timeout,omitzero"`
	Accounts []Account       `json:"accounts"`
	Mix      []Kind          `json:"mix"`
}

// Account is a client account that sends requests.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
}

// Kind is one kind of request in the mix.
type Kind struct {
	Class Class `json:"class"`
	// Weight is the kind's part of the requests; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// Model, Tokens (the longest answer) and Prompt (bytes that no other prompt
	// has) are for chat and stream.
	Model  string `json:"model,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Prompt int    `json:"prompt,omitempty"`
	// Prefixes is the number of prefixes that prompts share, and Shared their
	// size in bytes.
	Prefixes int `json:"prefixes,omitempty"`
	Shared   int `json:"shared,omitempty"`
	// Method and Path are for plain; an empty method means POST.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
}

// Parse reads a configuration and checks it.
func Parse(data []byte) (Config, error) {
	var config Config
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return config, errors.Wrap(err, "load")
	}
	return config, config.Check().Err()
}

// Check returns every mistake in the configuration.
func (c Config) Check() bhconf.Problems {
	var problems bhconf.Problems
	add := func(path, message string) {
		problems = append(problems, bhconf.Problem{Path: path, Message: message})
	}
	if c.Duration <= 0 {
		add("duration", "must be more than 0")
	}
	if c.Timeout < 0 {
		add("timeout", "must not be negative")
	}
	if len(c.Accounts) == 0 {
		add("accounts", "must not be empty")
	}
	for i, account := range c.Accounts {
		if account.Rate <= 0 {
			add(fmt.Sprintf("accounts[%d].rate", i), "must be more than 0")
		}
	}
	if len(c.Mix) == 0 {
		add("mix", "must not be empty")
	}
	for i, kind := range c.Mix {
		if field, message := kind.check(); message != "" {
			add(fmt.Sprintf("mix[%d].%s", i, field), message)
		}
	}
	return problems
}

// check returns the first mistake in the kind with its field.
func (k Kind) check() (field, message string) {
	switch {
	case k.Weight < 0:
		return "weight", "must not be negative"
	case k.Class == ClassPlain && k.Path == "":
		return "path", "must not be empty"
	case k.Class == ClassPlain:
		return "", ""
	case k.Class != ClassChat && k.Class != ClassStream:
		return "class", "must be chat, stream or plain"
	case k.Model == "":
		return "model", "must not be empty"
	case k.Tokens < 0 || k.Prompt < 0 || k.Shared < 0 || k.Prefixes < 0:
		return "tokens", "sizes must not be negative"
	}
	return "", ""
}

func (k Kind) weight() float64 {
	if k.Weight == 0 {
		return 1
	}
	return k.Weight
}

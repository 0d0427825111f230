package bhload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	wordSeed    = "abcdefghijklmnopqrstuvwxyz "
	hashSpacing = 1 << 32
)

// Request is one request of the load.
type Request struct {
	// At is when the request is due, from the start of the load.
	At      time.Duration
	ID      string
	Account Account
	Kind    Kind
	// Prompt is the content of the only message, for chat and stream.
	Prompt string
}

// Schedule gives the requests of one account in order. Arrivals are a Poisson
// process, so that they don't wait for answers.
type Schedule struct {
	config  Config
	account Account
	random  *rand.Rand
	at      time.Duration
	count   int
	total   float64
}

// NewSchedule returns the schedule of the account with the index.
func NewSchedule(config Config, index int) *Schedule {
	s := &Schedule{
		config:  config,
		account: config.Accounts[index],
		random:  rand.New(rand.NewPCG(config.Seed, uint64(index))),
	}
	for _, kind := range config.Mix {
		s.total += kind.weight()
	}
	return s
}

// Next returns the next request, or false after the load's duration.
func (s *Schedule) Next() (Request, bool) {
	gap := s.random.ExpFloat64() / s.account.Rate
	s.at += time.Duration(gap * float64(time.Second))
	if s.at >= time.Duration(s.config.Duration) {
		return Request{}, false
	}
	s.count++
	kind := s.choose()
	id := fmt.Sprintf("%s-%d-%d", s.account.Name, s.config.Seed, s.count)
	request := Request{At: s.at, ID: id, Account: s.account, Kind: kind}
	if kind.Class != ClassPlain {
		request.Prompt = s.prompt(id, kind)
	}
	return request, true
}

func (s *Schedule) choose() Kind {
	at := s.random.Float64() * s.total
	for _, kind := range s.config.Mix {
		at -= kind.weight()
		if at < 0 {
			return kind
		}
	}
	return s.config.Mix[len(s.config.Mix)-1]
}

// prompt returns a shared prefix, the request's id and random text.
func (s *Schedule) prompt(id string, kind Kind) string {
	var b strings.Builder
	if kind.Prefixes > 0 {
		which := s.random.IntN(kind.Prefixes)
		writeWords(&b, rand.New(rand.NewPCG(s.config.Seed, hashSpacing+uint64(which))), kind.Shared)
	}
	b.WriteString(id)
	b.WriteString(" ")
	writeWords(&b, s.random, kind.Prompt)
	return b.String()
}

func writeWords(b *strings.Builder, random *rand.Rand, size int) {
	for range size {
		b.WriteByte(wordSeed[random.IntN(len(wordSeed))])
	}
}

package bhstand

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhtree"
)

// HeaderRequestID names a request for the counts of a Plain.
const HeaderRequestID = "X-Request-Id"

const maxPlainBody = 1 << 20

// PlainConfig configures a Plain.
type PlainConfig struct {
	// Name is reported in each answer.
	Name string
}

// PlainStats are the requests that a Plain ran, by "METHOD path id". The id is
// the header X-Request-Id or else the body.
type PlainStats struct {
	Runs map[string]int `json:"runs"`
}

// PlainReply is the answer of a Plain.
type PlainReply struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	ID     string `json:"id"`
	Run    int    `json:"run"`
}

// Plain stands in for a plain service. It counts what it ran. The query
// delay=200ms makes it slow; drop=1 makes it run and close the connection
// without an answer. A request that is cancelled while it is delayed has run.
type Plain struct {
	name string

	mu   sync.Mutex
	runs map[string]int
	seen []http.Header
}

// NewPlain returns a plain service.
func NewPlain(config PlainConfig) *Plain {
	return &Plain{name: config.Name, runs: make(map[string]int)}
}

// Runs returns how often "METHOD path id" ran.
func (p *Plain) Runs(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[name]
}

// Stats returns the requests that ran.
func (p *Plain) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlainStats{Runs: maps.Clone(p.runs)}
}

// Seen returns the headers of each request, in order of arrival.
func (p *Plain) Seen() []http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]http.Header{}, p.seen...)
}

// Close implements io.Closer.
func (p *Plain) Close() error { return nil }

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathStats:
		reply(w, http.StatusOK, p.Stats())
		return
	case PathSeen:
		reply(w, http.StatusOK, p.Seen())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer := p.run(r, string(body))
	query := r.URL.Query()
	delay, err := time.ParseDuration(query.Get("delay"))
	if err == nil && !bhtree.Sleep(r.Context(), delay) {
		return
	}
	if query.Get("drop") != "" {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, answer)
}

func (p *Plain) run(r *http.Request, body string) PlainReply {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = body
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	name := r.Method + " " + r.URL.Path + " " + id
	p.runs[name]++
	p.seen = append(p.seen, r.Header.Clone())
	return PlainReply{Name: p.name, Method: r.Method, Path: r.URL.Path, ID: id, Run: p.runs[name]}
}

package bhstand

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/baobabhaven/baobabhaven/bhchat"
)

// Paths of engines, beside bhchat.Path.
const (
	PathLoad   = "/load"
	PathEvents = "/events"
	PathOrders = "/orders"
	PathModels = "/models"
	PathStats  = "/stats"
	PathSeen   = "/seen"
)

// Words in a prompt that make an engine misbehave.
const (
	WordCrash  = "CRASH"
	WordRefuse = "REFUSE"
)

const (
	defaultSlots  = 8
	defaultBlocks = 1024
)

// EngineConfig configures an Engine. A zero duration means no delay.
type EngineConfig struct {
	Name string
	// Slots is the number of requests that run at once; zero means 8.
	Slots int
	// Blocks is the size of the prefix cache in blocks; zero means 1024.
	Blocks int
	// Token is the time per token of a request that runs alone.
	Token time.Duration
	// Slowdown is the part of Token that each further request adds to it.
	Slowdown float64
	// Prompt is the time per prompt block that isn't cached.
	Prompt time.Duration
	// Lag is how late load reports and cache events are.
	Lag time.Duration
	// Gap drops each cache event whose number is a multiple of it; zero drops none.
	Gap uint64
	// Fenced refuses orders with a fencing number lower than one seen.
	Fenced bool
	// Restart is how long the engine is away after a crash.
	Restart time.Duration
	// Models are loaded at each start, by version.
	Models map[string]string
	// Loading is the time to load a model if Weights is empty.
	Loading time.Duration
	// Weights is the base URL of the weight store.
	Weights string
}

// Load is an engine's load report.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cached is the number of prefix blocks in the cache.
	Cached int `json:"cached"`
}

// EngineStats counts what an engine did since it was made.
type EngineStats struct {
	Crashes int `json:"crashes"`
	// Requests counts the requests that started to run, by Digest.
	Requests map[string]int `json:"requests"`
	// Tokens is the number of tokens generated.
	Tokens    int `json:"tokens"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
}

// Engine stands in for a model engine with continuous batching, a prefix cache
// and orders. Requests over its slots wait in order of arrival.
type Engine struct {
	config EngineConfig
	mux    *http.ServeMux
	slots  *semaphore.Weighted

	mu      sync.Mutex
	epoch   int
	life    context.Context
	end     context.CancelFunc
	back    time.Time
	load    Load
	reports *lagged[Load]
	cache   *cache
	orders  orders
	stats   EngineStats
}

// NewEngine returns a running engine.
func NewEngine(config EngineConfig) *Engine {
	if config.Slots == 0 {
		config.Slots = defaultSlots
	}
	if config.Blocks == 0 {
		config.Blocks = defaultBlocks
	}
	e := &Engine{
		config: config,
		mux:    http.NewServeMux(),
		slots:  semaphore.NewWeighted(int64(config.Slots)),
		load:   Load{Slots: config.Slots},
		stats:  EngineStats{Requests: make(map[string]int)},
	}
	e.reports = newLagged(config.Lag, e.load)
	e.start()
	e.mux.HandleFunc("POST "+bhchat.Path, e.serveChat)
	e.mux.HandleFunc("GET "+PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+PathEvents, e.serveEvents)
	e.mux.HandleFunc("POST "+PathOrders, e.serveOrder)
	e.mux.HandleFunc("GET "+PathModels, e.serveModels)
	e.mux.HandleFunc("GET "+PathStats, e.serveStats)
	return e
}

// ServeHTTP implements http.Handler. While the engine restarts, it closes each
// connection without an answer.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathStats && e.down() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Crash ends every request without an answer and empties the engine.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.end()
	e.back = time.Now().Add(e.config.Restart)
	e.start()
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Requests = maps.Clone(stats.Requests)
	return stats
}

// Load returns the load without any lag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load
}

// Close ends every request without an answer.
func (e *Engine) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	return nil
}

// start begins a life of the engine with an empty cache.
func (e *Engine) start() {
	e.epoch++
	e.life, e.end = context.WithCancel(context.Background())
	e.cache = newCache(e.config.Blocks)
	e.orders = newOrders(e.config)
	e.load.Cached = 0
	e.reports.Set(e.load)
}

func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.back)
}

// change applies a change to the load and reports it.
func (e *Engine) change(apply func(*Load)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	apply(&e.load)
	e.reports.Set(e.load)
}

// prefill enters the prompt into the cache and returns the time that takes.
func (e *Engine) prefill(prompt string) time.Duration {
	blocks := bhchat.Prefix(prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := e.cache.use(blocks)
	e.load.Cached = len(e.cache.blocks)
	return time.Duration(missing) * e.config.Prompt
}

// tokenTime returns the time that the next token takes at the current load.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1 + e.config.Slowdown*float64(max(e.load.Running-1, 0))
	return time.Duration(float64(e.config.Token) * factor)
}

// fails reports how the engine treats the prompt: it may crash or refuse it.
func fails(prompt string) (crash, refuse bool) {
	return strings.Contains(prompt, WordCrash), strings.Contains(prompt, WordRefuse)
}

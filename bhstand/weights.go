package bhstand

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// PathWeights is the path prefix of the weight store.
const PathWeights = "/weights/"

const (
	weightsChunk       = 64 << 10
	defaultWeightsSize = 1 << 20
)

// WeightsConfig configures a Weights.
type WeightsConfig struct {
	// Rate is shared by all downloads, in bytes per second; zero means unlimited.
	Rate int
	// Size is the size of each model in bytes; zero means 1 MiB.
	Size int
}

// Weights stands in for the weight store: GET /weights/{model}/{version}
// streams the weights at a limited rate that all downloads share.
type Weights struct {
	size    int
	limiter *rate.Limiter
	sent    atomic.Int64
}

// NewWeights returns a weight store.
func NewWeights(config WeightsConfig) *Weights {
	size := config.Size
	if size == 0 {
		size = defaultWeightsSize
	}
	limit := rate.Inf
	if config.Rate > 0 {
		limit = rate.Limit(config.Rate)
	}
	return &Weights{size: size, limiter: rate.NewLimiter(limit, weightsChunk)}
}

// Sent returns the bytes given to connections so far.
func (s *Weights) Sent() int64 { return s.sent.Load() }

// Close implements io.Closer.
func (s *Weights) Close() error { return nil }

// ServeHTTP implements http.Handler.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.size))
	chunk := make([]byte, weightsChunk)
	for left := s.size; left > 0; {
		n := min(left, len(chunk))
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return
		}
		s.sent.Add(int64(n))
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}

package bhroute

import (
	"math"
	"time"
)

// The confidence in a block is the estimated probability, from 0 to 1, that the
// upstream's prefix cache holds it.
const (
	// ConfidenceHalfLife is the time in which the confidence in a block halves.
	ConfidenceHalfLife = 5 * time.Minute
	// GapConfidenceFactor multiplies the confidence in all known blocks when
	// cache changes were lost.
	GapConfidenceFactor = 0.3
	// AssumedConfidence is the confidence in a block that was sent with a request
	// and that the upstream hasn't reported as cached.
	AssumedConfidence = 0.8
	// MinConfidence is the confidence below which a block is removed when cache
	// changes were lost or when there are too many blocks.
	MinConfidence = 0.05
	// DefaultMaxPrefixBlocks is the default of Config.MaxPrefixBlocks.
	DefaultMaxPrefixBlocks = 1 << 16

	// shrinkDivisor sets how many blocks are removed when there are too many: one
	// in shrinkDivisor of the maximum.
	shrinkDivisor = 8
)

// cachedBlock holds the confidence that a block had at the time updated.
type cachedBlock struct {
	confidence float64
	updated    time.Time
}

func (c cachedBlock) confidenceAt(now time.Time) float64 {
	age := now.Sub(c.updated)
	return c.confidence * math.Exp2(-float64(age)/float64(ConfidenceHalfLife))
}

// PrefixEstimate estimates which blocks are in the prefix cache of one upstream.
// A block is identified by its hash. PrefixEstimate isn't safe for concurrent
// use.
type PrefixEstimate struct {
	blocks    map[uint64]cachedBlock
	maxBlocks int
}

// NewPrefixEstimate returns an estimate without blocks that keeps at most
// maxBlocks blocks.
func NewPrefixEstimate(maxBlocks int) *PrefixEstimate {
	return &PrefixEstimate{blocks: make(map[uint64]cachedBlock), maxBlocks: maxBlocks}
}

// Cached records that the upstream reported the blocks as cached: their
// confidence is 1.
func (p *PrefixEstimate) Cached(now time.Time, hashes []uint64) {
	for _, hash := range hashes {
		p.put(now, hash, 1)
	}
}

// AssumeCached records that a request with these blocks was sent to the
// upstream. It raises their confidence to AssumedConfidence if it is lower.
func (p *PrefixEstimate) AssumeCached(now time.Time, hashes []uint64) {
	for _, hash := range hashes {
		if p.blocks[hash].confidenceAt(now) < AssumedConfidence {
			p.put(now, hash, AssumedConfidence)
		}
	}
}

// Evicted records that the upstream reported the blocks as evicted.
func (p *PrefixEstimate) Evicted(hashes []uint64) {
	for _, hash := range hashes {
		delete(p.blocks, hash)
	}
}

// Gap records that reports of cache changes were lost. Any known block may have
// been evicted, so the confidence in all of them is lowered.
func (p *PrefixEstimate) Gap(now time.Time) {
	for hash, b := range p.blocks {
		b.confidence *= GapConfidenceFactor
		if b.confidenceAt(now) < MinConfidence {
			delete(p.blocks, hash)
			continue
		}
		p.blocks[hash] = b
	}
}

// ExpectedHits returns the expected number of leading blocks of the prefix that
// are in the cache. A block adds at most the lowest confidence of the blocks
// before it, because a cached block is used only if all blocks before it are
// cached.
func (p *PrefixEstimate) ExpectedHits(now time.Time, prefix []uint64) float64 {
	hits := 0.0
	confidence := 1.0
	for _, hash := range prefix {
		b, ok := p.blocks[hash]
		if !ok {
			break
		}
		confidence = min(confidence, b.confidenceAt(now))
		hits += confidence
	}
	return hits
}

// Len returns the number of known blocks.
func (p *PrefixEstimate) Len() int { return len(p.blocks) }

func (p *PrefixEstimate) put(now time.Time, hash uint64, confidence float64) {
	if _, ok := p.blocks[hash]; !ok && len(p.blocks) >= p.maxBlocks {
		p.shrink(now)
	}
	p.blocks[hash] = cachedBlock{confidence: confidence, updated: now}
}

// shrink removes the blocks below MinConfidence, then arbitrary ones until the
// share of maxBlocks set by shrinkDivisor is free, so that one scan of all blocks
// serves many calls of put.
func (p *PrefixEstimate) shrink(now time.Time) {
	target := p.maxBlocks - max(p.maxBlocks/shrinkDivisor, 1)
	for hash, b := range p.blocks {
		if b.confidenceAt(now) < MinConfidence {
			delete(p.blocks, hash)
		}
	}
	for hash := range p.blocks {
		if len(p.blocks) <= target {
			return
		}
		delete(p.blocks, hash)
	}
}

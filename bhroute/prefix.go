package bhroute

import (
	"math"
	"time"
)

// Limits of what is known of an upstream's prefix cache.
const (
	// ConfidenceHalfLife is the age at which trust in a block has halved.
	ConfidenceHalfLife = 5 * time.Minute
	// GapConfidenceFactor multiplies the trust in all known blocks after lost events.
	GapConfidenceFactor = 0.3
	// AssumedConfidence is the trust in a block that was sent and not yet reported.
	AssumedConfidence = 0.8
	// MinConfidence is the trust below which a block is forgotten.
	MinConfidence = 0.05
	// DefaultMaxPrefixBlocks bounds the blocks known of one upstream.
	DefaultMaxPrefixBlocks = 1 << 16

	// forgetShare is the part of the blocks that goes when there are too many.
	forgetShare = 8
)

type block struct {
	trust float64
	since time.Time
}

func (b block) at(now time.Time) float64 {
	age := now.Sub(b.since)
	return b.trust * math.Exp2(-float64(age)/float64(ConfidenceHalfLife))
}

// PrefixEstimate is what an entry believes of one upstream's prefix cache.
type PrefixEstimate struct {
	blocks map[uint64]block
	limit  int
}

// NewPrefixEstimate returns an empty belief of at most limit blocks.
func NewPrefixEstimate(limit int) *PrefixEstimate {
	return &PrefixEstimate{blocks: make(map[uint64]block), limit: limit}
}

// Cached records that the upstream reported blocks as cached.
func (p *PrefixEstimate) Cached(now time.Time, hashes []uint64) {
	for _, hash := range hashes {
		p.put(now, hash, 1)
	}
}

// AssumeCached records that a request with these blocks was sent to the upstream.
func (p *PrefixEstimate) AssumeCached(now time.Time, hashes []uint64) {
	for _, hash := range hashes {
		if p.blocks[hash].at(now) < AssumedConfidence {
			p.put(now, hash, AssumedConfidence)
		}
	}
}

// Evicted records that the upstream reported blocks as gone.
func (p *PrefixEstimate) Evicted(hashes []uint64) {
	for _, hash := range hashes {
		delete(p.blocks, hash)
	}
}

// Gap records that events were lost: blocks may be gone without a report.
func (p *PrefixEstimate) Gap(now time.Time) {
	for hash, b := range p.blocks {
		b.trust *= GapConfidenceFactor
		if b.at(now) < MinConfidence {
			delete(p.blocks, hash)
			continue
		}
		p.blocks[hash] = b
	}
}

// ExpectedHits returns the expected number of leading blocks of the prefix that the
// upstream holds. A block counts only as far as all before it are trusted.
func (p *PrefixEstimate) ExpectedHits(now time.Time, prefix []uint64) float64 {
	saved := 0.0
	trust := 1.0
	for _, hash := range prefix {
		b, ok := p.blocks[hash]
		if !ok {
			break
		}
		trust = min(trust, b.at(now))
		saved += trust
	}
	return saved
}

// Len returns the number of blocks known.
func (p *PrefixEstimate) Len() int { return len(p.blocks) }

func (p *PrefixEstimate) put(now time.Time, hash uint64, trust float64) {
	if _, ok := p.blocks[hash]; !ok && len(p.blocks) >= p.limit {
		p.forget(now)
	}
	p.blocks[hash] = block{trust: trust, since: now}
}

// forget removes blocks of little trust, and any blocks until there is room
// for many, so that its cost is spread over many puts.
func (p *PrefixEstimate) forget(now time.Time) {
	room := p.limit - max(p.limit/forgetShare, 1)
	for hash, b := range p.blocks {
		if b.at(now) < MinConfidence {
			delete(p.blocks, hash)
		}
	}
	for hash := range p.blocks {
		if len(p.blocks) <= room {
			return
		}
		delete(p.blocks, hash)
	}
}

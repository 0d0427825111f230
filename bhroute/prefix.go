package bhroute

import (
	"math"
	"time"
)

// Limits of what is known of an upstream's prefix cache.
const (
	// PrefixHalfLife is the age at which trust in a block has halved.
	PrefixHalfLife = 5 * time.Minute
	// GapTrust multiplies the trust in all known blocks after lost events.
	GapTrust = 0.3
	// AssumedTrust is the trust in a block that was sent and not yet reported.
	AssumedTrust = 0.8
	// MinTrust is the trust below which a block is forgotten.
	MinTrust = 0.05
	// DefaultPrefixBlocks bounds the blocks known of one upstream.
	DefaultPrefixBlocks = 1 << 16

	// forgetShare is the part of the blocks that goes when there are too many.
	forgetShare = 8
)

type block struct {
	trust float64
	since time.Time
}

func (b block) at(now time.Time) float64 {
	age := now.Sub(b.since)
	return b.trust * math.Exp2(-float64(age)/float64(PrefixHalfLife))
}

// Prefixes is what an entry believes of one upstream's prefix cache.
type Prefixes struct {
	blocks map[uint64]block
	limit  int
}

// NewPrefixes returns an empty belief of at most limit blocks.
func NewPrefixes(limit int) *Prefixes {
	return &Prefixes{blocks: make(map[uint64]block), limit: limit}
}

// Cached records that the upstream reported blocks as cached.
func (p *Prefixes) Cached(now time.Time, hashes []uint64) {
	for _, hash := range hashes {
		p.put(now, hash, 1)
	}
}

// Assume records that a request with these blocks was sent to the upstream.
func (p *Prefixes) Assume(now time.Time, hashes []uint64) {
	for _, hash := range hashes {
		if p.blocks[hash].at(now) < AssumedTrust {
			p.put(now, hash, AssumedTrust)
		}
	}
}

// Evicted records that the upstream reported blocks as gone.
func (p *Prefixes) Evicted(hashes []uint64) {
	for _, hash := range hashes {
		delete(p.blocks, hash)
	}
}

// Gap records that events were lost: blocks may be gone without a report.
func (p *Prefixes) Gap(now time.Time) {
	for hash, b := range p.blocks {
		b.trust *= GapTrust
		if b.at(now) < MinTrust {
			delete(p.blocks, hash)
			continue
		}
		p.blocks[hash] = b
	}
}

// Saved returns the expected number of leading blocks of the prefix that the
// upstream holds. A block counts only as far as all before it are trusted.
func (p *Prefixes) Saved(now time.Time, prefix []uint64) float64 {
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
func (p *Prefixes) Len() int { return len(p.blocks) }

func (p *Prefixes) put(now time.Time, hash uint64, trust float64) {
	if _, ok := p.blocks[hash]; !ok && len(p.blocks) >= p.limit {
		p.forget(now)
	}
	p.blocks[hash] = block{trust: trust, since: now}
}

// forget removes blocks of little trust, and any blocks until there is room
// for many, so that its cost is spread over many puts.
func (p *Prefixes) forget(now time.Time) {
	room := p.limit - max(p.limit/forgetShare, 1)
	for hash, b := range p.blocks {
		if b.at(now) < MinTrust {
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

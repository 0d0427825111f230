package bhbatch

// ChunkState is the state of a chunk.
type ChunkState int

// States of a chunk.
const (
	ChunkOpen ChunkState = iota
	ChunkLeased
	ChunkDone
)

// Chunk is the state of one chunk in its part's row.
type Chunk struct {
	State ChunkState `json:"s,omitempty"`
	// Fence counts the leases granted on the chunk. It grows with each grant.
	Fence int64 `json:"f,omitempty"`
	// Holder identifies one incarnation of a runner while State is ChunkLeased.
	Holder string `json:"h,omitempty"`
	// Beat counts the renewals of the lease.
	Beat int64 `json:"b,omitempty"`
	// Counts are the items of the chunk once State is ChunkDone.
	Counts *Counts `json:"c,omitempty"`
}

// Part is the row that holds the state of up to PartChunks chunks.
type Part struct {
	Chunks []Chunk `json:"chunks"`
}

// Grant is a lease on one chunk.
type Grant struct {
	// Chunk is the chunk's number within the job.
	Chunk int
	Fence int64
}

// Finished is a chunk whose result object is stored.
type Finished struct {
	Grant  Grant
	Counts Counts
}

// Change is what one holder wants to change in one part.
type Change struct {
	Holder string
	// Finish lists chunks to complete.
	Finish []Finished
	// Keep lists leases to renew. The holder's other leases in the part are
	// given back.
	Keep []Grant
	// Claim is the number of chunks to lease.
	Claim int
	// Lapsed reports whether the lease of a chunk of the part may be taken over.
	Lapsed func(chunk int, state Chunk) bool
}

// Outcome says what a Change did.
type Outcome struct {
	Part Part
	// Granted lists new leases.
	Granted []Grant
	// Lost lists finished and kept chunks that the holder no longer holds.
	Lost []Grant
	// Changed reports whether the row has to be written.
	Changed bool
}

// Apply returns the part after change. The part itself is not modified. first
// is the number of the part's first chunk within the job.
func (p Part) Apply(first int, change Change) Outcome {
	out := Outcome{Part: Part{Chunks: append([]Chunk(nil), p.Chunks...)}}
	for _, finished := range change.Finish {
		out.finish(first, change.Holder, finished)
	}
	out.renew(first, change)
	out.claim(first, change)
	return out
}

// Counts returns the sum of the finished chunks and their number.
func (p Part) Counts() (counts Counts, done int) {
	for _, chunk := range p.Chunks {
		if chunk.State == ChunkDone && chunk.Counts != nil {
			counts = counts.Add(*chunk.Counts)
			done++
		}
	}
	return counts, done
}

// holds reports whether the lease behind grant is still the holder's.
func (c Chunk) holds(holder string, fence int64) bool {
	return c.State == ChunkLeased && c.Holder == holder && c.Fence == fence
}

func (o *Outcome) finish(first int, holder string, finished Finished) {
	chunk := &o.Part.Chunks[finished.Grant.Chunk-first]
	if chunk.State == ChunkDone && chunk.Fence == finished.Grant.Fence {
		return
	}
	if !chunk.holds(holder, finished.Grant.Fence) {
		o.Lost = append(o.Lost, finished.Grant)
		return
	}
	counts := finished.Counts
	*chunk = Chunk{State: ChunkDone, Fence: chunk.Fence, Counts: &counts}
	o.Changed = true
}

// renew renews the leases to keep and gives the holder's other leases back.
func (o *Outcome) renew(first int, change Change) {
	keep := make(map[int]int64, len(change.Keep))
	for _, grant := range change.Keep {
		keep[grant.Chunk-first] = grant.Fence
		if !o.Part.Chunks[grant.Chunk-first].holds(change.Holder, grant.Fence) {
			o.Lost = append(o.Lost, grant)
		}
	}
	for i := range o.Part.Chunks {
		chunk := &o.Part.Chunks[i]
		if chunk.State != ChunkLeased || chunk.Holder != change.Holder {
			continue
		}
		o.Changed = true
		if keep[i] == chunk.Fence {
			chunk.Beat++
			continue
		}
		*chunk = Chunk{Fence: chunk.Fence}
	}
}

func (o *Outcome) claim(first int, change Change) {
	for i := range o.Part.Chunks {
		if len(o.Granted) >= change.Claim {
			return
		}
		chunk := &o.Part.Chunks[i]
		if !claimable(first+i, *chunk, change) {
			continue
		}
		*chunk = Chunk{State: ChunkLeased, Fence: chunk.Fence + 1, Holder: change.Holder}
		o.Granted = append(o.Granted, Grant{Chunk: first + i, Fence: chunk.Fence})
		o.Changed = true
	}
}

func claimable(number int, chunk Chunk, change Change) bool {
	switch chunk.State {
	case ChunkOpen:
		return true
	case ChunkLeased:
		return chunk.Holder != change.Holder && change.Lapsed != nil && change.Lapsed(number, chunk)
	}
	return false
}

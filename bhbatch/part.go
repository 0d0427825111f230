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
	// Fence is the fencing token of the last lease. It counts the leases
	// granted on the chunk.
	Fence int64 `json:"f,omitempty"`
	// Holder identifies the runner that holds the lease while State is
	// ChunkLeased. A restarted runner is another holder.
	Holder string `json:"h,omitempty"`
	// Renewals counts the renewals of the lease.
	Renewals int64 `json:"b,omitempty"`
	// Counts holds the counts of the chunk's items once State is ChunkDone.
	Counts *Counts `json:"c,omitempty"`
}

// Part is the table row with the states of up to PartChunks chunks.
type Part struct {
	Chunks []Chunk `json:"chunks"`
}

// Grant identifies a lease on one chunk.
type Grant struct {
	// Chunk is the chunk's number within the job.
	Chunk int
	// Fence is the fencing token of the lease.
	Fence int64
}

// FinishedChunk is a chunk whose items have all ended and whose result object
// is stored.
type FinishedChunk struct {
	Grant  Grant
	Counts Counts
}

// PartChange describes what one holder changes in one part.
type PartChange struct {
	Holder string
	// Finish lists chunks to complete.
	Finish []FinishedChunk
	// Renew lists leases to renew. The holder's other leases in the part are
	// released.
	Renew []Grant
	// Claim is the number of chunks to lease.
	Claim int
	// Expired reports whether the lease of another holder has expired and may
	// be taken over. If it is nil, no lease is taken over.
	Expired func(chunk int, state Chunk) bool
}

// Outcome is the result of applying a PartChange to a Part.
type Outcome struct {
	Part Part
	// Granted lists the new leases.
	Granted []Grant
	// Lost lists the leases to finish or renew that the holder no longer holds.
	Lost []Grant
	// Changed reports whether the row must be written.
	Changed bool
}

// Apply returns the part after change; p itself is not modified. first is the
// number of the part's first chunk within the job.
func (p Part) Apply(first int, change PartChange) Outcome {
	out := Outcome{Part: Part{Chunks: append([]Chunk(nil), p.Chunks...)}}
	for _, finished := range change.Finish {
		out.finish(first, change.Holder, finished)
	}
	out.renew(first, change)
	out.claim(first, change)
	return out
}

// Counts returns the summed counts of the chunks that are done, and how many
// chunks are done.
func (p Part) Counts() (counts Counts, done int) {
	for _, chunk := range p.Chunks {
		if chunk.State == ChunkDone && chunk.Counts != nil {
			counts = counts.Add(*chunk.Counts)
			done++
		}
	}
	return counts, done
}

// heldBy reports whether holder still holds the lease with the fencing token
// fence.
func (c Chunk) heldBy(holder string, fence int64) bool {
	return c.State == ChunkLeased && c.Holder == holder && c.Fence == fence
}

// finish marks a chunk as done. A chunk that was done under the same lease
// stays unchanged, so that a write with an unknown outcome can be repeated.
func (o *Outcome) finish(first int, holder string, finished FinishedChunk) {
	chunk := &o.Part.Chunks[finished.Grant.Chunk-first]
	if chunk.State == ChunkDone && chunk.Fence == finished.Grant.Fence {
		return
	}
	if !chunk.heldBy(holder, finished.Grant.Fence) {
		o.Lost = append(o.Lost, finished.Grant)
		return
	}
	counts := finished.Counts
	*chunk = Chunk{State: ChunkDone, Fence: chunk.Fence, Counts: &counts}
	o.Changed = true
}

// renew renews the leases in change.Renew and releases the holder's other
// leases.
func (o *Outcome) renew(first int, change PartChange) {
	fences := make(map[int]int64, len(change.Renew))
	for _, grant := range change.Renew {
		fences[grant.Chunk-first] = grant.Fence
		if !o.Part.Chunks[grant.Chunk-first].heldBy(change.Holder, grant.Fence) {
			o.Lost = append(o.Lost, grant)
		}
	}
	for i := range o.Part.Chunks {
		chunk := &o.Part.Chunks[i]
		if chunk.State != ChunkLeased || chunk.Holder != change.Holder {
			continue
		}
		o.Changed = true
		if fences[i] == chunk.Fence {
			chunk.Renewals++
			continue
		}
		*chunk = Chunk{Fence: chunk.Fence}
	}
}

// claim leases claimable chunks, up to change.Claim of them.
func (o *Outcome) claim(first int, change PartChange) {
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

// claimable reports whether the chunk is open, or leased by another holder
// whose lease has expired.
func claimable(number int, chunk Chunk, change PartChange) bool {
	switch chunk.State {
	case ChunkOpen:
		return true
	case ChunkLeased:
		return chunk.Holder != change.Holder && change.Expired != nil && change.Expired(number, chunk)
	}
	return false
}

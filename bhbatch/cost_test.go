package bhbatch

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Load of the target: 16 million items a day in 12,000 jobs, at twice the mean.
const (
	targetItems = 16e6 / 86400 * 2
	targetJobs  = 12e3 / 86400 * 2
	itemTime    = 10 * time.Second
	hostPlaces  = 16
)

// slowEngine takes about itemTime for an item, in one piece.
type slowEngine struct{}

func (slowEngine) Run(ctx context.Context, item Item, _ Resume, _ func(string, int)) (Result, error) {
	select {
	case <-ctx.Done():
		return Result{}, ctx.Err()
	case <-time.After(itemTime/2 + rand.N(itemTime)):
		return Result{Body: json.RawMessage(`{}`), Tokens: 1}, nil
	}
}

// cost is what batches cost the platform.
type cost struct {
	Chunk int
	// Rates are per second; Writes counts rows, Commits transactions.
	Writes, Commits, Reads, Puts, Gets, Items float64
	// Lost is the number of unfinished items that hold partial work when a host
	// is lost, on average: those of its chunks that ended but are not completed.
	Lost float64
	// Chunked is the mean time from the lease to the result of a chunk.
	Chunked time.Duration
}

// measureCost runs hosts at the target's rate per host and counts operations.
// share is the part of 300 hosts that runs.
func measureCost(t *testing.T, chunk, hosts int, warm, span time.Duration) cost {
	result := cost{Chunk: chunk}
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform(1)
		fake.delay = 5 * time.Millisecond
		store := newStore(fake, chunk)
		share := float64(hosts) / 300
		ctx, cancel := context.WithCancel(context.Background())
		go feedJobs(ctx, store, share)
		var runners []*Runner
		for i := range hosts {
			gate := newFakeGate(hostPlaces)
			runner, stop := start(store, slowEngine{}, gate, fmt.Sprint(i))
			runners = append(runners, runner)
			defer stop()
		}
		defer cancel()
		time.Sleep(warm)
		before, ended := fake.counted(), endedItems(runners)
		time.Sleep(span)
		after := fake.counted()
		rate := func(a, b int) float64 { return float64(b-a) / span.Seconds() / share }
		result.Writes = rate(before.rowWrites, after.rowWrites)
		result.Commits = rate(before.commits, after.commits)
		result.Reads = rate(before.reads, after.reads)
		result.Puts = rate(before.puts, after.puts)
		result.Gets = rate(before.gets, after.gets)
		result.Items = rate(ended, endedItems(runners))
		for _, runner := range runners {
			result.Lost += float64(runner.unfinished()) / float64(hosts)
		}
		places := targetItems * itemTime.Seconds() / 300
		result.Chunked = time.Duration(float64(chunk) / places * float64(itemTime))
	})
	return result
}

func (f *fakePlatform) counted() fakeCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func endedItems(runners []*Runner) int {
	ended := 0
	for _, runner := range runners {
		ended += runner.Totals().Ended
	}
	return ended
}

// unfinished counts items that have ended in chunks that are not complete.
func (r *Runner) unfinished() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, part := range r.parts {
		for _, chunk := range part.chunks {
			count += chunk.counts.Completed + chunk.counts.Failed
		}
	}
	return count
}

// feedJobs submits jobs at the target's rate times share: many small and a few
// large ones.
func feedJobs(ctx context.Context, store *Store, share float64) {
	sizes := []int{50, 200, 500, 1000, 1500, 4750}
	for i := 0; ; i++ {
		size := sizes[i%len(sizes)]
		name := fmt.Sprintf("account-%d", i%8)
		file, err := store.SaveFile(ctx, name, "f", strings.NewReader(inputFile(size)))
		if err == nil {
			_, err = store.Create(ctx, name, CreateRequest{File: file.ID})
		}
		if err != nil || !bhtree.Sleep(ctx, time.Duration(float64(time.Second)/targetJobs/share)) {
			return
		}
	}
}

func TestCostStaysWithinTheTarget(t *testing.T) {
	got := measureCost(t, DefaultChunkItems, 30, 2*time.Minute, 4*time.Minute)
	t.Logf("%+v", got)
	require.Greater(t, got.Items, 0.8*targetItems)
	assert.Less(t, got.Writes, 100.0)
	assert.Less(t, got.Puts, 100.0)
	assert.Less(t, got.Reads, 600.0)
}

// TestCostByChunkSize prints the trade of the chunk size. It is run by hand,
// with BAOBAB_MEASURE=1.
func TestCostByChunkSize(t *testing.T) {
	if os.Getenv("BAOBAB_MEASURE") == "" {
		t.Skip("prints a table for docs/design-batch.md")
	}
	for _, chunk := range []int{10, 25, 50, 100, 200, 400} {
		got := measureCost(t, chunk, 300, 3*time.Minute, 3*time.Minute)
		t.Logf("| %d | %.1f | %.1f | %.0f | %.1f | %.1f | %.0f | %.0f | %s |", got.Chunk, got.Writes, got.Commits,
			got.Reads, got.Puts, got.Gets, got.Items, got.Lost, got.Chunked.Round(time.Second))
	}
}

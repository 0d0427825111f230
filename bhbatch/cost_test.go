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

// Load of the target per second: 16 million items a day in 12,000 jobs, at
// twice the mean rate.
const (
	targetItems = 16e6 / 86400 * 2
	targetJobs  = 12e3 / 86400 * 2
	itemTime    = 10 * time.Second
	hostSlots   = 16
)

// delayedEngine answers an item in one piece after itemTime on average.
type delayedEngine struct{}

func (delayedEngine) Run(ctx context.Context, item Item, _ ResumePoint, _ func(Piece)) (Result, error) {
	select {
	case <-ctx.Done():
		return Result{}, ctx.Err()
	case <-time.After(itemTime/2 + rand.N(itemTime)):
		return Result{Body: json.RawMessage(`{}`), Tokens: 1}, nil
	}
}

// cost holds the measured operations of the platform and the work lost with a
// host.
type cost struct {
	Chunk int
	// Rates are per second; Writes counts rows, Commits transactions.
	Writes, Commits, Reads, Puts, Gets, Items float64
	// Lost is the mean number per host of ended items in chunks that are not
	// completed. Their results are lost with the host.
	Lost float64
	// Chunked is the mean time from the lease of a chunk to its result,
	// computed from the target's rate.
	Chunked time.Duration
}

// measureCost runs hosts at the target's rate per host and counts the
// operations of the platform. The rates returned are scaled up from hosts to
// 300 hosts.
func measureCost(t *testing.T, chunk, hosts int, warmup, duration time.Duration) cost {
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
			gate := newFakeGate(hostSlots)
			runner, stop := startNewRunner(store, delayedEngine{}, gate, fmt.Sprint(i))
			runners = append(runners, runner)
			defer stop()
		}
		defer cancel()
		time.Sleep(warmup)
		before, ended := fake.countsSnapshot(), endedItems(runners)
		time.Sleep(duration)
		after := fake.countsSnapshot()
		rate := func(a, b int) float64 { return float64(b-a) / duration.Seconds() / share }
		result.Writes = rate(before.rowWrites, after.rowWrites)
		result.Commits = rate(before.commits, after.commits)
		result.Reads = rate(before.reads, after.reads)
		result.Puts = rate(before.puts, after.puts)
		result.Gets = rate(before.gets, after.gets)
		result.Items = rate(ended, endedItems(runners))
		for _, runner := range runners {
			result.Lost += float64(runner.endedInHeldChunks()) / float64(hosts)
		}
		slots := targetItems * itemTime.Seconds() / 300
		result.Chunked = time.Duration(float64(chunk) / slots * float64(itemTime))
	})
	return result
}

func (f *fakePlatform) countsSnapshot() operationCounts {
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

// endedInHeldChunks counts the ended items of chunks that are not completed.
func (r *Runner) endedInHeldChunks() int {
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

// feedJobs submits jobs of 50 to 4,750 items at the target's rate times share.
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

func TestOperationRatesStayBelowLimits(t *testing.T) {
	got := measureCost(t, DefaultChunkItems, 30, 2*time.Minute, 4*time.Minute)
	t.Logf("%+v", got)
	require.Greater(t, got.Items, 0.8*targetItems)
	assert.Less(t, got.Writes, 100.0)
	assert.Less(t, got.Puts, 100.0)
	assert.Less(t, got.Reads, 600.0)
}

// TestCostByChunkSize prints a table of the cost by chunk size. It runs only
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

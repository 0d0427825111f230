package scenario

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhload"
)

const (
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
	// fieldUser is the index of the user time after the command's name in
	// /proc/PID/stat; the system time follows it.
	fieldUser = 11

	measured = 10 * time.Second
	warmUp   = 2 * time.Second
)

// BenchmarkOverhead measures in one run what entry and sidecar add to a direct
// call of the same engine at 200 requests a second each, and the processor time
// they need. Run it with -benchtime 1x.
func BenchmarkOverhead(b *testing.B) {
	w := newWorld(b.TempDir())
	defer w.close()
	require.NoError(b, w.launch(plan{entries: 1, sidecars: 1, slots: 256, rate: 1e6, engine: []string{"--token", "2ms"}}))
	kind := bhload.Kind{Class: bhload.ClassStream, Model: "rota", Tokens: 16, Prompt: 1000}
	pair(w, kind, 200, warmUp)
	for b.Loop() {
		before := w.processorTimes(b)
		direct, through := pair(w, kind, 200, measured)
		after := w.processorTimes(b)
		require.True(b, direct.Clean(), "%v", direct.Messages)
		require.True(b, through.Clean(), "%v", through.Messages)
		reportPair(b, direct, through)
		for name := range after {
			used := after[name] - before[name]
			b.ReportMetric(float64(used.Microseconds())/float64(through.All.Sent), name+"-us/request")
		}
	}
}

// BenchmarkTokens measures the processor time of entry and sidecar for each
// token event, with few requests of many tokens.
func BenchmarkTokens(b *testing.B) {
	w := newWorld(b.TempDir())
	defer w.close()
	require.NoError(b, w.launch(plan{entries: 1, sidecars: 1, slots: 256, rate: 1e6, engine: []string{"--token", "10ms"}}))
	config := loadOf(bhload.Kind{Class: bhload.ClassStream, Model: "rota", Tokens: 500, Prompt: 1000}, 20, measured)
	for b.Loop() {
		before := w.processorTimes(b)
		result := bhload.Run(context.Background(), []bhload.Target{{URL: w.url(portEntry)}}, config, nil)
		after := w.processorTimes(b)
		require.True(b, result.Clean(), "%v", result.Messages)
		tokens := float64(result.All.Between.Count + result.All.First.Count)
		b.ReportMetric(tokens/time.Duration(result.Elapsed).Seconds(), "tokens/s")
		for name := range after {
			used := after[name] - before[name]
			b.ReportMetric(float64(used.Microseconds())/tokens, name+"-us/token")
		}
	}
}

// pair loads the engine directly and through the entry at the same time.
func pair(w *world, kind bhload.Kind, rate float64, duration time.Duration) (direct, through bhload.Result) {
	var group sync.WaitGroup
	group.Go(func() {
		direct = bhload.Run(context.Background(), []bhload.Target{{URL: w.url(portSidecar + offsetEngine)}}, loadOf(kind, rate, duration), nil)
	})
	group.Go(func() {
		through = bhload.Run(context.Background(), []bhload.Target{{URL: w.url(portEntry)}}, loadOf(kind, rate, duration), nil)
	})
	group.Wait()
	return direct, through
}

func loadOf(kind bhload.Kind, rate float64, duration time.Duration) bhload.Config {
	return bhload.Config{
		Seed:     1,
		Duration: bhconf.Duration(duration),
		Accounts: []bhload.Account{{Name: "zoo", Key: keyZoo, Rate: rate}},
		Mix:      []bhload.Kind{kind},
	}
}

func reportPair(b *testing.B, direct, through bhload.Result) {
	for _, times := range []struct {
		name            string
		direct, through bhload.Latency
	}{
		{"first", direct.All.First, through.All.First},
		{"total", direct.All.Total, through.All.Total},
	} {
		report := func(percentile string, direct, through bhconf.Duration) {
			name := times.name + "-" + percentile
			added := time.Duration(through - direct)
			b.ReportMetric(float64(time.Duration(direct).Microseconds()), name+"-direct-us")
			b.ReportMetric(float64(added.Microseconds()), name+"-added-us")
			b.ReportMetric(float64(through)/float64(direct), name+"-ratio")
		}
		report("p50", times.direct.P50, times.through.P50)
		report("p99", times.direct.P99, times.through.P99)
	}
}

// processorTimes returns the processor time used so far by the first entry and
// sidecar.
func (w *world) processorTimes(tb testing.TB) map[string]time.Duration {
	tb.Helper()
	times := make(map[string]time.Duration)
	for _, name := range []string{"entry", "sidecar"} {
		pid := w.procs[name+"-1"].command.Process.Pid
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		require.NoError(tb, err)
		fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
		for _, field := range fields[fieldUser : fieldUser+2] {
			ticks, err := strconv.ParseInt(string(field), 10, 64)
			require.NoError(tb, err)
			times[name] += time.Duration(ticks) * time.Second / ticksPerSecond
		}
	}
	return times
}

package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhload"
)

const loadTime = 10 * time.Second

// liveFleet is an entry and a sidecar as processes, with two engines.
type liveFleet struct {
	entry, sidecar *daemon
	url            string
}

func startLiveFleet(b *testing.B) liveFleet {
	config := fleetConfig(1, 1, func(int) string { return startEngine(b) })
	config.Groups[0].Kind = bhconf.KindEngine
	config.Models = []bhconf.Model{{Name: "rota", Version: "1", Group: "svc"}}
	config.Routes = nil
	for i := range config.Upstreams {
		config.Upstreams[i].Slots = 128
	}
	_, url := startPlatform(b, config)
	settings := entrySettings(url)
	fleet := liveFleet{
		sidecar: startDaemon(b, sidecarSettings(url)),
		entry:   startDaemon(b, settings),
		url:     "http://" + settings.Listen,
	}
	awaitReady(b, settings.Admin)
	return fleet
}

// measure reports what entry and sidecar use for a load.
func (f liveFleet) measure(b *testing.B, rate float64, tokens int) {
	config := bhload.Config{
		Seed:     1,
		Duration: bhconf.Duration(loadTime),
		Accounts: []bhload.Account{{Name: "account-0000", Key: keyOf("account-0000"), Rate: rate}},
		Mix:      []bhload.Kind{{Class: bhload.ClassStream, Model: "rota", Tokens: tokens, Prompt: 500}},
	}
	require.NoError(b, config.Check().Err())
	entry, sidecar := f.entry.usage(), f.sidecar.usage()
	result := bhload.Run(context.Background(), []bhload.Target{{URL: f.url}}, config, nil)
	require.True(b, result.Clean(), "%+v %+v", result.All.Verdicts, result.All.Codes)
	requests := float64(result.All.Sent)
	events := float64(result.All.Between.Count) + requests
	entryTime := (f.entry.usage().cpu - entry.cpu).Seconds() * 1e6
	sidecarTime := (f.sidecar.usage().cpu - sidecar.cpu).Seconds() * 1e6
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(requests, "requests")
	b.ReportMetric(events, "events")
	b.ReportMetric(entryTime/requests, "entry-us/request")
	b.ReportMetric(sidecarTime/requests, "sidecar-us/request")
	b.ReportMetric(entryTime/events, "entry-us/event")
	b.ReportMetric(sidecarTime/events, "sidecar-us/event")
}

// BenchmarkRequests measures the processor time of short requests, by rate.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("rate=%v", rate), func(b *testing.B) {
			startLiveFleet(b).measure(b, rate, 1)
		})
	}
}

// BenchmarkTokens measures the processor time of streams, by their length.
func BenchmarkTokens(b *testing.B) {
	for _, tokens := range []int{32, 64, 128, 256} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			startLiveFleet(b).measure(b, 100, tokens)
		})
	}
}

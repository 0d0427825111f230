package capacity

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhentry"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// startEntries runs entries in this process until the benchmark ends.
func startEntries(b *testing.B, platform string, count int) []bhconf.Settings {
	var all []bhconf.Settings
	for i := range count {
		host := fmt.Sprintf("127.79.0.%d", 1+i)
		settings := bhconf.Settings{
			Role: bhconf.RoleEntry, Host: fmt.Sprintf("entry-%02d", i), Centre: "a", Platform: platform,
			Listen: host + ":7000", Link: host + ":7001", Admin: host + ":7002", Secrets: []string{secret},
			Drain: bhconf.Duration(time.Second),
		}
		metrics, err := bhmetric.New("entry", settings.Host)
		require.NoError(b, err)
		client := bhplatform.NewClient(bhplatform.ClientConfig{URL: platform})
		entry := bhentry.New(bhentry.Config{
			Settings: settings, Logger: bhlog.Nop(), Metrics: metrics, Platform: client.Platform(), Incarnation: 1,
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- entry.Run(ctx) }()
		b.Cleanup(func() {
			cancel()
			require.NoError(b, <-ended)
		})
		all = append(all, settings)
	}
	return all
}

func sidecarSettings(platform string) bhconf.Settings {
	return bhconf.Settings{
		Role: bhconf.RoleSidecar, Host: sidecarName(0), Centre: "a", Platform: platform,
		Link: "127.78.0.2:7001", Admin: "127.78.0.2:7002",
	}
}

// BenchmarkSidecarControl measures a sidecar with two engines that runs no
// request, by entries.
func BenchmarkSidecarControl(b *testing.B) {
	for _, entries := range []int{2, 5, 10, 20} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			config := fleetConfig(targetAccounts, 1, func(int) string { return startEngine(b) })
			config.Groups[0].Kind = bhconf.KindEngine
			config.Models = []bhconf.Model{{Name: "rota", Version: "1", Group: "svc"}}
			config.Routes = nil
			platform, url := startPlatform(b, config)
			sidecar := startDaemon(b, sidecarSettings(url))
			for _, settings := range startEntries(b, url, entries) {
				awaitReady(b, settings.Admin)
			}
			time.Sleep(settleTime)
			before := sidecar.usage()
			counts := platform.Counts()
			time.Sleep(sampleTime)
			report(b, before, sidecar.usage())
			reads := platform.Counts().Gets + platform.Counts().Lists - counts.Gets - counts.Lists
			b.ReportMetric(float64(reads)/sampleTime.Seconds(), "reads/s")
		})
	}
}

// startEngine serves a stand-in engine and returns its address.
func startEngine(b *testing.B) string {
	engine := httptest.NewServer(bhstand.NewEngine(bhstand.EngineConfig{Models: map[string]string{"rota": "1"}, Slots: 128}))
	b.Cleanup(engine.Close)
	return strings.TrimPrefix(engine.URL, "http://")
}

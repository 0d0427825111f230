package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

func entrySettings(platform string) bhconf.Settings {
	return bhconf.Settings{
		Role: bhconf.RoleEntry, Host: "entry-1", Centre: "a", Platform: platform,
		Listen: "127.78.0.1:7000", Link: "127.78.0.1:7001", Admin: "127.78.0.1:7002",
	}
}

// BenchmarkEntryControl measures an entry that serves no request, by sidecars.
func BenchmarkEntryControl(b *testing.B) {
	for _, sidecars := range []int{40, 80, 160, 320} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) {
			platform, url := startPlatform(b, fleetConfig(targetAccounts, sidecars, nobody))
			startFakeSidecars(b, platform, sidecars)
			settings := entrySettings(url)
			entry := startDaemon(b, settings)
			awaitReady(b, settings.Admin)
			time.Sleep(settleTime)
			counts, before := platform.Counts(), entry.usage()
			time.Sleep(sampleTime)
			after := entry.usage()
			report(b, before, after)
			reads := platform.Counts().Gets + platform.Counts().Lists - counts.Gets - counts.Lists
			b.ReportMetric(float64(reads)/sampleTime.Seconds(), "reads/s")
			b.ReportMetric(float64(platform.Counts().Rows-counts.Rows)/sampleTime.Seconds(), "writes/s")
		})
	}
}

// BenchmarkEntryAccounts measures an entry's memory by client accounts.
func BenchmarkEntryAccounts(b *testing.B) {
	for _, accounts := range []int{175, 350, 700, 1400} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			platform, url := startPlatform(b, fleetConfig(accounts, 1, nobody))
			startFakeSidecars(b, platform, 1)
			settings := entrySettings(url)
			entry := startDaemon(b, settings)
			awaitReady(b, settings.Admin)
			time.Sleep(settleTime)
			before := entry.usage()
			time.Sleep(settleTime)
			report(b, before, entry.usage())
		})
	}
}

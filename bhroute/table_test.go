package bhroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

func newTestTable(upstreams int) *Table {
	table := NewTable(Config{Centre: "a", Random: rand.New(rand.NewPCG(1, 2))})
	for i := range upstreams {
		table.ApplyReport(testReport(i))
	}
	return table
}

func testReport(i int) Report {
	name := fmt.Sprintf("u%02d", i)
	return Report{Upstream: name, Host: "h" + name, Group: "g", Centre: "a", Slots: 8, Serving: true}
}

func TestPickFiltersCandidates(t *testing.T) {
	leaving := testReport(1)
	leaving.Serving = false
	other := testReport(2)
	other.Group = "other"
	model := testReport(3)
	model.Models = []string{"m"}
	table := NewTable(Config{})
	for _, r := range []Report{leaving, other, model} {
		table.ApplyReport(r)
	}
	cases := []struct {
		name    string
		request Request
		choice  string
		code    bhcode.Code
	}{
		{"model served", Request{Group: "g", Model: "m"}, "u03", bhcode.OK},
		{"model missing", Request{Group: "g", Model: "n"}, "", bhcode.NoUpstream},
		{"excluded", Request{Group: "g", Model: "m", Exclude: []string{"u03"}}, "", bhcode.NoUpstream},
		{"any model", Request{Group: "other", Model: "n"}, "u02", bhcode.OK},
		{"unknown group", Request{Group: "x"}, "", bhcode.NoUpstream},
	}
	for _, c := range cases {
		choice, err := table.Pick(c.request)
		require.Equal(t, c.choice, choice.Upstream, c.name)
		require.Equal(t, c.code != bhcode.OK, err != nil, c.name)
		require.True(t, err == nil || bhcode.Is(err, c.code), c.name)
	}
}

func TestReportsAreCorrectedByWorkSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(4)
		time.Sleep(time.Second)
		request := Request{Group: "g", Work: 100}
		sent := make(map[string]int)
		for range 32 {
			choice, err := table.Pick(request)
			require.NoError(t, err)
			table.Sent(choice.Upstream, request)
			sent[choice.Upstream]++
		}
		for upstream, n := range sent {
			require.LessOrEqual(t, n, 11, "%s before its next report", upstream)
		}
	})
}

func TestReportReplacesCorrections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(1)
		request := Request{Group: "g", Work: 80}
		work := func() float64 { return table.Candidates(request)[0].Work }
		table.Sent("u00", request)
		require.InDelta(t, 10, work(), 0.01)
		time.Sleep(time.Second)
		r := testReport(0)
		r.Work, r.Running = 80, 1
		table.ApplyReport(r)
		require.InDelta(t, 10, work(), 0.01)
		table.Finished("u00", request, Succeeded)
		require.InDelta(t, 0, work(), 0.01)
		time.Sleep(time.Second)
		table.ApplyReport(testReport(0))
		require.InDelta(t, 0, work(), 0.01)
		require.Zero(t, table.Candidates(request)[0].Active)
	})
}

func TestPrefixHolderIsChosenUntilItIsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(6)
		r := testReport(3)
		prefix := []uint64{1, 2, 3, 4}
		r.Cached = prefix
		table.ApplyReport(r)
		request := Request{Group: "g", Prefix: prefix, Work: 10}
		choice, err := table.Pick(request)
		require.NoError(t, err)
		require.Equal(t, Choice{"u03", "hu03", ReasonPrefix, choice.Alternatives}, choice)
		r.Cached, r.Work, r.Running = nil, 10_000, 8
		table.ApplyReport(r)
		choice, err = table.Pick(request)
		require.NoError(t, err)
		require.Equal(t, ReasonLoad, choice.Reason)
		require.NotEqual(t, "u03", choice.Upstream)
	})
}

func TestTrustInPrefixFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPrefixEstimate(DefaultMaxPrefixBlocks)
		prefix := []uint64{1, 2, 3}
		p.Cached(time.Now(), prefix)
		require.InDelta(t, 3, p.ExpectedHits(time.Now(), prefix), 0.01)
		p.Gap(time.Now())
		require.InDelta(t, 3*GapConfidenceFactor, p.ExpectedHits(time.Now(), prefix), 0.01)
		time.Sleep(ConfidenceHalfLife)
		require.InDelta(t, 3*GapConfidenceFactor/2, p.ExpectedHits(time.Now(), prefix), 0.01)
		p.Evicted([]uint64{2})
		require.InDelta(t, GapConfidenceFactor/2, p.ExpectedHits(time.Now(), prefix), 0.01)
		p.Gap(time.Now())
		p.Gap(time.Now())
		require.Zero(t, p.Len(), "blocks without trust are forgotten")
	})
}

func TestPrefixesAreBounded(t *testing.T) {
	p := NewPrefixEstimate(DefaultMaxPrefixBlocks)
	now := time.Now()
	for i := range uint64(DefaultMaxPrefixBlocks + 100) {
		p.Cached(now, []uint64{i})
	}
	require.LessOrEqual(t, p.Len(), DefaultMaxPrefixBlocks)
}

func TestNearCentreIsPreferredAtEqualLoad(t *testing.T) {
	table := newTestTable(2)
	far := testReport(0)
	far.Centre = "b"
	table.ApplyReport(far)
	for range 20 {
		choice, err := table.Pick(Request{Group: "g"})
		require.NoError(t, err)
		require.Equal(t, "u01", choice.Upstream)
	}
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(1)
		request := Request{Group: "g"}
		for range BreakerFailureThreshold {
			table.Sent("u00", request)
			table.Finished("u00", request, Failed)
		}
		_, err := table.Pick(request)
		require.True(t, bhcode.Is(err, bhcode.BreakerOpen), "%v", err)
		time.Sleep(InitialBreakerOpen)
		_, err = table.Pick(request)
		require.NoError(t, err, "half-open lets one probe through")
		table.Sent("u00", request)
		_, err = table.Pick(request)
		require.True(t, bhcode.Is(err, bhcode.BreakerOpen), "one probe at a time")
		table.Finished("u00", request, Failed)
		time.Sleep(InitialBreakerOpen)
		_, err = table.Pick(request)
		require.True(t, bhcode.Is(err, bhcode.BreakerOpen), "open for twice as long")
		time.Sleep(InitialBreakerOpen)
		table.Sent("u00", request)
		table.Finished("u00", request, Succeeded)
		_, err = table.Pick(request)
		require.NoError(t, err)
	})
}

func TestLostHostIsNotChosen(t *testing.T) {
	table := newTestTable(2)
	table.RemoveHost("hu00")
	for range 20 {
		choice, err := table.Pick(Request{Group: "g"})
		require.NoError(t, err)
		require.Equal(t, "u01", choice.Upstream)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budgets := NewRetryBudgets()
		requests := rapid.IntRange(0, 500).Draw(t, "requests")
		retries := 0
		for range requests {
			budgets.RecordRequest("r")
			for budgets.AllowRetry("r") {
				retries++
			}
		}
		require.LessOrEqual(t, float64(retries), MaxRetryTokens+RetryTokensPerRequest*float64(requests)+1)
		require.True(t, budgets.AllowRetry("other"), "budgets are separate")
	})
}

// TestPickProperties drives a table with random events: whatever was reported,
// sent and lost, a choice serves the request and estimates aren't negative.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Centre: "a"})
		known := make(map[string]Report)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := testReport(rapid.IntRange(0, 5).Draw(t, "upstream"))
			request := Request{Group: "g", Work: rapid.Int64Range(0, 1000).Draw(t, "work"), Prefix: []uint64{1, 2}}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				r.Serving = rapid.Bool().Draw(t, "serving")
				r.Work = rapid.Int64Range(0, 5000).Draw(t, "reported")
				r.Gap = rapid.Bool().Draw(t, "gap")
				r.Cached = []uint64{1, 2}
				table.ApplyReport(r)
				known[r.Upstream] = r
			case 1:
				table.RemoveHost(r.Host)
				delete(known, r.Upstream)
			case 2:
				table.Sent(r.Upstream, request)
			case 3:
				table.Finished(r.Upstream, request, rapid.SampledFrom([]Outcome{Succeeded, Failed, Neutral}).Draw(t, "outcome"))
			case 4:
				request.Exclude = []string{"u00"}
				choice, err := table.Pick(request)
				if err != nil {
					continue
				}
				require.True(t, known[choice.Upstream].Serving)
				require.NotEqual(t, "u00", choice.Upstream)
			}
			for _, o := range table.Candidates(request) {
				require.GreaterOrEqual(t, o.Work, 0.0)
				require.GreaterOrEqual(t, o.Active, 0)
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	table := newTestTable(300)
	prefix := make([]uint64, 64)
	for i := range prefix {
		prefix[i] = uint64(i)
	}
	for i := range 30 {
		r := testReport(i)
		r.Cached = prefix
		table.ApplyReport(r)
	}
	request := Request{Group: "g", Prefix: prefix, Work: 100}
	for b.Loop() {
		if _, err := table.Pick(request); err != nil {
			b.Fatal(err)
		}
	}
}

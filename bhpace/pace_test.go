package bhpace

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	draws "gonum.org/v1/plot/vg/draw"
)

// named is a policy of the comparison.
type named struct {
	name   string
	choose func(*Pacer) policy
	rise   float64
}

func stepAside(p *Pacer) policy { return aside{p} }

func others() []named {
	return []named{
		{"no batch", func(*Pacer) policy { return share{0} }, 0},
		{"equal priority", func(*Pacer) policy { return share{simSlots} }, 0},
		{"fixed share 1/4", func(*Pacer) policy { return share{simSlots / 4} }, 0},
		{"fixed share 1/2", func(*Pacer) policy { return share{simSlots / 2} }, 0},
		{"by workload (paper)", func(*Pacer) policy { return &adaptive{} }, 0},
	}
}

// point is one policy's outcome against that without batch.
type point struct {
	pattern, name  string
	rise           float64
	first, between float64
	outcome
}

func measure(p pattern, list []named, span time.Duration) []point {
	none := simulate(p, others()[0], span)
	points := make([]point, 0, len(list))
	for _, n := range list {
		got := simulate(p, n, span)
		points = append(points, point{
			pattern: p.name, name: n.name, rise: n.rise, outcome: got,
			first: float64(got.first) / float64(none.first), between: float64(got.between) / float64(none.between),
		})
	}
	return points
}

// Target of issue 5 for the step-aside scheme, as ratios to the run without
// batch and as a part of the capacity that live requests left.
const (
	targetFirst   = 1.1
	targetBetween = 1.05
	targetUsed    = 0.9
)

func checkTarget(t *testing.T, name string) {
	i := slices.IndexFunc(patterns, func(p pattern) bool { return p.name == name })
	got := measure(patterns[i], []named{{"step aside", stepAside, 0.1}}, wholeSpan)[0]
	assert.LessOrEqual(t, got.first, targetFirst, "first token")
	assert.LessOrEqual(t, got.between, targetBetween, "between tokens")
	assert.GreaterOrEqual(t, got.used, targetUsed, "capacity used")
}

func TestStepAsideTargetBursty(t *testing.T) { checkTarget(t, "bursty") }

func TestStepAsideTargetCalm(t *testing.T) { checkTarget(t, "calm") }

func TestStepAsideTargetEvening(t *testing.T) { checkTarget(t, "evening") }

// TestStepAsideHarmsLessThanTheComparisons holds the scheme against the ways
// that were weighed, on the same arrivals.
func TestStepAsideHarmsLessThanTheComparisons(t *testing.T) {
	for _, p := range patterns {
		points := measure(p, append(others()[1:], named{"step aside", stepAside, 0.05}), wholeSpan)
		own := points[len(points)-1]
		for _, other := range points[:len(points)-1] {
			assert.Less(t, own.first, other.first, "%s: first token against %s", p.name, other.name)
		}
	}
}

// TestTradeOff prints the whole trade-off and draws it into docs. It is run by
// hand, with BAOBAB_MEASURE=1.
func TestTradeOff(t *testing.T) {
	if os.Getenv("BAOBAB_MEASURE") == "" {
		t.Skip("writes docs/batch-tradeoff.svg")
	}
	list := others()
	for _, rise := range []float64{0.01, 0.02, 0.03, 0.05, 0.07, 0.1, 0.2} {
		list = append(list, named{"step aside", stepAside, rise})
	}
	var all []point
	for _, p := range patterns {
		all = append(all, measure(p, list, wholeSpan)...)
	}
	for _, p := range all {
		t.Logf("| %s | %s | %.2f | %s | %.2f | %s | %.2f | %.2f | %.0f |", p.pattern, p.name, p.rise,
			p.outcome.first.Round(time.Millisecond), p.first,
			p.outcome.between.Round(100*time.Microsecond), p.between, p.used, p.tokens)
	}
	require.NoError(t, draw(all, "../docs/batch-tradeoff.svg"))
}

// draw plots the first-token ratio against the capacity used.
func draw(points []point, file string) error {
	chart := plot.New()
	chart.Title.Text = "Batch work against the harm to live requests"
	chart.X.Label.Text = "part used of the capacity that live requests left"
	chart.Y.Label.Text = "99th percentile to the first token, against no batch"
	chart.Y.Scale = plot.LogScale{}
	chart.Y.Tick.Marker = plot.LogTicks{}
	chart.Legend.Top = true
	chart.Legend.Left = true
	curves := map[string]plotter.XYs{}
	for _, p := range points {
		name := p.pattern + ": others"
		if p.name == "step aside" {
			name = p.pattern + ": step aside"
		}
		curves[name] = append(curves[name], plotter.XY{X: p.used, Y: p.first})
	}
	for i, name := range slices.Sorted(maps.Keys(curves)) {
		if strings.HasSuffix(name, "aside") {
			line, marks, err := plotter.NewLinePoints(curves[name])
			if err != nil {
				return err
			}
			line.Color, marks.Color = plotutil.Color(i/2), plotutil.Color(i/2)
			chart.Add(line, marks)
			chart.Legend.Add(name, line, marks)
			continue
		}
		marks, err := plotter.NewScatter(curves[name])
		if err != nil {
			return err
		}
		marks.Color, marks.Shape = plotutil.Color(i/2), draws.CrossGlyph{}
		chart.Add(marks)
		chart.Legend.Add(name, marks)
	}
	return chart.Save(18*vg.Centimeter, 12*vg.Centimeter, file)
}

// TestBatchFillsAnEngineThatItDoesNotSlow: an engine whose tokens come as fast
// with many requests as with few is no reason to hold batch items back.
func TestBatchFillsAnEngineThatItDoesNotSlow(t *testing.T) {
	pacer := New(Config{Slots: 32})
	pacer.Arrive()
	pacer.First()
	assert.Equal(t, 4, pacer.Limit(), "nothing is learned yet")
	for i := range 2000 {
		pacer.Observe(10*time.Millisecond, i%4)
	}
	assert.Equal(t, 31, pacer.Limit())
}

func TestNothingStartsWhileALiveRequestWaits(t *testing.T) {
	pacer := New(Config{Slots: 8})
	require.True(t, pacer.MayStart(0))
	pacer.Arrive()
	assert.False(t, pacer.MayStart(0))
	pacer.First()
	assert.True(t, pacer.MayStart(0))
	pacer.BatchStart()
	assert.False(t, pacer.MayStart(0), "one prompt at a time")
	pacer.BatchFirst()
	assert.True(t, pacer.MayStart(0))
	pacer.Leave(true)
	assert.Equal(t, 8, pacer.Limit())
}

package bhhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPollIntervalFollowsTheBoundsOnChanges(t *testing.T) {
	for _, c := range []struct {
		name                           string
		propagation, drain, evacuation time.Duration
		want                           time.Duration
	}{
		{"all", 3 * time.Second, 2400 * time.Millisecond, 5 * time.Second, 400 * time.Millisecond},
		{"the evacuation is the shortest", 3 * time.Second, 2400 * time.Millisecond, 1200 * time.Millisecond, 200 * time.Millisecond},
		{"drain unknown", 3 * time.Second, 0, 0, 500 * time.Millisecond},
		{"propagation unknown", 0, 3 * time.Second, 0, 500 * time.Millisecond},
		{"only the evacuation", 0, 0, 3 * time.Second, 500 * time.Millisecond},
		{"none", 0, 0, 0, 0},
		{"a long bound", time.Minute, time.Minute, time.Minute, maxPollInterval},
	} {
		settings := Settings{Propagation: c.propagation, UpstreamDrain: c.drain, Evacuation: c.evacuation}
		assert.Equal(t, c.want, settings.PollInterval(6), c.name)
	}
}

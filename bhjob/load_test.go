package bhjob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLoadCountsAnnouncedRequestsUntilTheReportShowsThem(t *testing.T) {
	var l load
	l.take(LoadReport{Running: 5, Waiting: 1}, 2, 100*time.Millisecond)
	assert.Equal(t, 4, l.live())
	l.reserve(110 * time.Millisecond)
	l.reserve(135 * time.Millisecond)
	assert.Equal(t, 6, l.live())
	l.take(LoadReport{Running: 6, Waiting: 1}, 2, 140*time.Millisecond)
	assert.Equal(t, 1, l.reserved(), "the later one may still be on its way")
	assert.Equal(t, 6, l.live())
	l.take(LoadReport{Running: 1}, 3, 180*time.Millisecond)
	assert.Zero(t, l.live(), "items that the report doesn't show yet are no live requests")
}

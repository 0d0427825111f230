package bhhost

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNewHolderDiffersAtEachStart(t *testing.T) {
	first, second := NewHolder("side.zone-1"), NewHolder("side.zone-1")
	assert.NotEqual(t, first, second)
	assert.Equal(t, "side.zone-1", HostOf(first))
	assert.Equal(t, "side.zone-1", HostOf(second))
	assert.Equal(t, "plain", HostOf("plain"))
}

package bhhost

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestHoldersOfAHostDiffer(t *testing.T) {
	one, two := NewHolder("side.zone-1"), NewHolder("side.zone-1")
	assert.NotEqual(t, one, two)
	assert.Equal(t, "side.zone-1", HostOf(one))
	assert.Equal(t, "side.zone-1", HostOf(two))
	assert.Equal(t, "plain", HostOf("plain"))
}

package bhspool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSharesNeverExceedTheirPool(t *testing.T) {
	const total, own = 1000, 10
	rapid.Check(t, func(t *rapid.T) {
		pool := NewPool(total)
		shares := make([]*Share, 5)
		sizes := make([]int64, len(shares))
		for i := range shares {
			shares[i] = pool.Open(own)
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(shares)-1).Draw(t, "share")
			size := rapid.Int64Range(0, 2*total).Draw(t, "size")
			before := int64(0)
			for j, other := range sizes {
				if j != i {
					before += max(0, other-own)
				}
			}
			granted := shares[i].Resize(size)
			require.Equal(t, before+max(0, size-own) <= total, granted)
			if granted {
				sizes[i] = size
			}
		}
		for _, share := range shares {
			share.Close()
			share.Close()
		}
		require.True(t, pool.Open(own).Resize(total+own), "all is returned")
	})
}

func TestOwnPartNeedsNoPool(t *testing.T) {
	share := NewPool(0).Open(10)
	assert.True(t, share.Resize(10))
	assert.False(t, share.Resize(11))
}

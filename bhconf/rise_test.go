package bhconf

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRiseIsAShare(t *testing.T) {
	for rise, good := range map[float64]bool{0: true, 0.05: true, 1: true, -0.1: false, 1.1: false, math.NaN(): false} {
		config := Config{Format: Format, Groups: []Group{{Name: "rota", Kind: KindEngine, Rise: rise}}}
		assert.Equal(t, good, config.Check() == nil, "%v", rise)
	}
}

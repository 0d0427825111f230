package bhconf

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRiseMustBeFromZeroToOne(t *testing.T) {
	for rise, valid := range map[float64]bool{0: true, 0.05: true, 1: true, -0.1: false, 1.1: false, math.NaN(): false} {
		config := Config{Format: Format, Groups: []Group{{Name: "rota", Kind: KindEngine, Rise: rise}}}
		assert.Equal(t, valid, config.Check() == nil, "%v", rise)
	}
}

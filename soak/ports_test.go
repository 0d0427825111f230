package soak

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPortsOfProcessesDontMix(t *testing.T) {
	const processes, each = 16, 4
	var mu sync.Mutex
	var group sync.WaitGroup
	taken := make(map[int]bool)
	for range processes {
		group.Go(func() {
			ports := freePorts(t, each)
			mu.Lock()
			defer mu.Unlock()
			for i, port := range ports {
				assert.Equal(t, ports[0]+i, port)
				assert.False(t, taken[port])
				taken[port] = true
			}
		})
	}
	group.Wait()
	assert.Len(t, taken, processes*each)
}

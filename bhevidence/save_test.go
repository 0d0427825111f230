package bhevidence

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// Guards against one upstream whose ID makes the name of a record too long, for which the store
// refuses the evidence of all others.
func TestEvidenceWithTooLongANameCostsItselfAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		f := newTestFleet(t, 1, store)
		defer f.stop()
		registry := f.processes[0].registry
		for _, upstream := range []string{strings.Repeat("i", bhplatform.MaxNameBytes), "i-1"} {
			permit, err := registry.Admit(context.Background(), lethal)
			require.NoError(t, err)
			registry.Lost(context.Background(), Loss{Traits: lethal, Upstream: bhcrash.Source{Host: upstream}, SentAt: time.Now(), Permit: permit})
		}
		time.Sleep(2 * syncInterval)
		saved := store.Records(evidenceTable)
		assert.NotEmpty(t, saved)
		for name := range saved {
			assert.Contains(t, name, "/i-1/")
		}
	})
}

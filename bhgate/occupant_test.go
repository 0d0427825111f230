package bhgate

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// TestAnswerOfAnotherUpstreamIsRecorded guards against requests that are sent again and again to an
// entry with the address of another upstream, and against one that is passed over though it was
// there: it answers 421 itself to what it can't run.
func TestAnswerOfAnotherUpstreamIsRecorded(t *testing.T) {
	for occupant, want := range map[string][]string{"i-9": {"i-0 is i-9"}, "": {"i-0 is "}, "i-0": nil} {
		u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Occupant", occupant)
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, u)
		assert.Equal(t, http.StatusServiceUnavailable, g.status(g.request("/a/x", withID("r1"))))
		g.policies.update(func(p *fakePolicies) { assert.Equal(t, want, p.occupants, occupant) })
		_ = g.status(g.request("/a/x", withID("r2")))
		assert.Equal(t, occupant == "i-0", u.count() == 2, occupant)
	}
}

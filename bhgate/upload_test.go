package bhgate

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// TestLongUploadIsNoSilenceOfTheUpstream guards against a request with a large body that is cut at an
// upstream, sent again and refused at last, because the upstream can't answer while it reads.
func TestLongUploadIsNoSilenceOfTheUpstream(t *testing.T) {
	u := &fakeUpstream{handler: func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = fmt.Fprint(w, "done") }}
	u.server = httptest.NewUnstartedServer(u)
	u.server.Listener = bhstand.Link{Listener: u.server.Listener, Rate: 4 << 20}
	u.server.Start()
	t.Cleanup(u.server.Close)
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe, LatencyObjective: 300 * time.Millisecond, MaxAttempts: 3}, u)
	const size = 8 << 20
	g.policies.update(func(p *fakePolicies) { p.view.Index.Policy.Limits.BodyBytes = size })
	response, body, err := g.do(g.request("/a/x", withDeadline(20*time.Second), func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), size
	}))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "done", body)
	assert.Equal(t, 1, u.count())
}

package bhcrash

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestDigestsTellContentsApart guards against requests of one account that are refused
// because of another's, and against contents that look alike when their fields are joined.
func TestDigestsTellContentsApart(t *testing.T) {
	contents := []Content{
		{Account: "zoo", Method: "POST", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "farm", Method: "POST", Host: "h", Target: "/x", Body: []byte("b")},
		{Method: "POST", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "zoo", Method: "GET", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "zoo", Method: "POST", Host: "h", Target: "/xb"},
		{Account: "zooPOST", Host: "h", Target: "/x", Body: []byte("b")},
	}
	seen := make(map[string]Content)
	for _, content := range contents {
		content.Parts = []string{"p", "q"}
		traits := content.Traits()
		assert.False(t, isPart(traits.Content))
		assert.NotContains(t, seen, traits.Content, "%+v", content)
		seen[traits.Content] = content
		for _, part := range traits.Parts {
			assert.True(t, isPart(part))
			if other, ok := seen[part]; ok {
				assert.Equal(t, other.Account, content.Account, "a part of another account")
			}
			seen[part] = content
		}
	}
	assert.Len(t, Content{Parts: make([]string, 100)}.Traits().Parts, maxParts)
}

// TestLossesAreBounded guards against a ledger that grows with the upstreams that end.
func TestLossesAreBounded(t *testing.T) {
	l := NewLedger()
	for i := range maxEnds + 10 {
		l.RecordLoss(Source{Host: fmt.Sprint("i-", i)}, "d", NotTested)
	}
	assert.Len(t, l.ends, maxEnds)
	assert.Len(t, l.histories["d"].bySource, maxSources)
	assert.Equal(t, Quarantined, l.DecideAlone("d", time.Time{}).Status)
}

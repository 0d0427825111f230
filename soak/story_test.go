package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// storyTime is how long a test waits for what a busy machine delays.
const storyTime = 30 * time.Second

// TestStoriesOfFailedRequests finds the causes that docs/OPERATIONS.md tells, from
// the id alone, in the logs of real processes.
func TestStoriesOfFailedRequests(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	c := newClient(w, "c", 1)
	try := func(id, tenant, path, body string) (int, bool) {
		status, _, _, whole := c.do(http.MethodPost, w.fronts[0], path, id, w.key(tenant), body)
		return status, whole
	}
	require.Eventually(t, func() bool {
		status, _ := try("ready", "zoo", "/safe/x", "body")
		return status == http.StatusOK
	}, storyTime, 50*time.Millisecond)

	refused := ""
	for i := 0; refused == "" && i < 1000; i++ {
		id := fmt.Sprint("r", i)
		if status, _ := try(id, "small", "/safe/x", "body"); status == http.StatusTooManyRequests {
			refused = id
		}
	}
	require.NotEmpty(t, refused, "nothing is refused")
	status, whole := try("broken", "zoo", "/stream/x", "break")
	require.Equal(t, http.StatusOK, status)
	require.False(t, whole)
	items, err := json.Marshal(map[string]any{"items": []map[string]any{{"id": "item", "path": "/jobs/item", "body": []byte("poison"), "tokens": 10}}})
	require.NoError(t, err)
	require.True(t, c.submit(t.Context(), "job", "zoo", string(items)))
	require.Eventually(t, func() bool {
		_, _, answer, _ := c.do(http.MethodGet, w.fronts[0], "/lots/job?after=0", "read", w.key("zoo"), "")
		return strings.Contains(answer, "dead_lettered")
	}, storyTime, 50*time.Millisecond)

	assertInOrder(t, w.story(t, refused), "quota.refused account=small rate=15", "status=429", "client account small is over its rate")
	assertInOrder(t, w.story(t, "broken"), "request.broken", "upstream=i-0", "stream of upstream i-0")
	assertInOrder(t, w.story(t, "item"), "gateway-0 job.accepted job=job", "runner-0 item.claimed item=item", "the engine rejected the item for good")
}

// story returns what the program tells of the id, once the logs hold it.
func (w *world) story(t *testing.T, id string) string {
	arguments := []string{"story", id}
	for _, p := range w.processes {
		arguments = append(arguments, p.log.Name())
	}
	var output []byte
	require.Eventually(t, func() bool {
		var err error
		output, err = exec.Command(program, arguments...).Output()
		return err == nil
	}, storyTime, 100*time.Millisecond)
	return string(output)
}

func assertInOrder(t *testing.T, text string, parts ...string) {
	t.Helper()
	rest := text
	for _, part := range parts {
		_, after, found := strings.Cut(rest, part)
		assert.True(t, found, "%q is missing in order from:\n%s", part, text)
		rest = after
	}
}

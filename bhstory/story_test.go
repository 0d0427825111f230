package bhstory

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const gatewayLog = `
goroutine 1 [running]:
level=info ts=2026-01-01T00:00:00.5Z event=policy.inforce version=3
level=warn ts=2026-01-01T00:00:06Z event=platform.lost proof_age=1.5s err="status 503: try \"later\""
level=info ts=2026-01-01T00:00:07Z event=quota.refused account=other bucket=0
level=info ts=2026-01-01T00:00:07.1Z event=quota.refused account=zoo bucket=0
level=warn ts=2026-01-01T00:00:07.2Z event=request.failed request=r1 route=a account=zoo status=429 err="rate_exceeded (1006)"
level=info ts=2026-01-01T00:00:08Z event=job.accepted job=j1 account=zoo
level=info ts=2026-01-01T00:00:09Z event=policy.inforce version=4
level=info ts=yesterday event=request.done request=r1
`

const runnerLog = `
12.5 side-1 level=info ts=2026-01-01T00:00:08.5Z event=item.claimed item=i1 job=j1
12.6 side-1 level=info ts=2026-01-01T00:00:08.6Z event=item.claimed item=i2 job=j1
12.7 side-1 level=info ts=2026-01-01T00:00:08.7Z event=engine.lost address=x
13.0 side-1 level=info ts=2026-01-01T00:00:09.5Z event=item.ended item=i1 job=j1 reason="rejected for good"
`

func readTestLogs(t *testing.T) []Line {
	gateway, skipped, err := Read(strings.NewReader(gatewayLog), "gateway")
	require.NoError(t, err)
	assert.Equal(t, 3, skipped, "an empty line, a stack trace line and a line with an invalid time")
	runner, skipped, err := Read(strings.NewReader(runnerLog), "runner")
	require.NoError(t, err)
	assert.Equal(t, 1, skipped)
	return append(runner, gateway...)
}

// summarize returns one string per line: process, event, and the version,
// account and item. A leading dot marks context lines, those with Own false.
func summarize(lines []Line) []string {
	var result []string
	for _, line := range lines {
		mark := "."
		if line.Own {
			mark = ""
		}
		result = append(result, mark+line.Process+" "+line.Event+" "+line.Get("version")+line.Get("account")+line.Get("item"))
	}
	return result
}

func TestTellIncludesContextOfRefusedRequest(t *testing.T) {
	story := Tell(readTestLogs(t), "r1", 5*time.Second)
	assert.Equal(t, []string{".gateway platform.lost ", ".gateway quota.refused zoo", "gateway request.failed zoo"}, summarize(story))
	assert.Equal(t, `status 503: try "later"`, story[0].Get("err"))
	assert.Len(t, Tell(readTestLogs(t), "r1", 10*time.Second), 4, "a longer period before the first line adds policy.inforce")
	assert.Len(t, Tell(readTestLogs(t), "r1", 0), 1)
}

func TestTellIncludesJobLinesOfItem(t *testing.T) {
	story := Tell(readTestLogs(t), "i1", 5*time.Second)
	assert.Equal(t, []string{"gateway job.accepted zoo", "side-1 item.claimed i1", ".side-1 engine.lost ", "side-1 item.ended i1"}, summarize(story))
	assert.Equal(t, "rejected for good", story[3].Get("reason"))
}

func TestTellReturnsNothingForUnknownID(t *testing.T) {
	assert.Empty(t, Tell(readTestLogs(t), "r2", time.Hour))
}

func FuzzRead(f *testing.F) {
	f.Add("a b level=info ts=2026-01-01T00:00:08.5Z event=x y=\"z")
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := Read(strings.NewReader(text), "p")
		if err != nil {
			return
		}
		for _, line := range lines {
			if line.Event == "" || line.Time.IsZero() || line.Process == "" {
				t.Errorf("%q gives %+v", text, line)
			}
		}
	})
}

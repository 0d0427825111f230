package bhcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstory"
)

const storyLog = `level=info ts=2026-01-01T00:00:07Z event=request.done request=r1 status=200
level=info ts=2026-01-01T00:00:08Z event=request.done request=r2 status=200
no event
`

func story(input string, arguments ...string) (code int, out, err string) {
	var output, problems bytes.Buffer
	code = Main(context.Background(), append([]string{"baobab", "story"}, arguments...), Streams{In: strings.NewReader(input), Out: &output, Err: &problems})
	return code, output.String(), problems.String()
}

func TestStoryPrintsTheLinesOfOneRequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway-1.log")
	require.NoError(t, os.WriteFile(path, []byte(storyLog), 0o600))
	code, out, problems := story("", "r1", path)
	assert.Equal(t, ExitOK, code)
	assert.Equal(t, "  00:00:07.000 gateway-1 request.done request=r1 status=200\n", out)
	assert.Equal(t, "1 lines hold no event\n", problems)

	code, out, _ = story(storyLog, "--json", "r2")
	assert.Equal(t, ExitOK, code)
	var lines []bhstory.Line
	require.NoError(t, json.Unmarshal([]byte(out), &lines))
	require.Len(t, lines, 1)
	assert.Equal(t, "r2", lines[0].Get("request"))
}

func TestStoryReportsWhatIsWrong(t *testing.T) {
	code, _, problems := story(storyLog)
	assert.Equal(t, ExitUsage, code)
	assert.Contains(t, problems, "takes an ID")
	code, _, problems = story(storyLog, "r3")
	assert.Equal(t, ExitFailure, code)
	assert.Contains(t, problems, `none of 2 lines names "r3"`)
	code, _, problems = story("", "r1", "/nowhere/gateway.log")
	assert.Equal(t, ExitFailure, code)
	assert.Contains(t, problems, "no such file")
	code, _, _ = story("", "--around", "-1s", "r1")
	assert.Equal(t, ExitUsage, code)
}

package bhcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

func run(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	streams := Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr}
	code = Main(context.Background(), append([]string{"baobab"}, args...), streams)
	return code, stdout.String(), stderr.String()
}

func TestExitCodes(t *testing.T) {
	for name, test := range map[string]struct {
		args []string
		want int
	}{
		"version":            {[]string{"version"}, ExitOK},
		"version flag":       {[]string{"--version"}, ExitOK},
		"help":               {[]string{"--help"}, ExitOK},
		"no command":         {nil, ExitOK},
		"unknown command":    {[]string{"nonsense"}, ExitUsage},
		"unknown subcommand": {[]string{"stand", "nonsense"}, ExitUsage},
		"unknown flag":       {[]string{"version", "--nonsense"}, ExitUsage},
		"bad flag value":     {[]string{"stand", "platform", "--lag", "soon"}, ExitUsage},
		"unexpected":         {[]string{"version", "now"}, ExitUsage},
		"bad address":        {[]string{"stand", "plain", "--listen", "127.0.0.1:port"}, ExitFailure},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, errs := run(t, test.args...)
			assert.Equal(t, test.want, code)
			assert.Equal(t, test.want == ExitOK, errs == "", errs)
		})
	}
}

func TestVersionAsJSON(t *testing.T) {
	_, out, _ := run(t, "version", "--json")
	var reply VersionReply
	require.NoError(t, json.Unmarshal([]byte(out), &reply))
	assert.Equal(t, Version, reply.Version)
}

func TestCompletion(t *testing.T) {
	code, out, _ := run(t, "completion", "bash")
	assert.Equal(t, ExitOK, code)
	assert.Contains(t, out, "baobab")
}

// Every command explains itself and shows an example.
func TestEachCommandHasUsageAndExamples(t *testing.T) {
	var walk func(command *cli.Command)
	walk = func(command *cli.Command) {
		for _, child := range command.Commands {
			if child.Name == "help" || child.Name == "completion" {
				continue
			}
			assert.NotEmpty(t, child.Usage, child.Name)
			assert.Contains(t, child.Description, "$ baobab", child.Name)
			walk(child)
		}
	}
	walk(NewRoot(&Factory{}))
}

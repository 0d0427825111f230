// Package scenario drives the real program, one process for each role, through
// scripted scenarios. Each script in testdata names the promise it tests, the
// fault it makes and its seed.
package scenario

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcmd"
)

// slowVariable is the environment variable that turns the slow scenarios on.
const slowVariable = "BAOBAB_SLOW"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"baobab": func() {
			os.Exit(bhcmd.Main(context.Background(), os.Args, bhcmd.SystemStreams()))
		},
	})
}

func TestScenarios(t *testing.T) { runScripts(t, "testdata") }

// TestSlowScenarios runs the scripts that wait for a lease to lapse.
func TestSlowScenarios(t *testing.T) {
	if os.Getenv(slowVariable) == "" {
		t.Skip("set " + slowVariable + "=1, as .ci/run does")
	}
	runScripts(t, "testdata/slow")
}

func runScripts(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":   fleetCommand,
			"start":   startCommand,
			"await":   awaitCommand,
			"poll":    pollCommand,
			"signal":  signalCommand,
			"finish":  finishCommand,
			"switch":  switchCommand,
			"call":    callCommand,
			"ready":   readyCommand,
			"once":    onceCommand,
			"submit":  submitCommand,
			"results": resultsCommand,
			"items":   itemsCommand,
			"answers": answersCommand,
			"batchid": batchIDCommand,
			"flood":   floodCommand,
			"bounded": boundedCommand,
		},
	})
}

func TestEachScenarioNamesPromiseFaultAndSeed(t *testing.T) {
	var files []string
	for _, pattern := range []string{"testdata/*.txtar", "testdata/slow/*.txtar"} {
		found, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, found)
		files = append(files, found...)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, word := range []string{"promise", "fault", "seed"} {
			assert.Regexp(t, regexp.MustCompile(`(?m)^# `+word+`: .+`), string(text), file)
		}
	}
}

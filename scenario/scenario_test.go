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

const scripts = "testdata/*.txtar"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"baobab": func() {
			os.Exit(bhcmd.Main(context.Background(), os.Args, bhcmd.SystemStreams()))
		},
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
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
			"once":    onceCommand,
			"submit":  submitCommand,
			"results": resultsCommand,
			"items":   itemsCommand,
			"answers": answersCommand,
			"batchid": batchIDCommand,
		},
	})
}

func TestEachScenarioNamesPromiseFaultAndSeed(t *testing.T) {
	files, err := filepath.Glob(scripts)
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, word := range []string{"promise", "fault", "seed"} {
			assert.Regexp(t, regexp.MustCompile(`(?m)^# `+word+`: .+`), string(text), file)
		}
	}
}

package bhcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhadmin"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

const operatorToken = "the-operators-own-token"

// startAdmin serves the operators' API of one node and returns the node and
// its log.
func startAdmin(t *testing.T) (*bhsync.Node, *bytes.Buffer) {
	platform := httptest.NewServer(bhstand.NewPlatform(bhstand.PlatformConfig{}))
	t.Cleanup(platform.Close)
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: platform.URL})
	var logs bytes.Buffer
	logger, err := bhlog.New(&logs, bhlog.Debug)
	require.NoError(t, err)
	node := bhsync.NewNode(bhsync.NodeConfig{
		Host: "entry-1", Entry: true, Store: bhsync.NewStore(bhsync.StoreConfig{Logger: logger}), Platform: client.Platform(), Logger: logger,
	})
	server := httptest.NewServer(bhadmin.NewServer(bhadmin.Config{
		Node: node, Logger: logger, Secrets: []string{"not open once operators are named"},
		Operators: []bhconf.Operator{{Name: "li", Digest: bhkey.Digest(operatorToken)}},
	}))
	t.Cleanup(server.Close)
	t.Setenv(EnvAdmin, server.URL)
	t.Setenv(EnvToken, operatorToken)
	return node, &logs
}

func writeConfig(t *testing.T, config bhconf.Config) string {
	data, err := config.Canonical()
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

func account(name string, rate float64) bhconf.Config {
	return bhconf.Config{Format: bhconf.Format, Accounts: []bhconf.Account{{Name: name, Rate: rate, Burst: 10}}}
}

func succeed(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errs := run(t, args...)
	require.Equal(t, ExitOK, code, out+errs)
	return out
}

func TestOperatorsCommands(t *testing.T) {
	node, logs := startAdmin(t)
	first, second := writeConfig(t, account("zoo", 1)), writeConfig(t, account("zoo", 2))
	assert.Contains(t, succeed(t, "apply", first, "--base", "0", "--id", "one", "--note", "start"), "accepted: version 1")
	assert.Contains(t, succeed(t, "apply", first, "--base", "0", "--id", "one"), "accepted: version 1", "sent again")
	assert.Contains(t, succeed(t, "diff", second), "~ account zoo: rate 1 -> 2")
	assert.Contains(t, succeed(t, "apply", second, "--base", "1"), "accepted: version 2")

	code, out, _ := run(t, "apply", writeConfig(t, account("zoo", 3)), "--base", "1")
	assert.Equal(t, ExitFailure, code)
	assert.Contains(t, out, "conflict: version 2")
	assert.Contains(t, out, "~ account zoo: rate 1 -> 2", "a conflict comes with the difference")

	want, err := os.ReadFile(second)
	require.NoError(t, err)
	assert.Equal(t, string(want), succeed(t, "show"), "exactly the bytes pushed")
	assert.Contains(t, succeed(t, "rollback", "1"), "accepted: version 3")
	want, err = os.ReadFile(first)
	require.NoError(t, err)
	assert.Equal(t, string(want), succeed(t, "show"))
	var history bhadmin.HistoryReply
	require.NoError(t, json.Unmarshal([]byte(succeed(t, "history", "--json")), &history))
	require.Len(t, history.Versions, 3)
	assert.Equal(t, "rollback to version 1", history.Versions[0].Note)
	assert.Equal(t, "li", history.Versions[2].Author)
	assert.Contains(t, succeed(t, "status"), "entry-1\tentry\t3")

	var issued IssueReply
	require.NoError(t, json.Unmarshal([]byte(succeed(t, "key", "issue", "--account", "zoo", "--name", "office", "--json")), &issued))
	node.Store().SetOnlyEntry(true)
	_, err = node.Store().Authenticate(issued.Key, time.Now())
	require.NoError(t, err)
	assert.Contains(t, succeed(t, "key", "list"), "zoo/office\t"+issued.Declaration.Digest+"\tnever expires")
	assert.Contains(t, succeed(t, "key", "revoke", "zoo/office"), "stopped on: entry-1")
	_, err = node.Store().Authenticate(issued.Key, time.Now())
	assert.Error(t, err)
	assert.Contains(t, succeed(t, "key", "list"), "\trevoked")
	assert.Empty(t, node.PendingRevocations())
	for _, secret := range []string{issued.Key, operatorToken} {
		assert.NotContains(t, logs.String(), secret)
	}
}

func TestOperatorsAPILetsInOnlyOperators(t *testing.T) {
	_, logs := startAdmin(t)
	for _, token := range []string{"wrong-token-of-a-stranger", "not open once operators are named"} {
		t.Setenv(EnvToken, token)
		for _, args := range [][]string{{"show"}, {"status"}, {"history"}, {"key", "revoke", bhkey.Digest("x")}} {
			code, _, errs := run(t, args...)
			assert.Equal(t, ExitFailure, code)
			assert.Contains(t, errs, "unauthorized")
			assert.NotContains(t, errs, token)
		}
		assert.NotContains(t, logs.String(), token)
	}
	t.Setenv(EnvToken, "")
	code, _, _ := run(t, "show")
	assert.Equal(t, ExitUsage, code)
}

func TestApplyReportsMistakes(t *testing.T) {
	startAdmin(t)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"format":1,"accounts":[{"name":"a","rate":-1,"burst":1,"x":1}]}`), 0o600))
	code, _, errs := run(t, "apply", path, "--base", "0")
	assert.Equal(t, ExitFailure, code)
	assert.Contains(t, errs, "accounts[0].rate: must be above 0")
	assert.Contains(t, errs, "accounts[0].x: unknown field")
}

func TestCheck(t *testing.T) {
	path := writeConfig(t, account("zoo", -1))
	code, out, _ := run(t, "check", path, "--json")
	assert.Equal(t, ExitFailure, code)
	var reply CheckReply
	require.NoError(t, json.Unmarshal([]byte(out), &reply))
	assert.Equal(t, bhconf.Problems{{Path: "accounts[0].rate", Message: "must be above 0"}}, reply.Problems)
	code, out, _ = run(t, "check", writeConfig(t, account("zoo", 1)))
	assert.Equal(t, ExitOK, code, out)
	var stdout bytes.Buffer
	streams := Streams{In: strings.NewReader(`{"role":"entry"}`), Out: &stdout, Err: &stdout}
	assert.Equal(t, ExitFailure, Main(context.Background(), []string{"baobab", "check", "-"}, streams))
	assert.Contains(t, stdout.String(), "secrets: must name 1 to 8 secrets")
}

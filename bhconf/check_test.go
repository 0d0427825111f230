package bhconf

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testPlaintextKey is a key that must not appear in the text of problems.
const testPlaintextKey = "bh_0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// problemLines returns each problem of err as a line. It fails the test if err
// isn't of type Problems.
func problemLines(t *testing.T, err error) []string {
	t.Helper()
	var problems Problems
	require.True(t, errors.As(err, &problems), "%v", err)
	var lines []string
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return lines
}

func TestParseConfigReportsEveryProblemWithItsPath(t *testing.T) {
	digest := "sha256:" + strings.Repeat("0", 64)
	document := `{
		"format": 2, "extra": 1, "format": 2,
		"accounts": [
			{"name": "zoo", "rate": "ten", "burst": 20, "colour": "red"},
			{"name": "zoo", "rate": 0, "burst": 0.5, "weight": -1, "keys": [
				{"name": "a", "digest": "` + testPlaintextKey + `"},
				{"name": "a", "digest": "` + digest + `", "expires": "tomorrow"},
				{"name": "b", "digest": "` + digest + `"},
				{"name": "c", "digest": "sha256:short"}]},
			{"name": "no spaces", "rate": 1e9, "burst": 1},
			7
		],
		"groups": [{"name": "rota", "kind": "engine"}, {"name": "web", "kind": "plain"}, {"name": "web", "kind": "other"}],
		"models": [{"name": "m", "version": "", "group": "none"}, {"name": "n", "version": "1", "group": "web"}],
		"upstreams": [
			{"name": "u", "group": "rota", "host": "h", "address": "10.0.0.1:80", "slots": 1},
			{"name": "v", "group": "rota", "host": "i", "address": "10.0.0.1:80", "slots": 1.5, "state": "gone"},
			{"name": "w", "group": "rota", "host": "i", "address": "example.org:80", "slots": 1},
			{"name": "x", "group": "rota", "host": "i", "address": "127.0.0.1:80", "slots": 1},
			{"name": "y", "group": "rota", "host": "j", "address": "127.0.0.1:80", "slots": 1}],
		"routes": [
			{"prefix": "/v1/files", "group": "web"},
			{"prefix": "/ok", "group": "rota", "idempotent": ["GET", "get", "GET"], "timeout": "5 s"},
			{"prefix": "/ok", "group": "web", "timeout": "-1s"}]
	}`
	_, err := ParseConfig([]byte(document))
	assert.ElementsMatch(t, []string{
		"format: stands twice",
		"extra: unknown field",
		"accounts[0].rate: must be a number",
		"accounts[0].colour: unknown field",
		"accounts[1].name: is the same as that of accounts[0]",
		"accounts[1].rate: must be above 0",
		"accounts[1].burst: must be at least 1",
		"accounts[1].weight: must be above 0",
		"accounts[1].keys[0].digest: holds a key in clear text; write its digest",
		"accounts[1].keys[1].name: is the same as that of accounts[1].keys[0]",
		"accounts[1].keys[1].expires: must be a time such as \"2027-01-31T00:00:00Z\"",
		"accounts[1].keys[2].digest: is the same as that of a key of accounts[1]",
		"accounts[1].keys[3].digest: must be \"sha256:\" and 64 hexadecimal digits in lower case",
		"accounts[2].name: must have letters, digits, '.', '_' and '-' only, and begin with a letter or digit",
		"accounts[2].rate: must be at most 1e+06",
		"accounts[3]: must be an object",
		"groups[2].name: is the same as that of groups[1]",
		"groups[2].kind: must be engine or plain",
		"models[0].version: must not be empty",
		"models[0].group: names the unknown group \"none\"",
		"models[1].group: must be a group of the kind engine",
		"upstreams[1].address: is the same as that of upstreams[0]",
		"upstreams[1].slots: must be a whole number",
		"upstreams[1].state: must be serve or leave",
		"upstreams[2].address: must be an IP number with a port, such as 10.0.0.1:8080",
		"routes[0].prefix: is kept for the entry itself",
		"routes[1].group: must be a group of the kind plain",
		"routes[1].idempotent[1]: must be one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS",
		"routes[1].idempotent[2]: stands twice",
		"routes[1].timeout: must be a time span such as \"1.5s\"",
		"routes[2].prefix: is the same as that of routes[1]",
		"routes[2].timeout: must be 0 to 1h0m0s",
	}, problemLines(t, err))
	assert.NotContains(t, err.Error(), testPlaintextKey[3:])
}

func TestParseSettingsReportsEveryProblemWithItsPath(t *testing.T) {
	_, err := ParseSettings([]byte(`{
		"role": "entry", "host": "", "link": "0.0.0.0:80", "admin": "10.0.0.1:80", "listen": "localhost:1",
		"platform": "10.0.0.1", "secrets": ["short", "long enough to be a secret", "long enough to be a secret"],
		"operators": [{"name": "li", "digest": "` + testPlaintextKey + `"}], "log": "loud", "drain": "-1s", "lsiten": "x"
	}`))
	assert.ElementsMatch(t, []string{
		"lsiten: unknown field",
		"host: must not be empty",
		"admin: clashes with link",
		"listen: must be an IP number with a port, such as 10.0.0.1:8080",
		"platform: must be a URL such as http://10.0.0.1:7000",
		"secrets[0]: must have at least 16 characters",
		"secrets[2]: stands twice",
		"operators[0].digest: holds a key in clear text; write its digest",
		"log: must be debug, info, warn or error",
		"drain: must not be negative",
	}, problemLines(t, err))
	assert.NotContains(t, err.Error(), testPlaintextKey[3:])
}

func TestParseConfigRejectsMalformedAndOversizedDocuments(t *testing.T) {
	for _, document := range []string{"", "{", "{} {}", strings.Repeat("[", 100), `{"format":1]`, "nul"} {
		_, err := ParseConfig([]byte(document))
		assert.Error(t, err, document)
	}
	_, err := ParseConfig(make([]byte, MaxDocumentBytes+1))
	assert.ErrorContains(t, err, "at most")
}

// Guards against a daemon that starts with settings that it read while they were written, and
// keeps them: the first part of a file, or all of one and the end of a longer one.
func TestSettingsReadWhileTheyAreWrittenAreRefused(t *testing.T) {
	earlier := `{"role": "entry", "host": "a", "link": "10.0.0.1:1", "admin": "10.0.0.1:2", "listen": "10.0.0.1:3",
		"platform": "http://10.0.0.1:4", "secrets": ["0123456789abcdef"]}`
	written := strings.Replace(earlier, `"a"`, `"a", "drain": "9s", "log": "warn"`, 1)
	for _, settings := range []string{earlier, written} {
		_, err := ParseSettings([]byte(settings))
		require.NoError(t, err)
	}
	for end := range len(written) {
		_, err := ParseSettings([]byte(written[:end]))
		require.Error(t, err, "the first %d bytes", end)
	}
	_, err := ParseSettings([]byte(earlier + written[len(earlier):]))
	require.ErrorContains(t, err, "there is text after the document")
}

func TestCanonicalFormIsUnchangedByParsing(t *testing.T) {
	config := Config{Format: Format, Accounts: []Account{
		{Name: "b", Rate: 1, Burst: 2}, {Name: "a", Rate: 0.5, Burst: 1, Keys: []Key{{Name: "k", Digest: "sha256:" + strings.Repeat("a", 64)}}},
	}}
	first, err := config.Canonical()
	require.NoError(t, err)
	parsed, err := ParseConfig(first)
	require.NoError(t, err)
	second, err := parsed.Canonical()
	require.NoError(t, err)
	assert.Equal(t, string(first), string(second))
	assert.Equal(t, "b", config.Accounts[0].Name, "Canonical must not reorder the original configuration")
}

func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(`{"format":1,"accounts":[{"name":"a","rate":1,"burst":1}]}`))
	f.Add([]byte(`{"accounts":[{"rate":"x","keys":null}],"routes":[{"timeout":"1h"}]}`))
	f.Add([]byte(`[[[[[[[[[[[[[[[[[[[[`))
	f.Add([]byte(`{"a":1,"a":2} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := ParseConfig(data)
		if err != nil {
			return
		}
		canonical, err := config.Canonical()
		require.NoError(t, err)
		_, err = ParseConfig(canonical)
		require.NoError(t, err)
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"role":"entry","host":"a","secrets":["0123456789abcdef"],"drain":"1s"}`))
	f.Add([]byte(`{"secrets":[1],"operators":{}}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = ParseSettings(data) })
}

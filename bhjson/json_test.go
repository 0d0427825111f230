package bhjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestValidate(t *testing.T) {
	for data, valid := range map[string]bool{
		`{"id": "a", "headers": {"X": "ü 本 \u00fc \ud83d\ude00 \\ud83d"}}`: true,
		`{"ID": 1, "id": 2}`:        true,
		` [1, 2.5e3, null, true] `:  true,
		`{"id": "a` + "\xff" + `"}`: false,
		`{"id` + "\xe9" + `": "a"}`: false,
		`{"id": "\ud83d"}`:          false,
		`{"id": "\ude00\ud83d"}`:    false,
		`{"id": 1, "id": 2}`:        false,
		`{} {}`:                     false,
		`{`:                         false,
		``:                          false,
	} {
		assert.Equal(t, valid, Validate([]byte(data)) == nil, "%q: %v", data, Validate([]byte(data)))
	}
}

// Guards against a value that is changed on its way through encoding/json.
func TestValidTextIsDecodedAsItCame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })).Draw(t, "text")
		data := []byte(`"` + text + `"`)
		var decoded string
		if Validate(data) != nil || json.Unmarshal(data, &decoded) != nil {
			return
		}
		encoded, err := json.Marshal(decoded)
		require.NoError(t, err)
		var again string
		require.NoError(t, json.Unmarshal(encoded, &again))
		require.Equal(t, decoded, again)
		if !strings.Contains(text, `\`) {
			require.Equal(t, text, decoded)
		}
	})
}

func TestDecodeMatchesExactNames(t *testing.T) {
	type record struct {
		ID    *string  `json:"id"`
		Count int      `json:"count"`
		Names []string `json:"names"`
	}
	for data, want := range map[string]record{
		`{"id":"a","ID":"b","Count":3,"count":2,"other":null}`: {ID: new("a"), Count: 2},
		`{"ID":"b","COUNT":3,"Names":["x"]}`:                   {},
	} {
		var decoded record
		require.NoError(t, Decode([]byte(data), &decoded, RejectNull), data)
		assert.Equal(t, want, decoded, data)
	}
	for _, data := range []string{`{"id":null}`, `{"count":null}`, `{"names":null}`, `{"names":[null]}`} {
		require.Error(t, Decode([]byte(data), new(record), RejectNull), data)
		require.NoError(t, Decode([]byte(data), new(record)), data)
	}
	for _, data := range []string{`{"id":1}`, `{"count":"1"}`, `{"count":1.5}`, `{"id":"a","id":"b"}`, `{} {}`, "{\"id\":\"\xff\"}", ``} {
		require.Error(t, Decode([]byte(data), new(record)), data)
	}
}

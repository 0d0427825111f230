package bhwire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

func TestFramesSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buf []byte
		var sent []Frame
		for range rapid.IntRange(1, 5).Draw(t, "frames") {
			frame := Frame{
				Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
				Stream: rapid.Uint64().Draw(t, "stream"),
				Body:   rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "body"),
			}
			next, err := AppendFrame(buf, frame)
			require.NoError(t, err)
			buf = next
			sent = append(sent, frame)
		}
		for _, want := range sent {
			got, rest, err := NextFrame(buf)
			require.NoError(t, err)
			require.Equal(t, want, got)
			buf = rest
		}
		require.Empty(t, buf)
	})
}

func TestEveryKindOfTheSchemaHasANumber(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "link.go", nil, 0)
	require.NoError(t, err)
	declared := 0
	for _, decl := range file.Decls {
		general, ok := decl.(*ast.GenDecl)
		if ok && general.Tok == token.CONST {
			declared += len(general.Specs)
		}
	}
	assert.Len(t, kinds, declared)
	seen := make(map[Kind]bool)
	for _, kind := range kinds {
		assert.False(t, seen[kind], "%s stands twice", kind)
		seen[kind] = true
	}
}

func TestMalformedFramesAreRefused(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty":        {},
		"cut short":    {0x83, 0x00, 0x01},
		"not a frame":  {0xa0},
		"unknown kind": {0x83, 0x18, 0xff, 0x00, 0x40},
		"negative":     {0x83, 0x20, 0x00, 0x40},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := NextFrame(data)
			assert.True(t, bhcode.Is(err, bhcode.FrameInvalid), "%v", err)
		})
	}
}

// A heartbeat that says nothing new must cost a few bytes only: 320 sidecars
// send theirs to one entry, whose control has 14 KB/s.
func TestEmptyFrameIsSmall(t *testing.T) {
	data, err := AppendFrame(nil, Frame{Kind: KindBeat})
	require.NoError(t, err)
	assert.LessOrEqual(t, len(data), 4)
}

func BenchmarkFrame(b *testing.B) {
	frame := Frame{Kind: KindData, Stream: 1000, Body: make([]byte, 190)}
	b.ReportAllocs()
	for b.Loop() {
		data, err := AppendFrame(nil, frame)
		require.NoError(b, err)
		_, _, err = NextFrame(data)
		require.NoError(b, err)
	}
}

// Guards against a message that its receiver refuses, or gets in another form, because a text in
// it isn't UTF-8: header values may hold any bytes above 0x7f.
func TestMessagesKeepAnyText(t *testing.T) {
	text := rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })
	rapid.Check(t, func(t *rapid.T) {
		sent := Submit{ID: text.Draw(t, "ID"), Path: text.Draw(t, "path"), Query: text.Draw(t, "query"), Header: http.Header{"X-Note": {text.Draw(t, "value")}}}
		frame, err := Encode(KindSubmit, 1, sent)
		require.NoError(t, err)
		got, err := Decode[Submit](frame)
		require.NoError(t, err)
		require.Equal(t, sent.ID+sent.Path+sent.Query, got.ID+got.Path+got.Query)
		require.Equal(t, sent.Header, got.Header)
	})
}

package bhguard

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// What the limits allow together must leave room for the process itself.
func TestLimitsFitTheMachine(t *testing.T) {
	for _, machine := range []Machine{
		{Memory: 88 << 20, Descriptors: 4100},
		{Memory: 112 << 20, Descriptors: 400},
		{Memory: 154 << 20, Descriptors: 8200},
		{Memory: 24 << 30, Descriptors: 1 << 20},
		{Memory: 64 << 20, Descriptors: 64},
	} {
		limits := machine.Limits()
		connections := limits.Callers + limits.Peers + 2*limits.Operators
		assert.Less(t, limits.Callers+2*limits.Operators, machine.Descriptors, "%+v", machine)
		assert.Positive(t, limits.Callers)
		if machine.Descriptors >= 2*reservedFiles {
			assert.LessOrEqual(t, connections, machine.Descriptors-reservedFiles, "%+v", machine)
			upstreams := limits.Callers // one each
			assert.Less(t, limits.Callers+upstreams+2*limits.Operators, machine.Descriptors-reservedFiles, "%+v", machine)
		}
		callers := int64(limits.Callers) * connMemory
		assert.LessOrEqual(t, callers+limits.Heads+limits.Bodies+limits.Answers, machine.Memory*2/3, "%+v", machine)
	}
}

func TestMeterCountsTheHeadOnly(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []struct {
		name  string
		data  string
		bytes int64
	}{
		{"head", head, int64(len(head))},
		{"head and body", head + strings.Repeat("a\n", 1000), int64(len(head))},
		{"bare line feeds", "GET / HTTP/1.0\n\nrest", 16},
		{"empty lines before the head", "\r\n\r\n" + head, int64(len(head)) + 4},
		{"empty lines alone", "\r\n\r\n\r\n", 6},
	} {
		var whole, parts Meter
		cost := whole.Add([]byte(c.data))
		assert.Equal(t, c.bytes, whole.Bytes, c.name)
		for _, b := range []byte(c.data) {
			cost -= parts.Add([]byte{b})
		}
		assert.Zero(t, cost, "%s: by single bytes", c.name)
	}
}

func TestHeadBytesIsAtMostWhatWasSent(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/a/b?c=d", nil)
	r.Header.Set("Name", "value")
	r.Header.Add("Name", "")
	sent := "GET /a/b?c=d HTTP/1.1\r\nHost: example.com\r\nName: value\r\nName: \r\n\r\n"
	assert.LessOrEqual(t, HeadBytes(r), int64(len(sent)))
	assert.Greater(t, HeadBytes(r), int64(len(sent)/2))
}

package bhentry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

const testAPIKey = "bh_secret"

func TestSanitizeHeaderDropsKeysAndHopByHopHeaders(t *testing.T) {
	header := http.Header{
		"Authorization":        {"Bearer " + testAPIKey},
		"X-Api-Key":            {testAPIKey},
		"Cookie":               {"session=1"},
		"X-Forwarded-Whatever": {"prefix " + testAPIKey + " suffix"},
		"Connection":           {"X-Private, close"},
		"X-Private":            {"1"},
		"Content-Type":         {"text/plain"},
	}
	sanitized := sanitizeHeader(header, testAPIKey)
	assert.Equal(t, http.Header{"Content-Type": {"text/plain"}}, sanitized)
	assert.Len(t, header, 7, "the caller's header is not changed")
}

func TestSanitizeQueryDropsParametersWithKey(t *testing.T) {
	for raw, want := range map[string]string{
		"":                           "",
		"a=1&b=2":                    "a=1&b=2",
		"key=bh_secret&b=2":          "b=2",
		"b=2&%62h_secret=x":          "b=2",
		"x=pre%62h%5Fsecretpost&c=3": "c=3",
		"broken=%zz&d=4":             "d=4",
	} {
		assert.Equal(t, want, sanitizeQuery(raw, testAPIKey), raw)
	}
}

func TestRejectKeyInPathOrBody(t *testing.T) {
	assert.NoError(t, rejectKeyIn("/a", []byte("b"), testAPIKey))
	assert.NoError(t, rejectKeyIn("/a", []byte("b"), ""))
	assert.True(t, bhcode.Is(rejectKeyIn("/a", []byte("x bh_secret"), testAPIKey), bhcode.BadRequest))
	assert.True(t, bhcode.Is(rejectKeyIn("/bh_secret", nil, testAPIKey), bhcode.BadRequest))
}

func TestMayRetry(t *testing.T) {
	emptySink := &chatSink{}
	for name, test := range map[string]struct {
		err        error
		idempotent bool
		want       bool
	}{
		"not run":             {bhcode.New(bhcode.Overloaded, ""), false, true},
		"unknown":             {bhcode.New(bhcode.UpstreamLost, "").WithRan(bhcode.RanUnknown), false, false},
		"unknown, idempotent": {bhcode.New(bhcode.UpstreamLost, "").WithRan(bhcode.RanUnknown), true, true},
		"ran, idempotent":     {bhcode.New(bhcode.AnswerIncomplete, "").WithRan(bhcode.RanYes), true, true},
		"ran":                 {bhcode.New(bhcode.UpstreamFailed, "").WithRan(bhcode.RanYes), false, false},
		"cancelled":           {bhcode.New(bhcode.Cancelled, ""), true, false},
		"deadline":            {bhcode.New(bhcode.RunTimeout, ""), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, mayRetry(test.err, test.idempotent, emptySink))
		})
	}
}

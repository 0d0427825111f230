package bhevent

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheckHeadTellsStreamsFromOtherAnswers(t *testing.T) {
	for _, c := range []struct {
		status                int
		mediaType, encoding   string
		stream, declaresEvent bool
	}{
		{200, "", "", true, false},
		{200, "Text/Event-Stream ;charset=utf-8", "", true, true},
		{200, "text/event-stream", "identity", true, true},
		{200, "text/plain; charset=utf-8", "", true, false},
		{200, "application/json", "", false, false},
		{200, "text/html", "", false, false},
		{200, "text/event-stream", "gzip", false, false},
		{201, "text/event-stream", "", false, true},
		{204, "", "", false, false},
		{206, "text/event-stream", "", false, true},
		{302, "", "", false, false},
		{404, "text/event-stream", "", false, true},
		{503, "", "", false, false},
	} {
		header := http.Header{}
		header.Set("Content-Type", c.mediaType)
		header.Set("Content-Encoding", c.encoding)
		assert.Equal(t, c.stream, CheckHead(c.status, header) == nil, "%+v", c)
		assert.Equal(t, c.declaresEvent, KindOf(header) == Declared, "%+v", c)
	}
}

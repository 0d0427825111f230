package bhsidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Guards against one request that can't be decoded and ends those of all other callers of its
// session.
func TestRequestThatCannotBeDecodedCostsItselfAlone(t *testing.T) {
	secrets := []string{"a-fleet-secret-for-tests"}
	served := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := bhlink.Accept(w, r, bhlink.Config{Self: bhwire.Hello{Host: "side", Role: "sidecar"}, Secrets: secrets})
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = link.Close() }()
		session := newLiveSession(&Sidecar{logger: bhlog.Nop()}, link)
		served <- session.serve(r.Context())
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	link, err := bhlink.Dial(ctx, strings.TrimPrefix(server.URL, "http://"), bhlink.ClassLive, bhlink.Config{Self: bhwire.Hello{Host: "entry", Role: "entry"}, Secrets: secrets})
	require.NoError(t, err)
	for stream := range uint64(3) {
		require.NoError(t, link.Send(ctx, bhwire.Frame{Kind: bhwire.KindSubmit, Stream: stream, Body: []byte{0xff}}))
		frame, err := link.Receive(ctx)
		require.NoError(t, err, "the session goes on")
		require.Equal(t, bhwire.KindEnd, frame.Kind)
		assert.Equal(t, stream, frame.Stream)
		end, err := bhwire.Decode[bhwire.End](frame)
		require.NoError(t, err)
		assert.Equal(t, bhcode.FrameInvalid, bhcode.Code(end.Code))
		assert.Equal(t, bhcode.RanNo, bhcode.Ran(end.Ran))
	}
	require.NoError(t, link.Send(ctx, bhwire.Frame{Kind: bhwire.KindCredit, Stream: 1, Body: []byte{0xff}}))
	require.NoError(t, link.Send(ctx, bhwire.Frame{Kind: bhwire.KindSubmit, Stream: 7, Body: []byte{0xff}}))
	_, err = link.Receive(ctx)
	require.NoError(t, err, "credit of a stream that has ended")
	require.NoError(t, link.Close())
	<-served
}

package bhgate

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// events streams events up to a number, and breaks off after cut of them.
func events(last, cut int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Signature", "s1")
		after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0
		}
		for i := after + 1; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			if cut > 0 && i == after+cut {
				fmt.Fprint(w, "id: 9")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

func wholeStream(last int) string {
	text := ""
	for i := range last {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return text
}

func TestStreamsPassWhole(t *testing.T) {
	u := newUpstream(t, events(20, 0))
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, u)
	response, body, err := r.do(r.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, wholeStream(20), body)
	assert.Equal(t, "s1", response.Header.Get("Signature"))
}

func TestEventsPassAtOnce(t *testing.T) {
	proceed := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		fmt.Fprint(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-proceed
	})
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, u)
	response, err := http.DefaultTransport.RoundTrip(r.request("/a/x"))
	require.NoError(t, err)
	defer response.Body.Close()
	buffer := make([]byte, 100)
	n, err := response.Body.Read(buffer)
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: 1\n\n", string(buffer[:n]))
	close(proceed)
}

func TestBrokenStreamLooksBroken(t *testing.T) {
	first, second := newUpstream(t, events(20, 7)), newUpstream(t, events(20, 0))
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming, MaxAttempts: 3}, first, second)
	_, body, err := r.do(r.request("/a/x"))
	require.Error(t, err)
	assert.Equal(t, wholeStream(7), body, "no partial event")
	assert.Zero(t, second.count())
}

func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	first, second := newUpstream(t, events(20, 7)), newUpstream(t, events(20, 0))
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, first, second)
	response, body, err := r.do(r.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, wholeStream(20), body)
	assert.Equal(t, "s1", response.Header.Get("Signature"))
	assert.Equal(t, "7", second.last().Header.Get("Last-Event-Id"))
}

func TestResumingStopsAfterTheAttempts(t *testing.T) {
	first, second, third := newUpstream(t, events(20, 5)), newUpstream(t, events(20, 5)), newUpstream(t, events(20, 5))
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, first, second, third)
	_, body, err := r.do(r.request("/a/x"))
	require.Error(t, err)
	assert.Equal(t, wholeStream(10), body)
	assert.Equal(t, 2, first.count()+second.count()+third.count())
}

func TestStreamThatGoesOnWronglyIsBroken(t *testing.T) {
	first := newUpstream(t, events(20, 7))
	second := newUpstream(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		fmt.Fprint(w, "id: 9\ndata: 9\n\n")
	})
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, first, second)
	_, body, err := r.do(r.request("/a/x"))
	require.Error(t, err)
	assert.Equal(t, wholeStream(7), body)
}

func TestSilentResumableStreamGoesOnElsewhere(t *testing.T) {
	stopped := make(chan struct{})
	first := newUpstream(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		fmt.Fprint(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(stopped)
	})
	second := newUpstream(t, events(4, 0))
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, first, second)
	_, body, err := r.do(r.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, wholeStream(4), body)
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the first run was not stopped")
	}
}

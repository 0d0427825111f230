package bhserve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const requestHead = "GET / HTTP/1.1\r\nHost: x\r\n"

// drainCase is a connection on which a test writes parts of a request before and after
// a stop begins.
type drainCase struct {
	name string
	// kept connections have brought a request before.
	kept          bool
	before, after string
	answered      bool
}

// Guards against a planned stop that cuts off requests which have begun to arrive, or whose
// connection was just accepted.
func TestDrainAnswersRequestsThatArriveDuringAStop(t *testing.T) {
	for _, c := range []drainCase{
		{name: "kept and idle", kept: true},
		{name: "kept, half of the head has arrived", kept: true, before: requestHead, after: "\r\n", answered: true},
		{name: "new, half of the head has arrived", before: requestHead, after: "\r\n", answered: true},
		{name: "new, the request is on its way", after: requestHead + "\r\n", answered: true},
		{name: "new, no request comes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, c.answered, playDrain(t, c))
		})
	}
}

// playDrain reports whether the request of the case is answered.
func playDrain(t *testing.T, c drainCase) bool {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan struct{}, 1)
	listener := NewCallerListener(CallerListenerConfig{Listener: inner, IdleTimeout: func() time.Duration { return time.Minute }})
	draining := make(chan struct{})
	server := &http.Server{
		IdleTimeout: IdleTimeoutPlaceholder, ReadHeaderTimeout: time.Minute,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted <- struct{}{}
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			select {
			case <-draining:
				w.Header().Set("Connection", "close")
			default:
			}
			_, _ = io.WriteString(w, "whole")
		}),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	<-accepted
	reader := bufio.NewReader(client)
	if c.kept {
		fmt.Fprint(client, requestHead+"\r\n")
		require.Equal(t, "whole", readAnswer(reader))
	}
	fmt.Fprint(client, c.before)
	time.Sleep(50 * time.Millisecond) // what was written arrives

	close(draining)
	drained := make(chan bool, 1)
	go func() { drained <- listener.Drain(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(client, c.after)
	answer := readAnswer(reader)
	assert.True(t, <-drained)
	require.ErrorIs(t, <-served, http.ErrServerClosed)
	return answer == "whole"
}

// readAnswer returns the body of the next answer, or "" if the connection ends.
func readAnswer(reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

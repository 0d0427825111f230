package bhserve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// boundedServer serves with the bounds and returns a function that connects to it.
func boundedServer(t *testing.T, limits bhguard.Limits, callers CallerListenerConfig, handler http.HandlerFunc) (connect func() (net.Conn, *bufio.Reader)) {
	listeners, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	callers.Listener = listeners[0]
	server := NewPorts(PortsConfig{Limits: limits, Logger: bhlog.Nop()}).Callers(callers, handler)
	go func() { _ = server.Serve(server.Callers) }()
	t.Cleanup(func() { _ = server.Close() })
	return func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listeners[0].Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
}

func whole(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// Guards against bounds that are those of the start while the configuration changes, and against
// sound heads that are refused.
func TestBoundsOfHeadsMayChange(t *testing.T) {
	var size, timeout atomic.Int64
	connect := boundedServer(t, bhguard.Limits{}, CallerListenerConfig{
		HeadBytes:   size.Load,
		HeadTimeout: func() time.Duration { return time.Duration(timeout.Load()) },
	}, whole)
	ask := func(fieldBytes int) string {
		conn, reader := connect()
		fmt.Fprintf(conn, "%sA: %s\r\n\r\n", requestHead, strings.Repeat("a", fieldBytes))
		return readAnswer(reader)
	}
	assert.Equal(t, "whole", ask(DefaultHeadBytes-100))
	size.Store(1000)
	assert.Empty(t, ask(DefaultHeadBytes-100))
	assert.Equal(t, "whole", ask(900))
	size.Store(200_000)
	assert.Equal(t, "whole", ask(199_000))

	timeout.Store(int64(50 * time.Millisecond))
	conn, reader := connect()
	fmt.Fprint(conn, requestHead)
	_ = conn.SetReadDeadline(time.Now().Add(DefaultHeadTimeout / 2))
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the head takes too long")
}

// Guards against a refusal that the caller doesn't get, or that is followed by one of the server.
func TestRefusedHeadsHaveOneAnswer(t *testing.T) {
	for _, c := range []struct {
		limits bhguard.Limits
		fields string
		want   int
	}{
		{bhguard.Limits{}, strings.Repeat("a: b\r\n", DefaultHeadBytes/3), http.StatusRequestHeaderFieldsTooLarge},
		{bhguard.Limits{Heads: 1 << 10}, strings.Repeat("a:\r\n", DefaultHeadBytes/8), http.StatusServiceUnavailable},
	} {
		connect := boundedServer(t, c.limits, CallerListenerConfig{}, whole)
		conn, reader := connect()
		go func() { _, _ = io.WriteString(conn, requestHead+c.fields) }()
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		assert.Equal(t, c.want, response.StatusCode)
		assert.Equal(t, c.want == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
		_, err = reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
}

// Guards against newcomers that cut off a request in flight.
func TestNewConnectionsEndIdleOnesOnly(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{})
	connect := boundedServer(t, bhguard.Limits{Callers: 2}, CallerListenerConfig{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-release
		}
		whole(w, r)
	})
	slow, slowReader := connect()
	fmt.Fprint(slow, strings.Replace(requestHead, "/", "/slow", 1)+"Content-Length: 4\r\n\r\nbody")
	<-begun
	idle, idleReader := connect()
	fmt.Fprint(idle, requestHead+"\r\n")
	require.Equal(t, "whole", readAnswer(idleReader))
	for range 5 {
		conn, reader := connect()
		fmt.Fprint(conn, requestHead+"\r\n")
		assert.Equal(t, "whole", readAnswer(reader))
	}
	_, err := idleReader.ReadByte()
	assert.Error(t, err, "the idle one has ended")
	close(release)
	assert.Equal(t, "whole", readAnswer(slowReader))
}

// Guards against clients that end each other when all connect at once, as after an outage.
func TestClientsThatConnectAtOnceAreAnswered(t *testing.T) {
	const clients = 400
	listeners, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := NewPorts(PortsConfig{Limits: bhguard.Limits{Callers: 40}, Logger: bhlog.Nop()}).Callers(CallerListenerConfig{Listener: listeners[0]}, http.HandlerFunc(whole))
	defer func() { _ = server.Close() }()
	var readers []*bufio.Reader
	for range clients {
		conn, err := net.Dial("tcp", listeners[0].Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		fmt.Fprint(conn, requestHead+"\r\n")
		readers = append(readers, bufio.NewReader(conn))
	}
	go func() { _ = server.Serve(server.Callers) }()
	for _, reader := range readers {
		assert.Equal(t, "whole", readAnswer(reader))
	}
}

// Guards against callers that read nothing and keep all others out.
func TestCallersThatReadNothingMakeRoom(t *testing.T) {
	begun := make(chan struct{})
	connect := boundedServer(t, bhguard.Limits{Callers: 2}, CallerListenerConfig{WriteBuffer: 16 << 10}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			begun <- struct{}{}
			_, _ = w.Write(make([]byte, 64<<20))
		}
		whole(w, r)
	})
	for range 2 {
		conn, _ := connect()
		fmt.Fprint(conn, strings.Replace(requestHead, "/", "/large", 1)+"\r\n")
		<-begun
	}
	assert.Eventually(t, func() bool {
		conn, reader := connect()
		fmt.Fprint(conn, requestHead+"\r\n")
		return readAnswer(reader) == "whole"
	}, writeTimeout/2, 50*time.Millisecond)
}

// Guards against a slow caller whose answer is cut because a piece of it took long.
func TestSlowCallerGetsAWholeAnswer(t *testing.T) {
	const size = 4 << 20
	connect := boundedServer(t, bhguard.Limits{Callers: 2}, CallerListenerConfig{WriteBuffer: 16 << 10}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})
	conn, reader := connect()
	fmt.Fprint(conn, requestHead+"\r\n")
	time.Sleep(stallTimeout + stallTimeout/2)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Len(t, data, size)
}

// Guards against callers that send one request after the other and keep all others out.
func TestConnectionsOfAFullPortEndAfterTheirAnswer(t *testing.T) {
	connect := boundedServer(t, bhguard.Limits{Callers: 2}, CallerListenerConfig{}, whole)
	first, firstReader := connect()
	ask := func() bool {
		fmt.Fprint(first, requestHead+"\r\n")
		response, err := http.ReadResponse(firstReader, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.Close
	}
	assert.False(t, ask())
	connect()
	assert.Eventually(t, ask, 5*time.Second, time.Millisecond, "once the other one was accepted")
}

// Guards against connections that wait without end for what a handler leaves of a body.
func TestRestOfABodyIsNotAwaitedWithoutEnd(t *testing.T) {
	connect := boundedServer(t, bhguard.Limits{}, CallerListenerConfig{}, whole)
	conn, reader := connect()
	fmt.Fprint(conn, requestHead+"Content-Length: 1000\r\n\r\nhalf")
	assert.Equal(t, "whole", readAnswer(reader))
	_ = conn.SetReadDeadline(time.Now().Add(20 * restTimeout))
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A body that the handler doesn't hurry to read stays whole on a slow connection.
func TestBodyInPiecesIsRead(t *testing.T) {
	const size = 300_000
	connect := boundedServer(t, bhguard.Limits{Callers: 10, Heads: 1 << 20}, CallerListenerConfig{}, func(w http.ResponseWriter, r *http.Request) {
		body, err := Body{Source: r.Body, Length: r.ContentLength, Hold: func(int64) error { return nil }}.Read(r.Context())
		fmt.Fprint(w, len(body), err)
	})
	for _, c := range []struct{ head, body string }{
		{fmt.Sprintf("Content-Length: %d\r\n\r\n", size), strings.Repeat("a", size)},
		{"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\na\r\n", size) + "0\r\n\r\n"},
	} {
		conn, reader := connect()
		fmt.Fprint(conn, strings.Replace(requestHead, "GET", "POST", 1)+c.head)
		for half := range 2 {
			time.Sleep(10 * time.Millisecond)
			fmt.Fprint(conn, c.body[half*len(c.body)/2:(half+1)*len(c.body)/2])
		}
		assert.Equal(t, fmt.Sprint(size, error(nil)), readAnswer(reader))
	}
}

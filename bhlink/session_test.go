package bhlink

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// startAccepter starts a server that accepts sessions. It returns the server's
// address, the accepted sessions and the errors of Accept.
func startAccepter(t *testing.T, secrets ...string) (address string, sessions chan *Session, acceptErrs chan error) {
	t.Helper()
	sessions, acceptErrs = make(chan *Session, 1), make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		session, err := Accept(w, r, Config{Self: bhwire.Hello{Host: "b", Role: "sidecar"}, Secrets: secrets})
		if err != nil {
			acceptErrs <- err
			return
		}
		sessions <- session
		<-session.Done()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), sessions, acceptErrs
}

func dial(t *testing.T, address string, secrets ...string) (*Session, error) {
	t.Helper()
	return Dial(t.Context(), address, ClassLive, Config{Self: bhwire.Hello{Host: "a", Role: "entry"}, Secrets: secrets})
}

func TestHandshakeRequiresACommonSecret(t *testing.T) {
	for name, test := range map[string]struct {
		dialerSecrets, accepterSecrets []string
		ok                             bool
	}{
		"same":                 {[]string{"x"}, []string{"x"}, true},
		"rotating, old dialer": {[]string{"old"}, []string{"new", "old"}, true},
		"rotating, new dialer": {[]string{"new", "old"}, []string{"old"}, true},
		"different":            {[]string{"x"}, []string{"y"}, false},
		"none":                 {nil, []string{"y"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			address, sessions, acceptErrs := startAccepter(t, test.accepterSecrets...)
			session, err := dial(t, address, test.dialerSecrets...)
			if !test.ok {
				require.Error(t, err)
				assert.True(t, bhcode.Is(<-acceptErrs, bhcode.LinkRefused))
				return
			}
			require.NoError(t, err)
			assert.Equal(t, "b", session.Peer.Host)
			accepted := <-sessions
			assert.Equal(t, ClassLive, accepted.Peer.Class)
			go func() { _, _ = accepted.Receive(context.Background()) }()
			require.NoError(t, session.Close())
		})
	}
}

// A peer without the secret could otherwise authenticate by sending each message
// of the accepter back.
func TestReflectedProofIsRefused(t *testing.T) {
	address, _, acceptErrs := startAccepter(t, "x")
	conn, _, err := websocket.Dial(t.Context(), "ws://"+address+Path, nil)
	require.NoError(t, err)
	defer func() { _ = conn.CloseNow() }()
	for range 2 {
		_, data, err := conn.Read(t.Context())
		require.NoError(t, err)
		require.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, data))
	}
	assert.True(t, bhcode.Is(<-acceptErrs, bhcode.LinkRefused))
}

func TestCloseSendsQueuedFrames(t *testing.T) {
	const frames = 200
	address, sessions, _ := startAccepter(t, "x")
	session, err := dial(t, address, "x")
	require.NoError(t, err)
	accepted := <-sessions
	received := make(chan int)
	go func() {
		n := 0
		for {
			if _, err := accepted.Receive(context.Background()); err != nil {
				received <- n
				return
			}
			n++
		}
	}()
	for range frames {
		require.NoError(t, session.Send(t.Context(), bhwire.Frame{Kind: bhwire.KindData, Stream: 1, Body: make([]byte, 1000)}))
	}
	require.NoError(t, session.Close())
	assert.Equal(t, frames, <-received)
	assert.True(t, bhcode.Is(session.Send(t.Context(), bhwire.Frame{}), bhcode.LinkLost))
}

func TestSendFailsOnceTheSessionEnded(t *testing.T) {
	address, sessions, _ := startAccepter(t, "x")
	session, err := dial(t, address, "x")
	require.NoError(t, err)
	(<-sessions).Abort()
	_, err = session.Receive(t.Context())
	assert.True(t, bhcode.Is(err, bhcode.LinkLost), "%v", err)
	assert.True(t, bhcode.Is(session.Send(t.Context(), bhwire.Frame{}), bhcode.LinkLost))
}

func TestMalformedMessageEndsTheSession(t *testing.T) {
	address, sessions, _ := startAccepter(t, "x")
	session, err := dial(t, address, "x")
	require.NoError(t, err)
	require.NoError(t, session.conn.Write(t.Context(), websocket.MessageBinary, []byte{0xff, 0x00}))
	accepted := <-sessions
	_, err = accepted.Receive(t.Context())
	assert.True(t, bhcode.Is(err, bhcode.FrameInvalid), "%v", err)
	select {
	case <-accepted.Done():
	case <-time.After(time.Minute):
		t.Fatal("the session is still open a minute after a malformed message")
	}
}

func TestSessionEndsWhenTheContextOfReceiveIsDone(t *testing.T) {
	address, sessions, _ := startAccepter(t, "x")
	session, err := dial(t, address, "x")
	require.NoError(t, err)
	<-sessions
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = session.Receive(ctx)
	assert.True(t, bhcode.Is(err, bhcode.LinkLost), "%v", err)
	<-session.Done()
}

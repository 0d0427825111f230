package bhforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// uploadBytes is more than any socket buffer holds.
const uploadBytes = 8 << 20

// earlyAnswer is how an upstream answers before it has read the request's body.
type earlyAnswer struct {
	framing Framing
	// read is how many bytes it reads before it answers.
	read int
	// pause is the time from its answer to the end of the connection.
	pause time.Duration
	// reset ends the connection with a reset. Otherwise the upstream only ends its own direction,
	// and reads on until the request has ended.
	reset bool
}

const earlyBody = "eleven byte"

// newEarlyUpstream returns the address of an upstream that answers each connection as configured.
func newEarlyUpstream(t *testing.T, early *atomic.Pointer[earlyAnswer]) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarly(netConn.(*net.TCPConn), early.Load())
		}
	}()
	return listener.Addr().String()
}

func answerEarly(conn *net.TCPConn, early *earlyAnswer) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, int64(early.read))
	writeText(conn, framedHead(early.framing, len(earlyBody))+framedBody(early.framing, earlyBody))
	time.Sleep(early.pause)
	if early.reset {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, reader)
}

// exchangeEarly sends an upload and returns the body of the early answer.
func exchangeEarly(t *testing.T, pool *Pool, address string) (string, error) {
	t.Helper()
	request := newTestRequest("r")
	request.Body = make([]byte, uploadBytes)
	answer, err := pool.Exchange(t.Context(), address, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// TestEarlyAnswerThatIsResetIsBroken guards against a part of an answer that is taken for the whole:
// an upstream answers without a length while it is sent the request, and resets the connection. The
// kernel may report the reset to the write, and the next read sees an orderly end.
func TestEarlyAnswerThatIsResetIsBroken(t *testing.T) {
	var early atomic.Pointer[earlyAnswer]
	address := newEarlyUpstream(t, &early)
	pool := NewPool()
	defer pool.Close()
	for _, read := range []int{0, 4 << 10, 256 << 10} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes read, %s", read, pause), func(t *testing.T) {
				early.Store(&earlyAnswer{framing: FramedByClose, read: read, pause: pause, reset: true})
				for range 30 {
					body, err := exchangeEarly(t, pool, address)
					require.Error(t, err, "%q is only a part", body)
				}
			})
		}
	}
}

// Guards against whole answers that are thrown away because they came before the end of the upload.
func TestWholeEarlyAnswerIsKept(t *testing.T) {
	var early atomic.Pointer[earlyAnswer]
	address := newEarlyUpstream(t, &early)
	pool := NewPool()
	defer pool.Close()
	for _, framing := range []Framing{FramedByLength, FramedByChunks, FramedByClose} {
		for _, read := range []int{0, 256 << 10} {
			t.Run(fmt.Sprintf("%s/%d bytes read", framing, read), func(t *testing.T) {
				early.Store(&earlyAnswer{framing: framing, read: read})
				for range 5 {
					body, err := exchangeEarly(t, pool, address)
					require.NoError(t, err)
					assert.Equal(t, earlyBody, body)
				}
			})
		}
	}
}

// fakeConn is a connection whose reset the write has taken.
type fakeConn struct {
	net.Conn
	// writing is closed when Write begins, and Write returns once release is closed.
	writing, release chan struct{}
}

// Write implements net.Conn.
func (c *fakeConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.release
	return 0, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *fakeConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestEndAfterAFailedWriteIsNoOrderlyEnd is TestEarlyAnswerThatIsResetIsBroken for each order of the
// two calls.
func TestEndAfterAFailedWriteIsNoOrderlyEnd(t *testing.T) {
	for name, writesFirst := range map[string]bool{"the write returns first": true, "the read returns first": false} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeConn{writing: make(chan struct{}), release: make(chan struct{})}
			conn := DetectResets(fake)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = io.Copy(conn, strings.NewReader("body"))
			}()
			<-fake.writing
			if writesFirst {
				close(fake.release)
				<-written
			} else {
				time.AfterFunc(20*time.Millisecond, func() { close(fake.release) })
			}
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			<-written
		})
	}
}

// Guards against an orderly end that waits for a write without end.
func TestOrderlyEndDoesNotWaitForTheWholeUpload(t *testing.T) {
	fake := &fakeConn{writing: make(chan struct{}), release: make(chan struct{})}
	defer close(fake.release)
	conn := DetectResets(fake)
	go func() { _, _ = conn.Write([]byte("body")) }()
	<-fake.writing
	started := time.Now()
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	assert.Less(t, time.Since(started), 5*time.Second)
}

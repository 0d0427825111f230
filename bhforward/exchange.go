package bhforward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// inlineWrite is the size up to which a request is written before the answer is
// read; any socket buffer takes that much at once.
const inlineWrite = 8 << 10

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	// Header holds the end-to-end header fields, without Host and Content-Length.
	Header http.Header
	Body   []byte
	// IDHeader names the header that an answer must echo; empty checks nothing.
	IDHeader string
	// Reuse allows a kept connection. A request on one may be lost unread.
	Reuse bool
}

// Answer is the answer of an upstream. The caller reads Body and then calls
// Close.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, or -1 if it isn't declared.
	Length int64
	// Reused reports that the answer came on a kept connection.
	Reused bool

	pool     *Pool
	conn     *conn
	address  string
	keep     bool
	complete bool
	stop     func() bool
}

// Exchange sends the request and returns the answer's head. Errors carry a
// bhcode with Ran: RanNo if nothing was sent, RanUnknown otherwise. The
// connection is closed as soon as ctx is done, also while the body is read.
func (p *Pool) Exchange(ctx context.Context, address string, request *Request) (*Answer, error) {
	c, reused, err := p.get(ctx, address, request.Reuse)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.UpstreamLost, "connecting to "+address)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := p.exchange(c, request)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, bhcode.Wrap(err, bhcode.UpstreamLost, "upstream "+address).WithRan(bhcode.RanUnknown)
	}
	answer.Reused, answer.address, answer.stop = reused, address, stop
	return answer, nil
}

func (p *Pool) exchange(c *conn, request *Request) (*Answer, error) {
	written := make(chan error, 1)
	data := encode(request)
	send := func() {
		_, err := c.Write(data)
		written <- err
	}
	if len(data) <= inlineWrite {
		send()
	} else {
		go send() // the upstream may answer before it reads all of it
	}
	response, err := readHead(c.reader, request.Method) //nolint:bodyclose // Answer.Close ends the connection that the body is read from
	if err != nil {
		return nil, err
	}
	if want := request.Header.Get(request.IDHeader); request.IDHeader != "" && response.Header.Get(request.IDHeader) != want {
		return nil, errors.Errorf("answer for request %q instead of %q", response.Header.Get(request.IDHeader), want)
	}
	keep := !response.Close
	select {
	case err := <-written:
		keep = keep && err == nil
	default:
		// The upstream answered before it read the whole request.
		keep = false
	}
	if limit, ok := keepAlive(response.Header); ok {
		c.limit = min(c.limit, limit)
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, pool: p, conn: c, keep: keep}
	answer.Body = &bodyReader{body: response.Body, answer: answer}
	return answer, nil
}

// Close returns the connection to the pool if the whole body was read and
// nothing stands against using it again, and closes it otherwise.
func (a *Answer) Close() error {
	if a.stop() && a.keep && a.complete && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.address, a.conn)
		return nil
	}
	return a.conn.Close()
}

// bodyReader notes when the body ended as declared.
type bodyReader struct {
	body   io.Reader
	answer *Answer
}

// Read implements io.Reader.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	n, err := b.body.Read(buffer)
	if err == io.EOF {
		b.answer.complete = true
	}
	return n, err
}

// readHead reads the head of the final response.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "reading the answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func encode(request *Request) []byte {
	var buffer bytes.Buffer
	buffer.Grow(512 + len(request.Body))
	line := func(parts ...string) {
		for _, part := range parts {
			buffer.WriteString(part)
		}
		buffer.WriteString("\r\n")
	}
	line(request.Method, " ", request.Target, " HTTP/1.1")
	line("Host: ", request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			line(name, ": ", value)
		}
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		line("Content-Length: ", strconv.Itoa(len(request.Body)))
	}
	line()
	buffer.Write(request.Body)
	return buffer.Bytes()
}

// keepAlive returns the idle timeout that the answer declares, less a second
// for the way.
func keepAlive(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(textproto.TrimString(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0, false
		}
		return max(0, time.Duration(seconds)*time.Second-time.Second), true
	}
	return 0, false
}

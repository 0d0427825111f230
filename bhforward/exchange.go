package bhforward

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhguard"
)

// maxInlineWrite is the largest encoded request, in bytes, that is written before
// reading the answer starts. Any socket buffer holds this many bytes, so the write
// doesn't block.
const maxInlineWrite = 8 << 10

// uploadWriteBuffer is the size of the kernel's buffer, in bytes, for what an upstream hasn't taken of
// a long body. With the kernel's default, megabytes count as taken that are still on their way.
const uploadWriteBuffer = 128 << 10

const (
	// maxSkipped bounds the answers to earlier requests that are skipped on a reused
	// connection. Together with the head they have maxHeadBytes at most.
	maxSkipped = 2
	// maxStatus is the highest status of an answer.
	maxStatus = 599
	// forgottenWithin is several round trips within a region. A connection that breaks
	// later broke while the request ran.
	forgottenWithin = 30 * time.Millisecond
)

// ForgottenError reports that a reused connection broke, before any byte of an answer
// came, as soon as the request was sent: the upstream had most likely closed it.
type ForgottenError struct {
	// Rested is how long the connection had been idle.
	Rested time.Duration
	cause  error
}

// Error implements error.
func (e *ForgottenError) Error() string {
	return "connection idle for " + e.Rested.String() + " broke: " + e.cause.Error()
}

// Unwrap returns the error of the connection.
func (e *ForgottenError) Unwrap() error { return e.cause }

// isClosed reports whether err says that the upstream closed or reset the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// AnyRest is a Request.MaxRest that leaves it to the pool how long a connection may
// have been idle.
const AnyRest time.Duration = math.MaxInt64

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	// Header holds the end-to-end fields except Host and Content-Length.
	Header http.Header
	Body   []byte
	// IDHeader names a field of Header that the answer must echo. Later attempts with the
	// same ID get other connections, as upstreams may send an answer a second time. If it
	// is empty, nothing is checked.
	IDHeader string
	// MaxRest allows a connection that has been idle for this long at most; zero
	// demands a new one. The upstream may close an idle connection before it reads
	// the request.
	MaxRest time.Duration
	// Progress is called whenever the connection has taken a part of a long body, until Exchange
	// returns. It may be nil.
	Progress func()
}

// idHash returns a hash of the request's ID.
func (r *Request) idHash() uint64 { return xxhash.Sum64String(r.Header.Get(r.IDHeader)) }

// answeredBy reports whether the response echoes the request's ID.
func (r *Request) answeredBy(response *http.Response) bool {
	return r.IDHeader == "" || response.Header.Get(r.IDHeader) == r.Header.Get(r.IDHeader)
}

// Framing is how the end of an answer's body is marked.
type Framing string

// Framings of an answer.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose marks a body that ends with its connection: an orderly close
	// can't be told from that of an upstream that broke off.
	FramedByClose Framing = "close"
)

// FramingOf returns the framing of the response's body.
func FramingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0:
		return FramedByLength
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

// Answer is an upstream's response. The caller must call Close after it has read
// Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the declared length of Body in bytes, or -1 if it is unknown.
	Length  int64
	Framing Framing
	// Reused reports that the request was sent on an idle connection of the pool.
	Reused bool
	// Skipped is how many answers to earlier requests came before this one.
	Skipped int

	pool         *Pool
	conn         *conn
	address      string
	reusable     bool
	bodyComplete bool
	// stop ends the closing of the connection when the context of Exchange is done.
	// It reports false if the context was done before.
	stop func() bool
}

// Exchange sends the request to the upstream at address and returns the answer
// as soon as its head was read. Errors have code bhcode.BadRequest if the request can't be
// written, and bhcode.UpstreamLost otherwise, with Ran set to RanNo if there was no
// connection and to RanUnknown if there was one. The connection is
// closed as soon as ctx is done, also while the body is being read.
func (p *Pool) Exchange(ctx context.Context, address string, request *Request) (*Answer, error) {
	if err := request.validate(); err != nil {
		return nil, bhcode.Wrap(err, bhcode.BadRequest, "the request can't be sent")
	}
	c, rested, err := p.get(ctx, address, request)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.UpstreamLost, "connecting to "+address)
	}
	c.carries(request)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := p.roundTrip(c, request, rested)
	if err != nil {
		stop()
		_ = c.Close()
		c.head.Close()
		var forgotten *ForgottenError
		if errors.As(err, &forgotten) {
			p.forgotten(rested)
		}
		return nil, bhcode.Wrap(err, bhcode.UpstreamLost, "upstream "+address).WithRan(bhcode.RanUnknown)
	}
	answer.Reused, answer.address, answer.stop = rested > 0, address, stop
	return answer, nil
}

// upload tells of the progress of sending a request until it is ended.
type upload struct {
	mu       sync.Mutex
	progress func()
}

func (u *upload) advance() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.progress != nil {
		u.progress()
	}
}

func (u *upload) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.progress = nil
}

// roundTrip sends the request on c, which was idle for rested before, and reads the
// head of the answer. On a reused connection it skips answers to earlier requests.
func (p *Pool) roundTrip(c *conn, request *Request, rested time.Duration) (*Answer, error) {
	writeErr := make(chan error, 1)
	head := encodeHead(request)
	upload := &upload{progress: request.Progress}
	send := func() {
		_, err := c.writeAll(&net.Buffers{head, request.Body}, upload.advance)
		writeErr <- err
	}
	if len(head)+len(request.Body) <= maxInlineWrite {
		send()
	} else {
		c.boundWriteBuffer(uploadWriteBuffer)
		go send() // the upstream may answer before it has read the whole request
	}
	response, skipped, err := readAnswer(c, request, rested) //nolint:bodyclose // Answer.Close ends the connection that the body is read from
	upload.end()
	if err != nil {
		return nil, err
	}
	if !request.answeredBy(response) {
		return nil, errors.Errorf("answer for request %q instead of %q", response.Header.Get(request.IDHeader), request.Header.Get(request.IDHeader))
	}
	reusable := !response.Close && skipped == 0
	select {
	case err := <-writeErr:
		reusable = reusable && err == nil
	default:
		// The upstream answered before it read the whole request.
		reusable = false
	}
	if timeout, ok := keepAliveTimeout(response.Header); ok {
		c.idleTimeout = min(maxDeclaredIdleTimeout, timeout)
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framing: FramingOf(response), Skipped: skipped, pool: p, conn: c, reusable: reusable}
	answer.Body = &bodyReader{body: response.Body, answer: answer}
	return answer, nil
}

// readAnswer reads the head of the answer to the request on c, which was idle for rested
// before. It returns how many answers to earlier requests it skipped.
func readAnswer(c *conn, request *Request, rested time.Duration) (*http.Response, int, error) {
	startedAt := time.Now()
	c.headBytes, c.headCost = maxHeadBytes, 0
	defer func() { c.headBytes = -1 }()
	response, err := readFinalHead(c, request.Method)
	skipped := 0
	for ; rested > 0 && err == nil && skipped < maxSkipped && !request.answeredBy(response) && !response.Close; skipped++ {
		if err = skipBody(response); err == nil {
			response, err = readFinalHead(c, request.Method)
		}
	}
	if err == nil {
		return response, skipped, nil
	}
	if rested > 0 && c.headBytes == maxHeadBytes && isClosed(err) && time.Since(startedAt) < forgottenWithin {
		err = &ForgottenError{Rested: rested, cause: err}
	}
	return nil, skipped, err
}

// Close returns the connection to the pool if it can be reused: the whole request
// was written, the whole body was read, nothing follows the body, the upstream
// doesn't close the connection and the context isn't done. Otherwise Close closes
// the connection.
func (a *Answer) Close() error {
	a.conn.head.Close()
	if a.stop() && a.reusable && a.bodyComplete && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.address, a.conn)
		return nil
	}
	return a.conn.Close()
}

// bodyReader sets Answer.bodyComplete when the body ended with io.EOF.
type bodyReader struct {
	body   io.Reader
	answer *Answer
}

// Read implements io.Reader.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	n, err := b.body.Read(buffer)
	if err == io.EOF {
		b.answer.bodyComplete = true
	}
	return n, err
}

// skipBody reads the response's body, whose end must be marked.
func skipBody(response *http.Response) error {
	if FramingOf(response) == FramedByClose {
		return errors.New("an answer to an earlier request ends with the connection")
	}
	_, err := io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "skipping an answer to an earlier request")
}

// readFinalHead reads response heads and skips interim (1xx) ones. A switch of protocols (101) is
// an error, as no request asks for it.
func readFinalHead(c *conn, method string) (*http.Response, error) {
	for {
		c.meter = bhguard.Meter{}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "reading the answer")
		}
		isInterim := response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK
		if isInterim && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if err := CheckFinalStatus(response.StatusCode); err != nil {
			return nil, errors.Wrap(err, "reading the answer")
		}
		return response, nil
	}
}

// CheckFinalStatus returns an error unless the status is that of a final answer (RFC 9110, section
// 15).
func CheckFinalStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Errorf("status %d, expected %d to %d", status, http.StatusOK, maxStatus)
	}
	return nil
}

// encodeHead returns the request without its body in HTTP/1.1 wire format.
func encodeHead(request *Request) []byte {
	var buffer bytes.Buffer
	buffer.Grow(512)
	writeLine := func(parts ...string) {
		for _, part := range parts {
			buffer.WriteString(part)
		}
		buffer.WriteString("\r\n")
	}
	writeLine(request.Method, " ", request.Target, " HTTP/1.1")
	writeLine("Host: ", request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			writeLine(name, ": ", value)
		}
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		writeLine("Content-Length: ", strconv.Itoa(len(request.Body)))
	}
	writeLine()
	return buffer.Bytes()
}

// keepAliveTimeout returns the idle timeout that the Keep-Alive field declares,
// less one second for the transfer, and whether it declares a valid one.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
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

package bhload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

const (
	idleConnections = 512
	maxReply        = 64 << 20
	readSize        = 32 << 10

	eventPrefix = "data: "
	errorEvent  = eventPrefix + `{"error"`
)

// client sends requests to entries.
type client struct {
	timeout  time.Duration
	balancer *balancer
	close    func()
}

func newClient(targets []Target, timeout time.Duration) *client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         bhforward.DialDetectingResets(&net.Dialer{}),
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	return &client{
		timeout:  timeout,
		balancer: newBalancer(targets, transport),
		close:    transport.CloseIdleConnections,
	}
}

// do sends the request and waits for its end. Times count from due.
func (c *client) do(ctx context.Context, r Request, due time.Time) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.balancer.do(func(base string) (*http.Request, error) { return newRequest(ctx, base, r) })
	if err != nil {
		return Outcome{Verdict: Failed, Message: err.Error(), Total: time.Since(due)}
	}
	defer response.Body.Close()
	var outcome Outcome
	statusErr := bhforward.CheckFinalStatus(response.StatusCode)
	switch {
	case statusErr != nil:
		outcome = Outcome{Verdict: Wrong, Message: statusErr.Error()}
	case response.StatusCode != http.StatusOK:
		outcome = readRefusal(response.Body)
	case r.Kind.Class == ClassStream:
		outcome = readStream(r, response.Body, due)
	default:
		outcome = readWhole(r, response.Body, due)
	}
	outcome.Status = response.StatusCode
	outcome.Total = time.Since(due)
	return outcome
}

func newRequest(ctx context.Context, base string, r Request) (*http.Request, error) {
	method, path, body := http.MethodPost, bhchat.Path, []byte(r.ID)
	if r.Kind.Class == ClassPlain {
		path = r.Kind.Path
		if r.Kind.Method != "" {
			method = r.Kind.Method
		}
	} else {
		data, err := json.Marshal(bodyOf(r))
		if err != nil {
			return nil, errors.WithStack(err)
		}
		body = data
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(bhstand.HeaderRequestID, r.ID)
	if r.Account.Key != "" {
		request.Header.Set("Authorization", "Bearer "+r.Account.Key)
	}
	return request, nil
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model    string           `json:"model"`
	Messages []bhchat.Message `json:"messages"`
	Stream   bool             `json:"stream,omitempty"`
	Tokens   int              `json:"max_tokens,omitempty"`
}

func bodyOf(r Request) chatBody {
	return chatBody{
		Model:    r.Kind.Model,
		Messages: r.messages(),
		Stream:   r.Kind.Class == ClassStream,
		Tokens:   r.Kind.Tokens,
	}
}

func readRefusal(body io.Reader) Outcome {
	data, err := io.ReadAll(io.LimitReader(body, maxReply))
	if err != nil {
		return Outcome{Verdict: Failed, Message: err.Error()}
	}
	return failed(Refused, data)
}

// failed returns the outcome that an error body describes.
func failed(verdict Verdict, data []byte) Outcome {
	var f failure
	if err := json.Unmarshal(data, &f); err != nil {
		return Outcome{Verdict: verdict, Message: string(data)}
	}
	return Outcome{Verdict: verdict, Code: f.Error.Code, Message: f.Error.Message}
}

func readWhole(r Request, body io.Reader, due time.Time) Outcome {
	data, err := io.ReadAll(io.LimitReader(body, maxReply))
	if err != nil {
		return Outcome{Verdict: Broken, Message: err.Error()}
	}
	outcome := Outcome{First: time.Since(due)}
	if r.Kind.Class == ClassPlain {
		outcome.Verdict = r.judgePlain(data)
	} else {
		outcome.Verdict = r.judgeChat(data)
	}
	return outcome
}

// readStream reads an event stream to its end, one line at a time.
func readStream(r Request, body io.Reader, due time.Time) Outcome {
	var (
		stream streamTimes
		lines  = bufio.NewReaderSize(body, readSize)
	)
	for {
		line, err := lines.ReadBytes('\n')
		chunks, decodeErr := stream.decoder.Feed(line)
		for _, chunk := range chunks {
			stream.add(chunk, due)
		}
		switch {
		case bytes.HasPrefix(line, []byte(errorEvent)):
			data := bytes.TrimPrefix(line, []byte(eventPrefix))
			return merge(stream.outcome, failed(Broken, data))
		case decodeErr != nil:
			return merge(stream.outcome, Outcome{Verdict: Broken, Message: decodeErr.Error()})
		case err == io.EOF:
			return stream.finish(r)
		case err != nil:
			return merge(stream.outcome, Outcome{Verdict: Broken, Message: err.Error()})
		}
	}
}

// streamTimes gathers the chunks of a stream and when they came.
type streamTimes struct {
	decoder   bhchat.Decoder
	collector bhchat.Collector
	outcome   Outcome
	previous  time.Time
}

func (s *streamTimes) add(chunk bhchat.Chunk, due time.Time) {
	before := s.collector.Tokens()
	s.collector.Add(chunk)
	if s.collector.Tokens() == before {
		return
	}
	now := time.Now()
	if before == 0 {
		s.outcome.First = now.Sub(due)
	} else {
		s.outcome.Between = append(s.outcome.Between, now.Sub(s.previous))
	}
	s.previous = now
}

func (s *streamTimes) finish(r Request) Outcome {
	if s.decoder.Done() {
		s.collector.Done()
	}
	text := s.collector.Completion("", 0).Choices[0].Message.Content
	s.outcome.Verdict = r.judge(text, s.collector.Whole())
	return s.outcome
}

// merge returns the end with the times of the tokens that came before it.
func merge(times, end Outcome) Outcome {
	end.First, end.Between = times.First, times.Between
	return end
}

// isRefused reports whether the connection could not be made.
func isRefused(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

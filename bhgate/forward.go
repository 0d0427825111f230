package bhgate

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// maxDials bounds the upstreams that are tried without an answer to the dial.
	maxDials = 4
	// patienceShare is how many latency objectives the first of several sends
	// of a repeatable request may take.
	patienceShare = 2
	// minPatience leaves an upstream time for a request at its usual load.
	minPatience = 200 * time.Millisecond
	// streamPatience is the silence after which a resumable stream goes on
	// elsewhere. Clients leave after 2 s.
	streamPatience = time.Second
	// bufferLimit is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be replaced.
	bufferLimit = 256 << 10
)

// attempt is one try at one upstream.
type attempt struct {
	instance bhwatch.Instance
	answer   *bhforward.Answer
	// patience ends the attempt if the upstream is silent; nil if there is
	// nowhere else to go.
	patience *patience
	cancel   context.CancelFunc
}

func (a *attempt) close() {
	a.patience.stop()
	_ = a.answer.Close()
	a.cancel()
}

// forward sends the request to upstreams until one answers for good.
func (c *call) forward(ctx context.Context) error {
	service := c.chooseService()
	excluded := make(map[string]bool)
	dials := 0
	var last error
	for c.sends < c.route.MaxAttempts && dials < maxDials {
		if err := c.reconsider(&service); err != nil {
			return c.giveUp(ctx, last, err)
		}
		instance, ok := c.choose(ctx, service, excluded)
		if !ok {
			break
		}
		excluded[instance.ID] = true
		again, err := c.try(ctx, instance)
		c.gate.config.Balancer.Done(instance.ID)
		if !again {
			return c.conclude(ctx, err)
		}
		if bhcode.From(err).Ran == bhcode.RanNo {
			dials++
		}
		last = worse(last, err)
		if ctx.Err() != nil {
			break
		}
	}
	return c.giveUp(ctx, last, bhcode.New(bhcode.NoUpstream, "service %q has no upstream left", service).WithRetryAfter(emptyRetry))
}

// conclude returns the end of an attempt that nothing may follow.
func (c *call) conclude(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, errClientGone) {
		return err
	}
	return c.giveUp(ctx, err, err)
}

// worse returns the error that says more about what may have run.
func worse(last, err error) error {
	if last != nil && bhcode.From(last).Ran != bhcode.RanNo {
		return last
	}
	return err
}

// giveUp returns the final failure after the last attempt.
func (c *call) giveUp(ctx context.Context, last, none error) error {
	if c.r.Context().Err() != nil {
		return errClientGone
	}
	if last == nil {
		last = none
	}
	failure := bhcode.From(last)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if failure.Ran == bhcode.RanNo {
			return bhcode.Wrap(last, bhcode.QueueTimeout, "no upstream took the request in time")
		}
		return bhcode.Wrap(last, bhcode.RunTimeout, "the request did not finish in time").WithRan(failure.Ran)
	}
	return last
}

// reconsider takes in a newer policy before each send, so that a request never
// follows an older one than another request of this gateway did before it.
func (c *call) reconsider(service *string) error {
	view := c.gate.config.Policies.View()
	if view.Index != c.view.Index {
		c.view = view
		if err := c.resolve(); err != nil {
			return err
		}
		if c.route == nil || c.route.Kind == bhpolicy.Batch {
			return bhcode.New(bhcode.NotFound, "the route changed its kind").WithRetryAfter(fullRetry)
		}
		if !c.route.Serves(*service) {
			*service = c.chooseService()
		}
		return nil
	}
	c.view = view
	if c.account != nil {
		return c.gate.fresh(view)
	}
	return nil
}

// chooseService draws one of the route's services by weight.
func (c *call) chooseService() string {
	total := 0
	for _, backend := range c.route.Backends {
		total += max(0, backend.Weight)
	}
	if total == 0 {
		return ""
	}
	draw := rand.IntN(total)
	for _, backend := range c.route.Backends {
		if draw -= max(0, backend.Weight); draw < 0 {
			return backend.Service
		}
	}
	return ""
}

// try sends the request to one instance and relays the answer. It reports
// whether another upstream may be tried.
func (c *call) try(ctx context.Context, instance bhwatch.Instance) (bool, error) {
	current, err := c.send(ctx, instance, "")
	if err != nil {
		return c.retryable(err), err
	}
	defer current.close()
	answer := current.answer
	if answer.Status == http.StatusMisdirectedRequest {
		c.gate.config.Balancer.Moved(instance.ID)
	}
	if c.gate.config.Dialect.Refused(answer) {
		return true, bhcode.New(bhcode.Overloaded, "upstream %s refused with status %d", instance.ID, answer.Status).WithRetryAfter(fullRetry)
	}
	c.gate.config.Balancer.Answered(instance.ID)
	switch {
	case answer.Status < 300 && c.route.Kind == bhpolicy.Streaming:
		return false, c.relayStream(ctx, current)
	case answer.Status >= 500 && c.route.Repeatable() && c.sends < c.route.MaxAttempts:
		return true, bhcode.New(bhcode.UpstreamFailed, "upstream %s answered %d", instance.ID, answer.Status).WithRan(bhcode.RanYes)
	case promises(answer.Status):
		// Without the mark the upstream's status must not become a promise.
		err := bhcode.New(bhcode.UpstreamFailed, "upstream %s answered %d without a promise", instance.ID, answer.Status).WithRan(bhcode.RanUnknown)
		return c.retryable(err), err
	}
	return c.relay(current)
}

// send starts one attempt. A non-empty lastEvent resumes a stream.
func (c *call) send(ctx context.Context, instance bhwatch.Instance, lastEvent string) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := c.newPatience(cancel)
	request := c.request(instance, lastEvent)
	answer, err := c.gate.config.Pool.Exchange(ctx, instance.Address, request)
	ran := bhcode.RanYes
	if err != nil {
		ran = bhcode.From(err).Ran
	}
	if ran != bhcode.RanNo {
		c.sends++
		c.upstream = instance.ID
	}
	if err != nil {
		watchdog.stop()
		cancel()
		if c.r.Context().Err() == nil {
			c.gate.config.Balancer.Failed(instance.ID, err)
		}
		return nil, err
	}
	watchdog.touch()
	return &attempt{instance: instance, answer: answer, patience: watchdog, cancel: cancel}, nil
}

// request returns the request as this upstream gets it.
func (c *call) request(instance bhwatch.Instance, lastEvent string) *bhforward.Request {
	dialect := &c.gate.config.Dialect
	header := bhforward.EndToEnd(c.r.Header, dialect.KeyHeader, dialect.Account, dialect.Instance)
	left := max(1, time.Until(c.expires).Milliseconds())
	header.Set(dialect.Deadline, strconv.FormatInt(left, 10))
	header.Set(dialect.Instance, instance.ID)
	if c.account != nil {
		header.Set(dialect.Account, c.account.Name)
	}
	if lastEvent != "" {
		header.Set(dialect.LastEvent, lastEvent)
	}
	return &bhforward.Request{
		Method:   c.r.Method,
		Target:   c.r.RequestURI,
		Host:     c.r.Host,
		Header:   header,
		Body:     c.body,
		IDHeader: dialect.RequestID,
		// A kept connection may have gone silent, so what can't be sent again
		// gets a new one.
		Reuse: c.route.Kind == bhpolicy.Safe,
	}
}

// promises reports whether the status tells a client that its request hasn't run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryable reports whether the failed attempt may be followed by another.
func (c *call) retryable(err error) bool {
	return c.r.Context().Err() == nil && (bhcode.From(err).Ran == bhcode.RanNo || c.route.Repeatable())
}

// relay passes on an answer that is not a stream of events.
func (c *call) relay(current *attempt) (bool, error) {
	answer := current.answer
	head, err := io.ReadAll(io.LimitReader(answer.Body, bufferLimit))
	if err != nil {
		err = bhcode.Wrap(err, bhcode.AnswerIncomplete, "answer of upstream "+current.instance.ID).WithRan(bhcode.RanYes)
		return c.retryable(err), err
	}
	length := answer.Length
	if len(head) < bufferLimit {
		length = int64(len(head))
	}
	c.writeHead(answer, length)
	if err := c.write(head); err != nil {
		return false, err
	}
	if len(head) < bufferLimit {
		return false, nil
	}
	return false, c.relayRest(current)
}

// relayRest passes on what follows the buffered head of a large answer.
func (c *call) relayRest(current *attempt) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := current.answer.Body.Read(buffer)
		current.patience.touch()
		if n > 0 {
			if err := c.write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return bhcode.Wrap(err, bhcode.AnswerIncomplete, "answer of upstream "+current.instance.ID).WithRan(bhcode.RanYes)
		}
	}
}

// writeHead begins the answer to the client with the upstream's head.
func (c *call) writeHead(answer *bhforward.Answer, length int64) {
	header := c.w.Header()
	for name, values := range bhforward.EndToEnd(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps the server from guessing one
	}
	c.closing(header)
	c.status = answer.Status
	c.begin()
	c.w.WriteHeader(answer.Status)
}

// begin notes that the head of an answer goes to the client.
func (c *call) begin() { c.begun, c.first = true, time.Since(c.arrived) }

func (c *call) write(data []byte) error {
	n, err := c.w.Write(data)
	c.bytes += int64(n)
	if err != nil {
		return errClientGone
	}
	return nil
}

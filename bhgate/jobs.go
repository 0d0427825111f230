package bhgate

import (
	"context"
	"net/http"
	"time"

	"github.com/baobabhaven/baobabhaven/bhadmit"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhjob"
)

// platformSilentAfter is longer than the interval between polls of the platform and
// a slow answer to one.
const platformSilentAfter = 2 * time.Second

// JobCallKind is the operation that a call requests on a job.
type JobCallKind int

// Operations on jobs.
const (
	// ReadResults reads results from JobCall.After on.
	ReadResults JobCallKind = iota
	// ReadBody reads the body of JobCall.Item.
	ReadBody
	// EndJob ends a job; results that are listed stay.
	EndJob
)

// JobCall is a client's call about a job that was submitted before.
type JobCall struct {
	Kind JobCallKind
	// Job is the ID of the job.
	Job string
	// After is the position from which ReadResults reads.
	After int
	// Item is the ID of the item whose body ReadBody reads.
	Item string
}

// JobCalls decodes the requests of clients that concern jobs, and encodes the
// answers.
type JobCalls interface {
	// Parse decodes a request that matches no route. It returns false if the
	// request is no call about a job.
	Parse(r *http.Request) (JobCall, bool)
	// Items decodes the body of a request that submits a job.
	Items(body []byte) ([]bhjob.Item, error)
	// Results encodes the body of the answer to ReadResults.
	Results(results bhjob.Results) ([]byte, error)
}

// Jobs stores batch jobs. Its errors carry codes of bhcode, NotFound if the
// account has no such job or item.
type Jobs interface {
	// Submit stores a job and returns once it is durable.
	Submit(ctx context.Context, submission bhjob.Submission) error
	// Results returns the job's results from the position after on.
	Results(ctx context.Context, account, job string, after int) (bhjob.Results, error)
	// Body returns the body of an item of a job that has not ended.
	Body(ctx context.Context, account, job, item string) ([]byte, error)
	// End ends the job. It may be repeated.
	End(ctx context.Context, account, job string) error
}

// isJobCall reports whether the request is a call about a job.
func (c *call) isJobCall() bool {
	if c.gate.config.Calls == nil || c.gate.config.Jobs == nil {
		return false
	}
	_, ok := c.gate.config.Calls.Parse(c.r)
	return ok
}

// accountName returns the account's name, or "" if the request needs no key.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// submit stores a job that a client sent to a batch route. The request's ID
// becomes the job's ID.
func (c *call) submit() error {
	if c.gate.config.Calls == nil || c.r.Method != http.MethodPost {
		return bhcode.New(bhcode.BadMethod, "route %q takes jobs by POST", c.route.Name)
	}
	items, err := c.gate.config.Calls.Items(c.body)
	if err != nil {
		return bhcode.Wrap(err, bhcode.BatchInvalid, "the job is malformed")
	}
	c.jobID = c.id
	if err := c.submitAtOnce(bhjob.Submission{
		ID:        c.id,
		Account:   c.accountName(),
		Route:     c.route.Name,
		Host:      c.r.Host,
		Items:     items,
		RunTarget: c.route.RunTarget,
		Retention: c.route.Retention,
		Attempts:  c.route.MaxAttempts,
		MaxQueued: c.route.MaxQueuedTokens,
	}); err != nil {
		return err
	}
	return c.reply(http.StatusAccepted, "application/json", []byte("{}"))
}

// submitAtOnce stores the job. If the store doesn't take it, it tells the client to
// come back late in the time that it will wait: the store may be away for seconds,
// and clients try again only a few times. Another gateway, which the client then
// reaches, may have the store meanwhile, so the refusal isn't held back.
func (c *call) submitAtOnce(submission bhjob.Submission) error {
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	err := c.checkStore()
	if err == nil {
		err = c.gate.config.Jobs.Submit(ctx, submission)
	}
	if err == nil {
		return nil
	}
	if failure := bhcode.From(err); failure.Code == bhcode.PlatformUnavailable && failure.Ran == bhcode.RanNo {
		return failure.WithRetryAfter(bhadmit.RetryAfter(time.Until(c.deadline), 0))
	}
	return err
}

// checkStore returns a PlatformUnavailable error if the platform has not answered
// for so long that a call would only wait for its timeout.
func (c *call) checkStore() error {
	silence := c.gate.config.Clock.Now() - c.gate.config.Policies.View().ProvenAt
	if silence < platformSilentAfter {
		return nil
	}
	return bhcode.New(bhcode.PlatformUnavailable, "the platform has not answered for %s", silence)
}

// serveJobCall answers a call about a job.
func (c *call) serveJobCall() error {
	call, ok := c.gate.config.Calls.Parse(c.r)
	if !ok {
		return bhcode.New(bhcode.NotFound, "host %q has no route for %q", c.r.Host, c.r.RequestURI)
	}
	c.jobID = call.Job
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	jobs := c.gate.config.Jobs
	switch call.Kind {
	case ReadBody:
		body, err := jobs.Body(ctx, c.accountName(), call.Job, call.Item)
		if err != nil {
			return retryableJobError(err)
		}
		return c.reply(http.StatusOK, "application/octet-stream", body)
	case EndJob:
		if err := jobs.End(ctx, c.accountName(), call.Job); err != nil {
			return retryableJobError(err)
		}
		return c.reply(http.StatusOK, "application/json", []byte("{}"))
	default:
		return c.readResults(ctx, call)
	}
}

func (c *call) readResults(ctx context.Context, call JobCall) error {
	results, err := c.gate.config.Jobs.Results(ctx, c.accountName(), call.Job, call.After)
	if err != nil {
		return retryableJobError(err)
	}
	data, err := c.gate.config.Calls.Results(results)
	if err != nil {
		return err
	}
	return c.reply(http.StatusOK, "application/json", data)
}

// retryableJobError converts errors of the job store, except NotFound, to
// PlatformUnavailable with a Retry-After. Reads and ends may be repeated, so the
// client needn't know whether they took effect.
func retryableJobError(err error) error {
	if bhcode.Is(err, bhcode.NotFound) {
		return err
	}
	return bhcode.Wrap(err, bhcode.PlatformUnavailable, "the job can't be looked up now").WithRetryAfter(unavailableRetryAfter)
}

// reply sends the client an answer that the gateway made itself.
func (c *call) reply(status int, contentType string, body []byte) error {
	header := c.w.Header()
	header.Set("Content-Type", contentType)
	if c.id != "" {
		header.Set(c.gate.config.Dialect.RequestID, c.id)
	}
	c.closeIfUnready(header)
	c.status = status
	c.markHeadSent()
	c.w.WriteHeader(status)
	return c.outbox().write(body)
}

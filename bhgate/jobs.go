package bhgate

import (
	"context"
	"net/http"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhjob"
)

// JobCallKind is what a call about a job asks for.
type JobCallKind int

// Calls about jobs.
const (
	// ReadResults reads results from a position on.
	ReadResults JobCallKind = iota
	// ReadBody reads the body of an item.
	ReadBody
	// EndJob ends a job.
	EndJob
)

// JobCall is a call about a job.
type JobCall struct {
	Kind  JobCallKind
	Job   string
	After int
	Item  string
}

// JobCalls decodes and encodes the calls about jobs.
type JobCalls interface {
	// Parse returns the call of a request that matches no route; false if it is none.
	Parse(r *http.Request) (JobCall, bool)
	// Items decodes the body of a submission.
	Items(body []byte) ([]bhjob.Item, error)
	// Results encodes a reply with results.
	Results(results bhjob.Results) ([]byte, error)
}

// Jobs keeps batch jobs. Its errors carry bhcodes.
type Jobs interface {
	Submit(ctx context.Context, submission bhjob.Submission) error
	Results(ctx context.Context, account, job string, after int) (bhjob.Results, error)
	Body(ctx context.Context, account, job, item string) ([]byte, error)
	End(ctx context.Context, account, job string) error
}

func (c *call) isJobCall() bool {
	if c.gate.config.Calls == nil || c.gate.config.Jobs == nil {
		return false
	}
	_, ok := c.gate.config.Calls.Parse(c.r)
	return ok
}

// accountName returns the account's name, which is empty where no keys are needed.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// submit stores a job that a client sent to a batch route.
func (c *call) submit() error {
	if c.gate.config.Calls == nil || c.r.Method != http.MethodPost {
		return bhcode.New(bhcode.BadMethod, "route %q takes jobs by POST", c.route.Name)
	}
	items, err := c.gate.config.Calls.Items(c.body)
	if err != nil {
		return bhcode.Wrap(err, bhcode.BatchInvalid, "the job is malformed")
	}
	c.job = c.id
	ctx, cancel := context.WithDeadline(c.r.Context(), c.expires)
	defer cancel()
	err = c.gate.config.Jobs.Submit(ctx, bhjob.Submission{
		ID:        c.id,
		Account:   c.accountName(),
		Route:     c.route.Name,
		Host:      c.r.Host,
		Items:     items,
		RunTarget: c.route.RunTarget,
		Retention: c.route.Retention,
		Attempts:  c.route.MaxAttempts,
		MaxQueued: c.route.MaxQueuedTokens,
	})
	if err != nil {
		return err
	}
	return c.reply(http.StatusAccepted, "application/json", []byte("{}"))
}

// serveJobCall answers a call about a job.
func (c *call) serveJobCall() error {
	call, ok := c.gate.config.Calls.Parse(c.r)
	if !ok {
		return bhcode.New(bhcode.NotFound, "host %q has no route for %q", c.r.Host, c.r.RequestURI)
	}
	c.job = call.Job
	ctx, cancel := context.WithDeadline(c.r.Context(), c.expires)
	defer cancel()
	jobs := c.gate.config.Jobs
	switch call.Kind {
	case ReadBody:
		body, err := jobs.Body(ctx, c.accountName(), call.Job, call.Item)
		if err != nil {
			return unsure(err)
		}
		return c.reply(http.StatusOK, "application/octet-stream", body)
	case EndJob:
		if err := jobs.End(ctx, c.accountName(), call.Job); err != nil {
			return unsure(err)
		}
		return c.reply(http.StatusOK, "application/json", []byte("{}"))
	default:
		return c.readResults(ctx, call)
	}
}

func (c *call) readResults(ctx context.Context, call JobCall) error {
	results, err := c.gate.config.Jobs.Results(ctx, c.accountName(), call.Job, call.After)
	if err != nil {
		return unsure(err)
	}
	data, err := c.gate.config.Calls.Results(results)
	if err != nil {
		return err
	}
	return c.reply(http.StatusOK, "application/json", data)
}

// unsure turns failures of the store into a wish to be asked again. Reads and
// ends may be repeated, so their outcome needs no promise.
func unsure(err error) error {
	if bhcode.Is(err, bhcode.NotFound) {
		return err
	}
	return bhcode.Wrap(err, bhcode.PlatformUnavailable, "the job can't be looked up now").WithRetryAfter(emptyRetry)
}

// reply gives an answer of the gateway's own.
func (c *call) reply(status int, kind string, body []byte) error {
	header := c.w.Header()
	header.Set("Content-Type", kind)
	if c.id != "" {
		header.Set(c.gate.config.Dialect.RequestID, c.id)
	}
	c.closing(header)
	c.status = status
	c.begin()
	c.w.WriteHeader(status)
	return c.write(body)
}

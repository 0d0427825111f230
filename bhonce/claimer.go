package bhonce

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// claimAttempts bounds the attempts to write a claim if the write fails and
	// the key has no row afterwards.
	claimAttempts = 3
	// backgroundRetryTimeout bounds the retries of one operation in the
	// background.
	backgroundRetryTimeout = time.Minute
	minBackoff             = 100 * time.Millisecond
	maxBackoff             = 5 * time.Second
	// outageRetryAfter is the retry delay advised to clients while the platform
	// is unavailable.
	outageRetryAfter = 2 * time.Second
	idBytes          = 16
)

// Config holds the parameters of New.
type Config struct {
	// Table holds the claims.
	Table bhplatform.Table
	// Objects holds the answers' bodies that are larger than MaxRowBodyBytes.
	Objects bhplatform.Objects
	// Host is the name of this entry's host. It is recorded in each claim.
	Host   string
	Logger bhlog.Logger
}

// Request identifies a request with an idempotency key.
type Request struct {
	// Account is the client account. Each account has its own keys.
	Account string
	// Key is the idempotency key, at most MaxKeyBytes bytes long.
	Key string
	// Digest is the digest of the request's content.
	Digest string
	// Deadline is the time by which the request has ended. After it, an
	// unfinished claim means that the request's outcome is unknown.
	Deadline time.Time
}

// Claimer makes claims on idempotency keys and retries unfinished writes of
// claims in the background. It is safe for concurrent use.
type Claimer struct {
	config Config
	// tasks counts the background retries. Cancelling ctx aborts them.
	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Claimer. Call Close to wait for its background retries.
func New(config Config) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{config: config, ctx: ctx, cancel: cancel}
}

// Close waits for the background retries to end. It aborts them when ctx is
// done. It always returns nil.
func (c *Claimer) Close(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.cancel)
	defer stop()
	c.tasks.Wait()
	c.cancel()
	return nil
}

// Claim claims the request's key. It returns a claim if the caller must run the
// request, or the stored answer if an earlier request with the key has run.
//
// Every error means that this request did not run: BadRequest for a key longer
// than MaxKeyBytes, KeyReused, StillRunning or OutcomeUnknown because of an
// earlier request with the key, and PlatformUnavailable if the claim could not
// be made or the stored answer could not be read.
func (c *Claimer) Claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	if len(request.Key) > MaxKeyBytes {
		return nil, nil, bhcode.New(bhcode.BadRequest, "the idempotency key is longer than %d bytes", MaxKeyBytes)
	}
	claim := &Claim{claimer: c, key: rowKey(request.Account, request.Key)}
	claim.record = record{
		ID: newID(), Digest: request.Digest, State: stateRunning, Host: c.config.Host,
		ClaimedAt: time.Now(), Deadline: request.Deadline,
	}
	for range claimAttempts {
		current, err := claim.insert(ctx)
		switch {
		case err != nil:
			c.retryInBackground(claim.remove)
			refusal := bhcode.Wrap(err, bhcode.PlatformUnavailable, "the idempotency key can't be claimed")
			return nil, nil, refusal.WithRetryAfter(outageRetryAfter)
		case current == nil:
			continue
		case current.ID == claim.record.ID:
			claim.version = current.version
			return claim, nil, nil
		}
		answer, err := c.storedAnswer(ctx, *current, request.Digest)
		return nil, answer, err
	}
	c.retryInBackground(claim.remove)
	refusal := bhcode.New(bhcode.PlatformUnavailable, "the idempotency key can't be claimed")
	return nil, nil, refusal.WithRetryAfter(outageRetryAfter)
}

// storedAnswer returns the answer of a claim that an earlier request made, or
// the refusal of a request with the digest.
func (c *Claimer) storedAnswer(ctx context.Context, claimed row, digest string) (*Answer, error) {
	if err := claimed.refusal(digest, time.Now()); err != nil {
		return nil, err
	}
	if claimed.Answer == nil {
		return nil, bhcode.New(bhcode.OutcomeUnknown, "the first request has run and its answer is lost").WithRan(bhcode.RanYes)
	}
	answer := *claimed.Answer
	if claimed.BodyObject == "" {
		return &answer, nil
	}
	body, err := c.readObject(ctx, claimed.BodyObject)
	if err != nil {
		refusal := bhcode.Wrap(err, bhcode.PlatformUnavailable, "the first answer can't be read")
		return nil, refusal.WithRan(bhcode.RanYes).WithRetryAfter(outageRetryAfter)
	}
	answer.Body = body
	return &answer, nil
}

// readObject returns the content of the named object.
func (c *Claimer) readObject(ctx context.Context, name string) ([]byte, error) {
	reader, err := c.config.Objects.Get(ctx, name, 0)
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	var body bytes.Buffer
	if _, err := io.Copy(&body, reader); err != nil {
		return nil, errors.WithStack(err)
	}
	return body.Bytes(), nil
}

// retryInBackground retries the operation in the background until it succeeds,
// backgroundRetryTimeout passes or Close aborts it. It logs the last error.
func (c *Claimer) retryInBackground(operation func(context.Context) error) {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, backgroundRetryTimeout)
		defer cancel()
		if err := retry(ctx, operation); err != nil {
			bhlog.Problem(c.config.Logger, "claim.unsettled", err)
		}
	})
}

// retry calls operation with exponential backoff until it succeeds or ctx is
// done. In the latter case it returns the operation's last error.
func retry(ctx context.Context, operation func(context.Context) error) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := operation(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff):
		}
	}
}

func encodeRecord(r record) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.WithStack(err)
}

// newID returns a random ID of idBytes bytes in hexadecimal.
func newID() string {
	var random [idBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

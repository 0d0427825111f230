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

// Retries of platform operations.
const (
	claimAttempts = 3
	settleTimeout = time.Minute
	settleBackoff = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
	outageRetry   = 2 * time.Second
	idBytes       = 16
)

// Config configures a Keeper.
type Config struct {
	Table   bhplatform.Table
	Objects bhplatform.Objects
	// Host is the name of this entry.
	Host   string
	Logger bhlog.Logger
}

// Request is a request with an idempotency key.
type Request struct {
	Account string
	Key     string
	// Digest identifies the request's content.
	Digest string
	// Deadline is when the request has ended at the latest.
	Deadline time.Time
}

// Keeper makes and settles claims.
type Keeper struct {
	config Config
	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a keeper.
func New(config Config) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	return &Keeper{config: config, ctx: ctx, cancel: cancel}
}

// Close waits until the outcomes of all claims are stored, at most until ctx is
// done.
func (k *Keeper) Close(ctx context.Context) error {
	stop := context.AfterFunc(ctx, k.cancel)
	defer stop()
	k.tasks.Wait()
	k.cancel()
	return nil
}

// Claim claims the request's key. It returns a claim if the caller must run the
// request, or the answer of the first run. All errors mean that this request
// wasn't run: KeyReused, StillRunning or OutcomeUnknown tell of another one,
// PlatformUnavailable means that the claim couldn't be made.
func (k *Keeper) Claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	if len(request.Key) > MaxKey {
		return nil, nil, bhcode.New(bhcode.BadRequest, "the idempotency key is longer than %d bytes", MaxKey)
	}
	claim := &Claim{keeper: k, key: rowKey(request.Account, request.Key)}
	claim.record = record{
		ID: newID(), Digest: request.Digest, State: stateRunning, Host: k.config.Host,
		Claimed: time.Now(), Deadline: request.Deadline,
	}
	for range claimAttempts {
		found, err := claim.insert(ctx)
		switch {
		case err != nil:
			k.settle(claim.remove)
			refusal := bhcode.Wrap(err, bhcode.PlatformUnavailable, "the idempotency key can't be claimed")
			return nil, nil, refusal.WithRetryAfter(outageRetry)
		case found == nil:
			continue
		case found.ID == claim.record.ID:
			claim.version = found.version
			return claim, nil, nil
		}
		answer, err := k.answer(ctx, *found, request.Digest)
		return nil, answer, err
	}
	k.settle(claim.remove)
	refusal := bhcode.New(bhcode.PlatformUnavailable, "the idempotency key can't be claimed")
	return nil, nil, refusal.WithRetryAfter(outageRetry)
}

// answer returns the answer of a claim that another request made.
func (k *Keeper) answer(ctx context.Context, found row, digest string) (*Answer, error) {
	if err := found.refusal(digest, time.Now()); err != nil {
		return nil, err
	}
	if found.Answer == nil {
		return nil, bhcode.New(bhcode.OutcomeUnknown, "the first request has run and its answer is lost").WithRan(bhcode.RanYes)
	}
	answer := *found.Answer
	if found.Object == "" {
		return &answer, nil
	}
	body, err := k.fetch(ctx, found.Object)
	if err != nil {
		refusal := bhcode.Wrap(err, bhcode.PlatformUnavailable, "the first answer can't be read")
		return nil, refusal.WithRan(bhcode.RanYes).WithRetryAfter(outageRetry)
	}
	answer.Body = body
	return &answer, nil
}

func (k *Keeper) fetch(ctx context.Context, name string) ([]byte, error) {
	reader, err := k.config.Objects.Get(ctx, name, 0)
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

// settle repeats the step in the background until it succeeds or reports that
// there is nothing more to do.
func (k *Keeper) settle(step func(context.Context) error) {
	k.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(k.ctx, settleTimeout)
		defer cancel()
		if err := repeat(ctx, step); err != nil {
			bhlog.Problem(k.config.Logger, "claim.unsettled", err)
		}
	})
}

// repeat calls step with exponential backoff until it succeeds or ctx is done.
func repeat(ctx context.Context, step func(context.Context) error) error {
	for backoff := settleBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := step(ctx)
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

func encode(r record) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.WithStack(err)
}

func newID() string {
	var random [idBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

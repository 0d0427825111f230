package bhentry

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// trialSweepInterval is the time between removals of old trial rows.
const trialSweepInterval = time.Hour

// quarantine limits how many upstreams a request can crash. A suspect request
// runs as a trial, apart from other suspects; a quarantined one is refused.
type quarantine struct {
	mesh   *bhmesh.Mesh
	ledger *bhcrash.Ledger
	trials *bhcrash.Trials
	logger bhlog.Logger
}

func newQuarantine(mesh *bhmesh.Mesh, table bhplatform.Table, logger bhlog.Logger) *quarantine {
	q := &quarantine{mesh: mesh, ledger: bhcrash.NewLedger(), trials: bhcrash.NewTrials(table), logger: logger}
	mesh.Handle(bhwire.KindVerdict, q.handleVerdict)
	return q
}

// sweepTrials removes the table rows of old trials every trialSweepInterval
// until ctx is done.
func (q *quarantine) sweepTrials(ctx context.Context) error {
	ticker := time.NewTicker(trialSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := q.trials.Sweep(ctx); err != nil {
			bhlog.Problem(q.logger, "trial.sweep", err)
		}
	}
}

// handleVerdict records the crash evidence that a peer reports.
func (q *quarantine) handleVerdict(peer bhwire.Hello, frame bhwire.Frame) error {
	verdict, err := bhwire.Decode[bhwire.Verdict](frame)
	if err != nil {
		return err
	}
	evidence := bhcrash.Evidence{Crashes: verdict.Crashes, Alone: verdict.Alone, Early: verdict.Early, Age: verdict.Age}
	q.ledger.Merge(crashSource(peer), verdict.Digest, evidence)
	return nil
}

// recordCrash records the crash evidence in the end frame of a request. The
// sidecar also sends it in a verdict frame, which may arrive later.
func (q *quarantine) recordCrash(peer bhwire.Hello, digest string, end bhwire.End) {
	q.ledger.Merge(crashSource(peer), digest, bhcrash.Evidence{Crashes: end.Crashes, Alone: end.Alone, Early: end.Early})
}

// admit decides how the request may run. It returns a trial if the request is a
// suspect and must run apart from other suspects, and nil if it is clear. It
// waits while another trial of the same content runs. The error, Quarantined,
// QueueTimeout or what cancelled ctx meanwhile, refuses the request; lastErr is the
// error of its previous attempt, or nil.
func (q *quarantine) admit(ctx context.Context, submit bhwire.Submit, lastErr error) (*trial, error) {
	deadline, _ := ctx.Deadline()
	for {
		judgement, retryAfter := q.ledger.StatusOf(submit.Digest)
		switch judgement {
		case bhcrash.Clear:
			return nil, nil
		case bhcrash.Quarantined:
			return nil, withRanOf(lastErr, bhcode.New(bhcode.Quarantined, "").WithRetryAfter(retryAfter))
		}
		stillSuspect := func() bool {
			current, _ := q.ledger.StatusOf(submit.Digest)
			return current == bhcrash.Suspect
		}
		lease, err := q.trials.Begin(ctx, submit.Digest, deadline, stillSuspect)
		if cause := cancelCause(ctx); cause != nil && bhcode.Is(err, bhcode.QueueTimeout) {
			return nil, withRanOf(lastErr, cause.WithRan(bhcode.RanNo))
		}
		if err != nil {
			return nil, withRanOf(lastErr, bhcode.From(err))
		}
		if lease != nil {
			bhlog.Decision(q.logger, "trial", submit.Digest, "suspect", "", "id", submit.ID)
			return &trial{quarantine: q, lease: lease, digest: submit.Digest, id: submit.ID}, nil
		}
	}
}

// withRanOf copies to refusal whether the previous attempt ran. The refusal
// stays as it is if lastErr is nil.
func withRanOf(lastErr error, refusal *bhcode.Error) error {
	if lastErr == nil {
		return refusal
	}
	return refusal.WithRan(bhcode.From(lastErr).Ran)
}

// trial is the run of a suspect request apart from other suspects. It is nil
// for a request that isn't a suspect.
type trial struct {
	quarantine *quarantine
	lease      *bhcrash.Trial
	digest     string
	id         string
}

// finish records the outcome of the run and ends the lease. Only a complete
// response clears the request.
func (t *trial) finish(ctx context.Context, outcome error) {
	if t == nil {
		return
	}
	q := t.quarantine
	if outcome == nil {
		q.ledger.Clear(t.digest)
		frame, err := bhwire.Encode(bhwire.KindVerdict, 0, bhwire.Verdict{Digest: t.digest})
		if err == nil {
			q.mesh.Broadcast("", frame)
		}
	}
	judgement, _ := q.ledger.StatusOf(t.digest)
	bhlog.Decision(q.logger, "verdict", string(judgement), "trial", "", "id", t.id, "digest", t.digest)
	if err := t.lease.End(ctx, judgement == bhcrash.Quarantined); err != nil {
		bhlog.Problem(q.logger, "trial.unsettled", err, "id", t.id)
	}
}

func crashSource(peer bhwire.Hello) bhcrash.Source {
	return bhcrash.Source{Host: peer.Host, Incarnation: peer.Incarnation}
}

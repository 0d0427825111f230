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

const trialSweep = time.Hour

// suspects keeps requests that crash their upstreams from crashing more.
type suspects struct {
	mesh   *bhmesh.Mesh
	ledger *bhcrash.Ledger
	trials *bhcrash.Trials
	logger bhlog.Logger
}

func newSuspects(mesh *bhmesh.Mesh, table bhplatform.Table, logger bhlog.Logger) *suspects {
	s := &suspects{mesh: mesh, ledger: bhcrash.NewLedger(), trials: bhcrash.NewTrials(table), logger: logger}
	mesh.Handle(bhwire.KindVerdict, s.takeVerdict)
	return s
}

// run removes the rows of old trials from time to time until ctx is done.
func (s *suspects) run(ctx context.Context) error {
	ticker := time.NewTicker(trialSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := s.trials.Sweep(ctx); err != nil {
			bhlog.Problem(s.logger, "trial.sweep", err)
		}
	}
}

func (s *suspects) takeVerdict(peer bhwire.Hello, frame bhwire.Frame) error {
	verdict, err := bhwire.Decode[bhwire.Verdict](frame)
	if err != nil {
		return err
	}
	evidence := bhcrash.Evidence{Crashes: verdict.Crashes, Alone: verdict.Alone, Early: verdict.Early, Age: verdict.Age}
	s.ledger.Merge(sourceOfPeer(peer), verdict.Digest, evidence)
	return nil
}

// crashed records what the end of a request says of a crash. The sidecar's own
// message may come later.
func (s *suspects) crashed(peer bhwire.Hello, digest string, end bhwire.End) {
	s.ledger.Merge(sourceOfPeer(peer), digest, bhcrash.Evidence{Crashes: end.Crashes, Alone: end.Alone, Early: end.Early})
}

// admit judges the request. It returns a trial if the request must run apart
// from other suspects, and nil if it isn't one. The error refuses it; last is the error
// of its latest attempt, if there was one.
func (s *suspects) admit(ctx context.Context, submit bhwire.Submit, last error) (*trial, error) {
	deadline, _ := ctx.Deadline()
	for {
		judgement, left := s.ledger.StatusOf(submit.Digest)
		switch judgement {
		case bhcrash.Clear:
			return nil, nil
		case bhcrash.Quarantined:
			return nil, ranAs(last, bhcode.New(bhcode.Quarantined, "").WithRetryAfter(left))
		}
		wanted := func() bool {
			now, _ := s.ledger.StatusOf(submit.Digest)
			return now == bhcrash.Suspect
		}
		held, err := s.trials.Begin(ctx, submit.Digest, deadline, wanted)
		if err != nil {
			return nil, ranAs(last, bhcode.From(err))
		}
		if held != nil {
			bhlog.Decision(s.logger, "trial", submit.Digest, "suspect", "", "id", submit.ID)
			return &trial{suspects: s, held: held, digest: submit.Digest, id: submit.ID}, nil
		}
	}
}

// ranAs makes the refusal of a further attempt say whether an earlier one ran.
func ranAs(last error, refusal *bhcode.Error) error {
	if last == nil {
		return refusal
	}
	return refusal.WithRan(bhcode.From(last).Ran)
}

// trial is the run of a suspect. A nil trial is that of a request that
// isn't suspected.
type trial struct {
	suspects *suspects
	held     *bhcrash.Trial
	digest   string
	id       string
}

// end records the outcome of the run. Only a whole answer clears the suspect.
func (t *trial) end(ctx context.Context, outcome error) {
	if t == nil {
		return
	}
	s := t.suspects
	if outcome == nil {
		s.ledger.Clear(t.digest)
		frame, err := bhwire.Encode(bhwire.KindVerdict, 0, bhwire.Verdict{Digest: t.digest})
		if err == nil {
			s.mesh.Broadcast("", frame)
		}
	}
	judgement, _ := s.ledger.StatusOf(t.digest)
	bhlog.Decision(s.logger, "verdict", string(judgement), "trial", "", "id", t.id, "digest", t.digest)
	if err := t.held.End(ctx, judgement == bhcrash.Quarantined); err != nil {
		bhlog.Problem(s.logger, "trial.unsettled", err, "id", t.id)
	}
}

func sourceOfPeer(peer bhwire.Hello) bhcrash.Source {
	return bhcrash.Source{Host: peer.Host, Incarnation: peer.Incarnation}
}

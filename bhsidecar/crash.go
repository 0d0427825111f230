package bhsidecar

import (
	"context"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// suspectAllBelow is the number of other requests in flight on an upstream
// below which one crash makes every request a suspect. From this number on, one
// crash makes only those requests suspects whose answers had not begun.
const suspectAllBelow = 4

// crashReporter counts the upstream crashes of each request's content, by
// digest, and reports them to all entries at once.
type crashReporter struct {
	mesh   *bhmesh.Mesh
	self   bhcrash.Source
	ledger *bhcrash.Ledger
}

func newCrashReporter(mesh *bhmesh.Mesh, self bhcrash.Source) *crashReporter {
	return &crashReporter{mesh: mesh, self: self, ledger: bhcrash.NewLedger()}
}

// handleVerdict clears the crashes of a digest that an entry has seen run alone
// without a crash. It ignores verdicts with crashes.
func (c *crashReporter) handleVerdict(_ bhwire.Hello, frame bhwire.Frame) error {
	verdict, err := bhwire.Decode[bhwire.Verdict](frame)
	if err != nil {
		return err
	}
	if verdict.Crashes == 0 {
		c.ledger.Merge(bhcrash.Source{}, verdict.Digest, bhcrash.Evidence{Age: verdict.Age})
	}
	return nil
}

// sendRecent sends the crashes that still count to an entry whose session has
// just begun.
func (c *crashReporter) sendRecent(ctx context.Context, session *bhlink.Session) error {
	var verdicts []bhwire.Verdict
	c.ledger.VisitRecent(c.self, func(digest string, evidence bhcrash.Evidence) {
		verdicts = append(verdicts, newVerdict(digest, evidence))
	})
	for _, verdict := range verdicts {
		if err := session.SendMessage(ctx, bhwire.KindVerdict, 0, verdict); err != nil {
			return err
		}
	}
	return nil
}

// beginRun records that a request is about to be sent to the upstream.
func (c *crashReporter) beginRun(upstream *upstream) trackedRun {
	run := trackedRun{reporter: c, upstream: upstream, id: upstream.lastRunID.Add(1)}
	upstream.inflight.Start(run.id)
	return run
}

// trackedRun is one live request that is in flight on an upstream.
type trackedRun struct {
	reporter *crashReporter
	upstream *upstream
	id       uint64
}

func (r trackedRun) finish() { r.upstream.inflight.Finish(r.id) }

// reportCrash records in the request's end frame that the upstream died while
// it ran the request, and reports the crash to all entries. bodyStarted reports
// whether the answer's body had begun.
func (r trackedRun) reportCrash(submit bhwire.Submit, bodyStarted bool, end *bhwire.End) {
	shared := r.upstream.inflight.RecordFailure(r.id)
	alone := submit.Alone || shared == 0
	early := !bodyStarted || shared < suspectAllBelow
	evidence := r.reporter.ledger.RecordCrash(r.reporter.self, submit.Digest, alone, early)
	end.Crashed = true
	end.Shared = shared
	end.Crashes, end.Alone, end.Early = evidence.Crashes, evidence.Alone, evidence.Early
	frame, err := bhwire.Encode(bhwire.KindVerdict, 0, newVerdict(submit.Digest, evidence))
	if err == nil {
		r.reporter.mesh.Broadcast(string(bhconf.RoleEntry), frame)
	}
}

func newVerdict(digest string, evidence bhcrash.Evidence) bhwire.Verdict {
	return bhwire.Verdict{
		Digest:  digest,
		Crashes: evidence.Crashes,
		Alone:   evidence.Alone,
		Early:   evidence.Early,
		Age:     evidence.Age,
	}
}

package bhsidecar

import (
	"context"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// fewRequests is the number of requests beside one that are all suspected of a
// crash, whether or not their answers had begun.
const fewRequests = 4

// crashes counts the requests that ran on an upstream when it died and tells
// all entries at once.
type crashes struct {
	mesh   *bhmesh.Mesh
	self   bhcrash.Source
	ledger *bhcrash.Ledger
}

func newCrashes(mesh *bhmesh.Mesh, self bhcrash.Source) *crashes {
	return &crashes{mesh: mesh, self: self, ledger: bhcrash.NewLedger()}
}

// takeVerdict clears digests that an entry has seen run alone without a crash.
func (c *crashes) takeVerdict(_ bhwire.Hello, frame bhwire.Frame) error {
	verdict, err := bhwire.Decode[bhwire.Verdict](frame)
	if err != nil {
		return err
	}
	if verdict.Crashes == 0 {
		c.ledger.Take(bhcrash.Source{}, verdict.Digest, bhcrash.Evidence{Age: verdict.Age})
	}
	return nil
}

// tell tells an entry whose session has just begun of the crashes that count.
func (c *crashes) tell(ctx context.Context, session *bhlink.Session) error {
	var verdicts []bhwire.Verdict
	c.ledger.Recent(c.self, func(digest string, evidence bhcrash.Evidence) {
		verdicts = append(verdicts, verdictOf(digest, evidence))
	})
	for _, verdict := range verdicts {
		if err := session.SendMessage(ctx, bhwire.KindVerdict, 0, verdict); err != nil {
			return err
		}
	}
	return nil
}

func (c *crashes) enter(upstream *upstream) crashRun {
	run := crashRun{crashes: c, upstream: upstream, id: upstream.runs.Add(1)}
	upstream.watch.Enter(run.id)
	return run
}

// crashRun is one request on an upstream.
type crashRun struct {
	crashes  *crashes
	upstream *upstream
	id       uint64
}

func (r crashRun) leave() { r.upstream.watch.Leave(r.id) }

// crashed records in the request's end that the upstream broke it off, and
// tells all entries. Begun says whether the answer had begun.
func (r crashRun) crashed(submit bhwire.Submit, begun bool, end *bhwire.End) {
	shared := r.upstream.watch.Failed(r.id)
	alone := submit.Alone || shared == 0
	early := !begun || shared < fewRequests
	evidence := r.crashes.ledger.Crash(r.crashes.self, submit.Digest, alone, early)
	end.Crashed = true
	end.Shared = shared
	end.Crashes, end.Alone, end.Early = evidence.Crashes, evidence.Alone, evidence.Early
	frame, err := bhwire.Encode(bhwire.KindVerdict, 0, verdictOf(submit.Digest, evidence))
	if err == nil {
		r.crashes.mesh.Broadcast(string(bhconf.RoleEntry), frame)
	}
}

func verdictOf(digest string, evidence bhcrash.Evidence) bhwire.Verdict {
	return bhwire.Verdict{
		Digest:  digest,
		Crashes: evidence.Crashes,
		Alone:   evidence.Alone,
		Early:   evidence.Early,
		Age:     evidence.Age,
	}
}

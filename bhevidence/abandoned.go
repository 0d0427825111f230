package bhevidence

import (
	"strings"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// Abandoned reports that a request was given up at an upstream that may go on with it. It
// is evidence as soon as something shows that this start of the upstream has ended: the end
// of another request's connection here or at another process, a new connection that is
// refused, or a later start in the list. The permit of a trial is kept until then, or until it
// lapses, so that no further trial runs meanwhile.
func (r *Registry) Abandoned(loss Loss) {
	r.metrics.abandoned.Inc(1)
	r.abandoned.Add(bhcrash.AbandonedRun[Loss]{Upstream: loss.Upstream, Address: loss.Address, Traits: loss.Traits, Run: loss})
}

// Refused reports that a start of an upstream took no connection, because nothing listens at
// its address.
func (r *Registry) Refused(upstream bhcrash.Source) {
	r.recordAbandoned("refused", r.abandoned.EndedBefore(upstream))
}

// recordReplaced records the runs at starts that a later one has replaced in the list.
func (r *Registry) recordReplaced() {
	if r.config.Listed != nil {
		r.recordAbandoned("replaced", r.abandoned.Replaced(r.config.Listed))
	}
}

// recordAbandoned records runs whose upstreams ended some time after they were given up. A
// complete answer to the same request since then shows that it wasn't the cause, so the
// evidence is as old as that.
func (r *Registry) recordAbandoned(shownBy string, runs []bhcrash.AbandonedRun[Loss]) {
	for _, run := range runs {
		if endedAt, ended := r.ledger.EndedAt(run.Upstream); ended && run.Run.SentAt.After(endedAt.Add(restartMargin)) {
			continue // it ran at a later start, which the list showed late
		}
		r.record(remaining(run), run.AbandonedAt, shownBy)
	}
}

// remaining returns the loss of an abandoned run with the traits that aren't cleared.
func remaining(run bhcrash.AbandonedRun[Loss]) Loss {
	loss := run.Run
	loss.Traits = run.Traits
	return loss
}

// recordEnded records the runs at a start that ended at the time.
func (r *Registry) recordEnded(upstream bhcrash.Source, at time.Time, shownBy string) {
	for _, run := range r.abandoned.Ended(upstream, at) {
		if run.Run.SentAt.Before(at) {
			r.record(remaining(run), at, shownBy)
		}
	}
}

// record records that the upstream of the loss ended at the time.
func (r *Registry) record(loss Loss, at time.Time, shownBy string) {
	r.metrics.losses.Inc(1)
	bhlog.Event(r.config.Logger, "crash.recorded", "content", loss.Traits.Content, "prompt", loss.Traits.Prompt, "parts", strings.Join(loss.Traits.Parts, ","),
		"upstream", loss.Upstream.Host, "trial", loss.Permit != nil, "shown_by", shownBy, "sent", time.Since(loss.SentAt))
	var entries []entry
	for _, digest := range loss.Traits.All() {
		e := entry{source: loss.Upstream, digest: digest, test: loss.Permit.testOf(digest, at.Sub(loss.SentAt)), at: at}
		r.ledger.Merge(e.source, e.digest, e.evidence(time.Now()))
		r.endLease(e)
		entries = append(entries, e)
	}
	r.share(entries)
}

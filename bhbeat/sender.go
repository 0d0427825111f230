// Package bhbeat encodes the state of a sidecar as heartbeats of a few bytes,
// each holding only the changes since the previous one, and decodes them.
// bhsidecar sends the heartbeats to the entries, and bhentry receives them.
package bhbeat

import (
	"slices"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// State is the state that a sidecar reports in its heartbeats.
type State struct {
	// Leaving is true if the sidecar refuses new work.
	Leaving bool
	// Config is the version of the configuration in force.
	Config int64
	// Loads holds the loads of all upstreams, in an order that stays the same as
	// long as the set of upstreams does.
	Loads []bhwire.Load
}

// Sender encodes the heartbeats of one session. Its zero value is ready to use.
// It isn't safe for concurrent use.
type Sender struct {
	sentFirst bool
	lastSent  State
}

// Next returns the next heartbeat, which updates the peer's Receiver to state. It
// holds the whole state if it is the first or if the loads changed in more than
// their counters. Otherwise it holds Leaving and Config if one of them changed, or
// else the counters that changed, or nothing. Counters that change together with
// Leaving or Config follow in the next heartbeat. The error is that of
// bhwire.Encode.
func (s *Sender) Next(state State) (bhwire.Frame, error) {
	lastSent, sentFirst := s.lastSent, s.sentFirst
	s.lastSent, s.sentFirst = state.clone(), true
	switch {
	case !sentFirst || !sameExceptCounters(lastSent.Loads, state.Loads):
		return bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{
			Leaving: state.Leaving, Config: state.Config, Whole: true, Loads: state.Loads,
		})
	case lastSent.Leaving != state.Leaving || lastSent.Config != state.Config:
		// Counters that changed too are sent with the next heartbeat.
		s.lastSent.Loads = lastSent.Loads
		return bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Leaving: state.Leaving, Config: state.Config})
	}
	if work := changedCounters(lastSent.Loads, state.Loads); len(work) > 0 {
		return bhwire.Encode(bhwire.KindWork, 0, work)
	}
	return bhwire.Frame{Kind: bhwire.KindBeat}, nil
}

func (s State) clone() State {
	s.Loads = slices.Clone(s.Loads)
	return s
}

// sameExceptCounters reports whether a and b hold the same upstreams in the same
// order, with loads that differ at most in Running, Queued and Work.
func sameExceptCounters(a, b []bhwire.Load) bool {
	return slices.EqualFunc(a, b, func(a, b bhwire.Load) bool {
		return a.Upstream == b.Upstream && a.Group == b.Group && a.Serving == b.Serving &&
			a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
	})
}

func sameCounters(a, b bhwire.Load) bool {
	return a.Running == b.Running && a.Queued == b.Queued && a.Work == b.Work
}

// changedCounters returns a work message with the upstreams whose counters
// changed. Both slices must hold the same upstreams.
func changedCounters(lastSent, current []bhwire.Load) bhwire.Work {
	var work bhwire.Work
	for i, load := range current {
		if !sameCounters(lastSent[i], load) {
			work = append(work, int64(i), int64(load.Running), int64(load.Queued), load.Work)
		}
	}
	return work
}

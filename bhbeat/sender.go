// Package bhbeat turns the state of a sidecar into heartbeats of a few bytes
// and back.
package bhbeat

import (
	"slices"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// State is what a sidecar tells of itself.
type State struct {
	// Leaving says that the sidecar refuses new work.
	Leaving bool
	// Config is the version of the configuration in force.
	Config int64
	// Loads are the loads of all upstreams, in an order that is kept while the
	// upstreams stay the same.
	Loads []bhwire.Load
}

// Sender makes the heartbeats of one session. Its zero value is ready.
type Sender struct {
	begun bool
	last  State
}

// Next returns the heartbeat that brings the peer to state.
func (s *Sender) Next(state State) (bhwire.Frame, error) {
	last, begun := s.last, s.begun
	s.last, s.begun = state.clone(), true
	switch {
	case !begun || !sameShape(last.Loads, state.Loads):
		return bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{
			Leaving: state.Leaving, Config: state.Config, Whole: true, Loads: state.Loads,
		})
	case last.Leaving != state.Leaving || last.Config != state.Config:
		// Numbers that changed besides come with the next heartbeat.
		s.last.Loads = last.Loads
		return bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Leaving: state.Leaving, Config: state.Config})
	}
	if work := difference(last.Loads, state.Loads); len(work) > 0 {
		return bhwire.Encode(bhwire.KindWork, 0, work)
	}
	return bhwire.Frame{Kind: bhwire.KindBeat}, nil
}

func (s State) clone() State {
	s.Loads = slices.Clone(s.Loads)
	return s
}

// sameShape reports whether the loads differ in numbers only.
func sameShape(a, b []bhwire.Load) bool {
	return slices.EqualFunc(a, b, func(a, b bhwire.Load) bool {
		return a.Upstream == b.Upstream && a.Group == b.Group && a.Serving == b.Serving &&
			a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
	})
}

func sameNumbers(a, b bhwire.Load) bool {
	return a.Running == b.Running && a.Queued == b.Queued && a.Work == b.Work
}

// difference lists the upstreams whose numbers changed.
func difference(last, next []bhwire.Load) bhwire.Work {
	var work bhwire.Work
	for i, load := range next {
		if !sameNumbers(last[i], load) {
			work = append(work, int64(i), int64(load.Running), int64(load.Queued), load.Work)
		}
	}
	return work
}

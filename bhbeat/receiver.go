package bhbeat

import (
	"slices"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// integersPerLoad is the number of integers for each upstream in a work message:
// its index in State.Loads, Running, Queued and Work.
const integersPerLoad = 4

// Receiver decodes the heartbeats of one session. Its zero value is ready to use.
// It isn't safe for concurrent use.
type Receiver struct {
	state State
}

// Apply applies a heartbeat. It returns the state of the sender as of this
// heartbeat, and the loads that the heartbeat changed; these are all loads if it
// carries the whole state. The error carries FrameInvalid.
func (r *Receiver) Apply(frame bhwire.Frame) (State, []bhwire.Load, error) {
	if frame.Kind == bhwire.KindWork {
		changed, err := r.applyWork(frame)
		return r.state, changed, err
	}
	if len(frame.Body) == 0 {
		return r.state, nil, nil
	}
	beat, err := bhwire.Decode[bhwire.Beat](frame)
	if err != nil {
		return r.state, nil, err
	}
	r.state.Leaving, r.state.Config = beat.Leaving, beat.Config
	if !beat.Whole {
		return r.state, nil, nil
	}
	r.state.Loads = beat.Loads
	return r.state, slices.Clone(beat.Loads), nil
}

// applyWork applies a work message to the loads and returns the changed ones.
func (r *Receiver) applyWork(frame bhwire.Frame) ([]bhwire.Load, error) {
	work, err := bhwire.Decode[bhwire.Work](frame)
	if err != nil {
		return nil, err
	}
	if len(work)%integersPerLoad != 0 {
		return nil, bhcode.New(bhcode.FrameInvalid, "work of %d integers", len(work))
	}
	var changed []bhwire.Load
	for fields := range slices.Chunk(work, integersPerLoad) {
		index := fields[0]
		if index < 0 || index >= int64(len(r.state.Loads)) {
			return nil, bhcode.New(bhcode.FrameInvalid, "work of upstream %d of %d", index, len(r.state.Loads))
		}
		load := &r.state.Loads[index]
		load.Running, load.Queued, load.Work = int(fields[1]), int(fields[2]), fields[3]
		changed = append(changed, *load)
	}
	return changed, nil
}

package bhbeat

import (
	"slices"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// workFields is the number of integers for each upstream in a work message.
const workFields = 4

// Receiver follows the heartbeats of one session. Its zero value is ready.
type Receiver struct {
	state State
}

// Take takes in a heartbeat. It returns the state that the sender told and the
// loads that the heartbeat changed, all of them for a whole one. The error
// carries FrameInvalid.
func (r *Receiver) Take(frame bhwire.Frame) (State, []bhwire.Load, error) {
	if frame.Kind == bhwire.KindWork {
		changed, err := r.work(frame)
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

func (r *Receiver) work(frame bhwire.Frame) ([]bhwire.Load, error) {
	work, err := bhwire.Decode[bhwire.Work](frame)
	if err != nil {
		return nil, err
	}
	if len(work)%workFields != 0 {
		return nil, bhcode.New(bhcode.FrameInvalid, "work of %d integers", len(work))
	}
	var changed []bhwire.Load
	for fields := range slices.Chunk(work, workFields) {
		place := fields[0]
		if place < 0 || place >= int64(len(r.state.Loads)) {
			return nil, bhcode.New(bhcode.FrameInvalid, "work of upstream %d of %d", place, len(r.state.Loads))
		}
		load := &r.state.Loads[place]
		load.Running, load.Queued, load.Work = int(fields[1]), int(fields[2]), fields[3]
		changed = append(changed, *load)
	}
	return changed, nil
}

package bhjob

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhshare"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxCallers bounds the callers in a Room, which travels in one datagram.
const maxCallers = 32

// decodeReserve returns whose request a reserve frame announces: an unknown account's if
// the frame has no body, as those of older versions, or one that can't be read.
func (r *Runner) decodeReserve(frame bhwire.Frame) bhwire.Reserve {
	if len(frame.Body) == 0 {
		return bhwire.Reserve{Account: bhshare.Unknown}
	}
	announced, err := bhwire.Decode[bhwire.Reserve](frame)
	if err != nil {
		bhlog.Trace(r.config.Logger, "reserve.invalid", "err", err)
		return bhwire.Reserve{Account: bhshare.Unknown}
	}
	return announced
}

// oldest returns how long ago the oldest of the engine's live requests was announced if
// they leave no slot to others; zero if that isn't known. The caller holds r.mu.
func (r *Runner) oldest(live int, now time.Duration) time.Duration {
	if r.slots == 0 || live < r.slots {
		return 0
	}
	announcedAt, ok := r.callers.Oldest(live)
	if !ok {
		return 0
	}
	return now - announcedAt
}

// contenders returns whose the engine's live requests are if they leave no slot to
// others. The caller holds r.mu.
func (r *Runner) contenders(live int) []bhwire.Caller {
	if r.slots == 0 || live < r.slots {
		return nil
	}
	known := r.callers.Callers(live)
	callers := make([]bhwire.Caller, 0, min(len(known), maxCallers))
	for _, caller := range known[:min(len(known), maxCallers)] {
		callers = append(callers, bhwire.Caller{Account: caller.Account, Priority: caller.Priority, Live: caller.Live})
	}
	return callers
}

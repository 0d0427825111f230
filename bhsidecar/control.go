package bhsidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhbeat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlink"
)

// applySnapshots applies each configuration snapshot that comes into force,
// until ctx is done.
func (s *Sidecar) applySnapshots(ctx context.Context) error {
	for {
		changed := s.configStore.Watch()
		if snapshot := s.configStore.Current(); snapshot != nil {
			s.upstreams.configure(snapshot)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// sendHeartbeats sends a heartbeat on a control session at each
// heartbeatInterval, and one as soon as the host starts to leave, until the
// session or ctx ends.
func (s *Sidecar) sendHeartbeats(ctx context.Context, session *bhlink.Session) error {
	var sender bhbeat.Sender
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	leaveStarted := s.leaveStarted
	for {
		frame, err := sender.Next(s.heartbeatState())
		if err != nil {
			return err
		}
		if err := session.Send(ctx, frame); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-leaveStarted:
			leaveStarted = nil
		case <-session.Done():
			return bhcode.New(bhcode.LinkLost, "session ended")
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// heartbeatState returns the state that heartbeats report.
func (s *Sidecar) heartbeatState() bhbeat.State {
	state := bhbeat.State{Leaving: s.leaving.Load(), Config: s.configStore.Version()}
	for _, upstream := range s.upstreams.list() {
		state.Loads = append(state.Loads, upstream.load())
	}
	return state
}

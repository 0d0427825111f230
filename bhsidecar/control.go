package bhsidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhbeat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlink"
)

// configure applies each version of the configuration that comes into force.
func (s *Sidecar) configure(ctx context.Context) error {
	for {
		changed := s.store.Watch()
		if now := s.store.Current(); now != nil {
			s.upstreams.configure(now)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// beat sends heartbeats on one control session until it ends.
func (s *Sidecar) beat(ctx context.Context, session *bhlink.Session) error {
	var sender bhbeat.Sender
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	left := s.left
	for {
		frame, err := sender.Next(s.state())
		if err != nil {
			return err
		}
		if err := session.Send(ctx, frame); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-left:
			left = nil
		case <-session.Done():
			return bhcode.New(bhcode.LinkLost, "session ended")
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// state returns what heartbeats tell of this sidecar.
func (s *Sidecar) state() bhbeat.State {
	state := bhbeat.State{Leaving: s.leaving.Load(), Config: s.store.Version()}
	for _, upstream := range s.upstreams.list() {
		state.Loads = append(state.Loads, upstream.load())
	}
	return state
}

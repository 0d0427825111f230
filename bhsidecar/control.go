package bhsidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// takeConfig puts a configuration from an entry in force.
func (s *Sidecar) takeConfig(_ bhwire.Hello, frame bhwire.Frame) error {
	message, err := bhwire.Decode[bhwire.Config](frame)
	if err != nil {
		return err
	}
	if _, err := s.store.Apply(message); err != nil {
		return err
	}
	if now := s.store.Current(); now != nil {
		s.upstreams.configure(now)
	}
	return nil
}

// heart sends heartbeats on one control session.
type heart struct {
	sidecar *Sidecar
	link    *bhlink.Session
	sent    map[string]bhwire.Load
}

func (s *Sidecar) beat(ctx context.Context, session *bhlink.Session) error {
	heart := &heart{sidecar: s, link: session, sent: make(map[string]bhwire.Load)}
	return heart.beats(ctx)
}

func (h *heart) beats(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	left := h.sidecar.left
	for count := uint64(1); ; count++ {
		if err := h.link.SendMessage(ctx, bhwire.KindBeat, 0, h.next(count)); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-left:
			left = nil
		case <-h.link.Done():
			return bhcode.New(bhcode.LinkLost, "session ended")
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// next returns the next heartbeat, with the loads that changed.
func (h *heart) next(count uint64) bhwire.Beat {
	beat := bhwire.Beat{
		Count:   count,
		Leaving: h.sidecar.leaving.Load(),
		Config:  h.sidecar.store.Version(),
	}
	for _, upstream := range h.sidecar.upstreams.list() {
		load := upstream.load()
		if sent, ok := h.sent[load.Upstream]; ok && sameLoad(sent, load) {
			continue
		}
		h.sent[load.Upstream] = load
		beat.Loads = append(beat.Loads, load)
	}
	return beat
}

func sameLoad(a, b bhwire.Load) bool {
	return a.Serving == b.Serving && a.Slots == b.Slots && a.Running == b.Running &&
		a.Queued == b.Queued && a.Work == b.Work && slices.Equal(a.Models, b.Models)
}

package bhgate

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// patience ends an attempt at an upstream that is silent for too long. A nil
// patience waits for ever.
type patience struct {
	timer *time.Timer
	limit time.Duration
}

// newPatience returns the patience for one attempt of the call: nil if no other
// upstream may be tried.
func (c *call) newPatience(cancel context.CancelFunc) *patience {
	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts {
		return nil
	}
	limit := streamPatience
	if c.route.Kind == bhpolicy.Safe {
		limit = max(minPatience, patienceShare*c.route.Target)
		limit = min(limit, time.Until(c.expires)/2)
	}
	return &patience{timer: time.AfterFunc(limit, cancel), limit: limit}
}

// touch notes a sign of life.
func (p *patience) touch() {
	if p != nil {
		p.timer.Reset(p.limit)
	}
}

func (p *patience) stop() {
	if p != nil {
		p.timer.Stop()
	}
}

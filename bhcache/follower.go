package bhcache

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// PathEvents is where engines publish cache events.
	PathEvents = "/events"

	kindStore    = "store"
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
	maxReply     = 4 << 20
)

// event is a cache event of an engine.
type event struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
}

// reply is an engine's answer; numbers begin anew with each epoch.
type reply struct {
	Epoch  int     `json:"epoch"`
	Events []event `json:"events"`
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// URL is the engine's base URL.
	URL string
	// Client asks the engine.
	Client *http.Client
	// Log takes the changes.
	Log *Log
}

// Follower copies an engine's cache events into a Log, sampled, and marks
// where events are missing.
type Follower struct {
	config FollowerConfig
	epoch  int
	seen   uint64
	known  bool
}

// NewFollower returns a follower that has seen nothing.
func NewFollower(config FollowerConfig) *Follower { return &Follower{config: config} }

// Run polls the engine until ctx is done. An engine without events or that is
// away is asked again.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		answer, err := f.ask(ctx)
		if err == nil {
			f.take(answer)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// take adds the events of an answer to the log.
func (f *Follower) take(answer reply) {
	if !f.known || answer.Epoch != f.epoch {
		f.config.Log.Add(Change{Gap: true})
		f.epoch, f.seen, f.known = answer.Epoch, 0, true
	}
	for _, event := range answer.Events {
		if event.Seq <= f.seen {
			continue
		}
		if event.Seq != f.seen+1 {
			f.config.Log.Add(Change{Gap: true})
		}
		f.seen = event.Seq
		if Sampled(event.Block) {
			f.config.Log.Add(Change{Hash: event.Block, Stored: event.Kind == kindStore})
		}
	}
}

func (f *Follower) ask(ctx context.Context) (reply, error) {
	var answer reply
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	url := f.config.URL + PathEvents + "?after=" + strconv.FormatUint(f.seen, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	response, err := f.config.Client.Do(request)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("events: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&answer)
	return answer, errors.Wrap(err, "events")
}

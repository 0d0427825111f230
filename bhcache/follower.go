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
	// PathEvents is the path at which engines publish their prefix cache events.
	PathEvents = "/events"

	kindStore     = "store"
	pollInterval  = 500 * time.Millisecond
	pollTimeout   = 2 * time.Second
	maxReplyBytes = 4 << 20
)

// cacheEvent is one prefix cache event of an engine. Block is the block's hash.
type cacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
}

// eventsReply is an engine's response with cache events. Sequence numbers start
// again with each epoch.
type eventsReply struct {
	Epoch  int          `json:"epoch"`
	Events []cacheEvent `json:"events"`
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// URL is the engine's base URL.
	URL string
	// Client sends the requests to the engine.
	Client *http.Client
	// Log receives the changes.
	Log *Log
}

// Follower polls an engine's prefix cache events and adds the sampled ones to a
// Log. It adds a gap where events are missing.
type Follower struct {
	config FollowerConfig
	epoch  int
	// lastSeq is the sequence number of the last event processed in this epoch.
	lastSeq uint64
	// epochKnown is false until the first response of the engine.
	epochKnown bool
}

// NewFollower returns a follower that has not processed any events.
func NewFollower(config FollowerConfig) *Follower { return &Follower{config: config} }

// Run polls the engine every 500 ms until ctx is done and then returns nil. If a
// request fails, because the engine is unreachable or doesn't publish events, Run
// tries again at the next poll.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		reply, err := f.fetchEvents(ctx)
		if err == nil {
			f.apply(reply)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// apply adds the sampled events of a reply to the log and skips events that it
// has already processed. It adds a gap at the first reply, for a new epoch and
// where sequence numbers are missing.
func (f *Follower) apply(reply eventsReply) {
	if !f.epochKnown || reply.Epoch != f.epoch {
		f.config.Log.Add(Change{Gap: true})
		f.epoch, f.lastSeq, f.epochKnown = reply.Epoch, 0, true
	}
	for _, event := range reply.Events {
		if event.Seq <= f.lastSeq {
			continue
		}
		if event.Seq != f.lastSeq+1 {
			f.config.Log.Add(Change{Gap: true})
		}
		f.lastSeq = event.Seq
		if Sampled(event.Block) {
			f.config.Log.Add(Change{Hash: event.Block, Stored: event.Kind == kindStore})
		}
	}
}

// fetchEvents requests the events after lastSeq from the engine.
func (f *Follower) fetchEvents(ctx context.Context) (eventsReply, error) {
	var reply eventsReply
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	url := f.config.URL + PathEvents + "?after=" + strconv.FormatUint(f.lastSeq, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return reply, errors.WithStack(err)
	}
	response, err := f.config.Client.Do(request)
	if err != nil {
		return reply, errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, errors.Errorf("engine answered the cache events request with status %d, expected 200", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply)
	return reply, errors.Wrap(err, "events")
}

package bhload

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// Run puts the load on the entry at the base URL and returns once every request
// has ended. When ctx ends, no more requests are sent and those that run are
// cancelled.
func Run(ctx context.Context, base string, config Config) Result {
	client := newClient(base, time.Duration(config.Timeout))
	defer client.http.CloseIdleConnections()
	recorder := newRecorder()
	start := time.Now()
	var group sync.WaitGroup
	for index := range config.Accounts {
		group.Go(func() { send(ctx, client, recorder, NewSchedule(config, index), start) })
	}
	group.Wait()
	result := recorder.result()
	result.Seed = config.Seed
	result.Elapsed = bhconf.Duration(time.Since(start))
	return result
}

// send sends one account's requests when they are due, whatever became of the
// earlier ones.
func send(ctx context.Context, client *client, recorder *recorder, schedule *Schedule, start time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		request, ok := schedule.Next()
		if !ok {
			return
		}
		due := start.Add(request.At)
		if !sleepUntil(ctx, due) {
			return
		}
		group.Go(func() { recorder.add(request, client.do(ctx, request, due)) })
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

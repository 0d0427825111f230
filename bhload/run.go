package bhload

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Run puts the load on the targets, in turn, and returns once
// every request has ended. It calls sent, if not nil, when the last request has been sent.
// When ctx ends, no more requests are sent and those that run are cancelled.
func Run(ctx context.Context, targets []Target, config Config, sent func()) Result {
	client := newClient(targets, time.Duration(config.Timeout))
	defer client.close()
	var watching sync.WaitGroup
	watched, stop := context.WithCancel(ctx)
	watching.Go(func() { client.balancer.watch(watched) })
	defer watching.Wait()
	defer stop()
	recorder := newRecorder()
	start := time.Now()
	var senders, requests sync.WaitGroup
	for index := range config.Accounts {
		senders.Go(func() {
			send(ctx, NewSchedule(config, index), start, func(request Request, due time.Time) {
				requests.Go(func() { recorder.add(request, client.do(ctx, request, due)) })
			})
		})
	}
	senders.Wait()
	if sent != nil {
		sent()
	}
	requests.Wait()
	result := recorder.result()
	result.Seed = config.Seed
	result.Elapsed = bhconf.Duration(time.Since(start))
	return result
}

// send starts one account's requests when they are due, whatever became of the
// earlier ones.
func send(ctx context.Context, schedule *Schedule, begin time.Time, start func(Request, time.Time)) {
	for {
		request, ok := schedule.Next()
		if !ok {
			return
		}
		due := begin.Add(request.At)
		if !bhtree.Sleep(ctx, time.Until(due)) {
			return
		}
		start(request, due)
	}
}

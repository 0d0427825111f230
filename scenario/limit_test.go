package scenario

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	floodWorkers = 4
	floodPause   = 5 * time.Millisecond
	floodTimeout = 30 * time.Second
)

// flood sends requests for one account to several entries at once.
type flood struct {
	rate    float64
	stop    context.CancelFunc
	workers sync.WaitGroup

	mu       sync.Mutex
	accepted []span
}

// span is a time within which a request was admitted.
type span struct{ from, to time.Time }

var floods sync.Map

// floodCommand starts a flood on the path of each URL.
func floodCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 10, "flood RATE URL...")
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	ctx, stop := context.WithCancel(context.Background())
	f := &flood{rate: rate, stop: stop}
	floods.Store(worldOf(ts), f)
	for _, url := range args[1:] {
		for range floodWorkers {
			f.workers.Go(func() { f.send(ctx, url) })
		}
	}
	ts.Defer(f.end)
}

// boundedCommand waits until more requests were admitted, ends the flood and
// checks that no window of time admitted more than a burst of one second's
// rate and the rate times its length.
func boundedCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, 1, "bounded COUNT")
	more, err := strconv.Atoi(args[0])
	ts.Check(err)
	value, _ := floods.Load(worldOf(ts))
	f, ok := value.(*flood)
	if !ok {
		ts.Fatalf("no flood")
	}
	want := f.count() + more
	if !until(func() bool { return f.count() >= want }) {
		ts.Fatalf("%d of %d requests admitted", f.count(), want)
	}
	f.end()
	for _, first := range f.accepted {
		for _, last := range f.accepted {
			if last.to.Before(first.from) {
				continue
			}
			count := f.within(first.from, last.to)
			bound := f.rate + f.rate*last.to.Sub(first.from).Seconds()
			if float64(count) > bound+1e-6 {
				ts.Fatalf("%d requests admitted within %s", count, last.to.Sub(first.from))
			}
		}
	}
}

func (f *flood) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.accepted)
}

func (f *flood) end() {
	f.stop()
	f.workers.Wait()
}

// within counts the requests that were certainly admitted between two times.
func (f *flood) within(from, to time.Time) int {
	count := 0
	for _, s := range f.accepted {
		if !s.from.Before(from) && !s.to.After(to) {
			count++
		}
	}
	return count
}

func (f *flood) send(ctx context.Context, url string) {
	client := &http.Client{Timeout: floodTimeout, Transport: &http.Transport{}}
	for ctx.Err() == nil {
		from := time.Now()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/bookings/list", nil)
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+keyZoo)
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.note(span{from: from, to: time.Now()})
			}
		}
		time.Sleep(floodPause)
	}
}

func (f *flood) note(s span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, s)
}

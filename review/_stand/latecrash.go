package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	statusPrefix = "/status/"
	appService   = "roster-app"
	appSlots     = 6
	appWorkers   = 4
	// appTime is the time of a sound request.
	appTime = 60 * time.Millisecond
	// awayTime is how long a worker is away after it has crashed.
	awayTime = 2 * time.Second
	// crashAfter is the time from the begin of a lethal request to the end of its worker.
	crashAfter = 800 * time.Millisecond
	lethalBody = "lethal"
	// lethalGap is the time between two attempts of the client of the lethal request.
	lethalGap  = 1500 * time.Millisecond
	lethalTime = 60 * time.Second
	// stabilityWindow and maxLethal are the bounds of the rule.
	stabilityWindow = 3 * time.Second
	maxLethal       = 3
)

// app is a plain worker, which goes on with a request after its channel was closed.
type app struct {
	fleet   *fleet
	address string
	lethal  bool
	delay   time.Duration

	mu     sync.Mutex
	id     string
	server *http.Server
	stop   chan struct{}
	runs   []time.Time
	ends   []time.Time
}

// newApp starts a worker on a new host. If lethal is set, lethal requests end it.
func newApp(f *fleet, lethal bool, delay time.Duration) (*app, error) {
	f.hosts++
	a := &app{fleet: f, address: f.address(f.hosts, workerPort), lethal: lethal, delay: delay}
	return a, a.start()
}

// start begins a new boot of the worker.
func (a *app) start() error {
	listener, err := net.Listen("tcp", a.address)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.id, a.stop = fmt.Sprintf("i-%08x", rand.Uint32()), make(chan struct{})
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(a.server)
	go a.report(a.id, time.Now().UnixMilli(), a.stop)
	return nil
}

// report writes the entry of one boot until that ends, and removes it when it has expired.
func (a *app) report(id string, born int64, stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		_ = a.fleet.store.put("servers", id, map[string]any{
			"service": appService, "address": a.address, "zone": "z", "version": "v1", "slots": appSlots,
			"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born,
		})
		select {
		case <-stop:
			time.Sleep(entryTimeout)
			_ = a.fleet.store.remove("servers", id)
			return
		case <-ticker.C:
		}
	}
}

// crash ends the boot with the ID, and all requests that it has. The worker is back later.
func (a *app) crash(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.id != id {
		return
	}
	a.fleet.log.note("worker %s crashes", id)
	a.id = ""
	a.ends = append(a.ends, time.Now())
	close(a.stop)
	_ = a.server.Close()
	time.AfterFunc(awayTime, func() { _ = a.start() })
}

// ServeHTTP implements http.Handler.
func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	a.mu.Lock()
	id := a.id
	a.mu.Unlock()
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if err != nil || id == "" {
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if string(body) == lethalBody {
		a.fleet.log.note("%s runs the lethal request %s", id, request)
		a.mu.Lock()
		a.runs = append(a.runs, time.Now())
		a.mu.Unlock()
		time.Sleep(a.delay) // whether the channel is still open or not
		if a.lethal {
			a.crash(id)
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(appTime)
	w.Header().Set("X-Response-Signature", "signed."+id+"."+request)
	_, _ = io.WriteString(w, strings.Repeat("status ", 100))
}

// playLateCrash has a client send a safe request again and again that crashes each worker
// some time after it has begun, although the gateway has turned to another worker before.
func playLateCrash(f *fleet, trouble bool) ([]string, error) {
	delay := crashAfter
	if text := os.Getenv("REVIEW_CRASH_AFTER"); text != "" {
		var err error
		if delay, err = time.ParseDuration(text); err != nil {
			return nil, err
		}
	}
	config := configuration(2, map[string]any{
		"name": "r-status", "host": callerHost, "prefix": statusPrefix, "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2,
		"service": appService, "maxAttempts": 3, "public": false,
	})
	config["services"] = append(config["services"].([]map[string]any), map[string]any{"name": appService, "healthPath": "/health", "connectionLimit": 110})
	if err := startFleet(f); err != nil {
		return nil, err
	}
	if err := f.configure(config); err != nil {
		return nil, err
	}
	var apps []*app
	for range appWorkers {
		a, err := newApp(f, trouble, delay)
		if err != nil {
			return nil, err
		}
		apps = append(apps, a)
	}
	time.Sleep(2 * heartbeat)
	zoo := &client{fleet: f, host: callerHost, key: "zoo-key-1"}
	for end, i := time.Now().Add(lethalTime), 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("1e7a%012x", i)
		go func(sender client) {
			status, _, err := sender.call(http.MethodPost, statusPrefix+"77", id, []byte(lethalBody))
			f.log.note("lethal request %s is answered %d, error %v", id, status, err)
		}(*zoo)
		zoo.calls++
		time.Sleep(lethalGap)
	}
	time.Sleep(callTimeout)
	return countLethal(f, apps), nil
}

// countLethal returns a breach if the lethal request has reached workers too often after it
// has crashed three.
func countLethal(f *fleet, apps []*app) []string {
	var ends, runs []time.Time
	for _, a := range apps {
		a.mu.Lock()
		ends, runs = append(ends, a.ends...), append(runs, a.runs...)
		a.mu.Unlock()
	}
	sortTimes(ends)
	f.log.note("the lethal request reached workers %d times and crashed %d", len(runs), len(ends))
	if len(ends) < maxLethal {
		return nil
	}
	late := 0
	for _, at := range runs {
		if at.After(ends[maxLethal-1].Add(stabilityWindow)) {
			late++
		}
	}
	if late <= maxLethal {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: a request that crashes the workers that run it reached workers %d times later than %s after it had crashed the third, %d are allowed", late, stabilityWindow, maxLethal)}
}

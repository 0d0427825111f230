package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	talkPrefix = "/talk/"
	// upTime is how long the gateways have run when the streams begin: longer than twice the
	// route's time limit.
	upTime = 13 * time.Second
	// streamLimit is the client's time limit for a stream, which takes itemEvents events.
	streamLimit = 5 * time.Second
	streams     = 8
	// killAfter is how long the streams have run when a gateway is killed.
	killAfter = 600 * time.Millisecond
	// firstGateway is the host of the gateway that the clients reach first.
	firstGateway = 2
)

// playSplitStream kills the gateway that relays streams of a resumable route which is split
// between two services with different versions. The clients take the streams up at the other
// gateway.
func playSplitStream(f *fleet, trouble bool) ([]string, error) {
	if err := startFleet(f, draftEngine, draftEngine, askEngine, askEngine); err != nil {
		return nil, err
	}
	if err := f.configure(configuration(2, map[string]any{
		"name": "r-talk", "host": callerHost, "prefix": talkPrefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
		"trafficSplit": []map[string]any{{"service": draftEngine, "weight": 50}, {"service": askEngine, "weight": 50}},
		"maxAttempts":  2, "public": false, "resumable": true, "gapTargetMs": 250,
	})); err != nil {
		return nil, err
	}
	time.Sleep(upTime - startTime)
	taken := make([]*talk, streams)
	var clients sync.WaitGroup
	for i := range taken {
		taken[i] = &talk{fleet: f, id: fmt.Sprintf("7a1c%012x", i)}
		clients.Go(taken[i].run)
	}
	if trouble {
		time.Sleep(killAfter)
		if err := f.kill("gateway", firstGateway); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	var breaches []string
	complete := 0
	for _, t := range taken {
		f.log.note("stream %s: complete %v, %d events, taken up after %d: %s", t.id, t.complete, len(t.text), t.takenUpAfter, t.summary())
		if t.complete {
			complete++
		}
		if old, new := t.count("v1-"), t.count("v2-"); old > 0 && new > 0 {
			breaches = append(breaches, fmt.Sprintf("ORDER: the text of stream %s is joined from two versions: %s", t.id, t.summary()))
		}
	}
	if !trouble && complete == 0 {
		return nil, fmt.Errorf("no stream was complete")
	}
	return breaches, nil
}

// talk is one stream of a client, with its take-up.
type talk struct {
	fleet *fleet
	id    string

	text         []string
	takenUpAfter int
	complete     bool
}

// run asks for the stream, and takes it up once its channel has broken, until the client's
// time limit.
func (t *talk) run() {
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	for attempt := 0; ctx.Err() == nil && !t.complete; attempt++ {
		gateway := t.fleet.gateways[min(attempt, len(t.fleet.gateways)-1)]
		if attempt > 0 {
			t.takenUpAfter = len(t.text)
		}
		status, err := t.receive(ctx, gateway, fmt.Sprintf("%02x%s", attempt, t.id[2:]))
		t.fleet.log.note("stream %s, attempt %d: status %d, %d events so far, error %v", t.id, attempt, status, len(t.text), err)
		if !t.complete {
			time.Sleep(retryDelay / 2)
		}
	}
}

// receive makes one attempt, after the last event that the client has.
func (t *talk) receive(ctx context.Context, gateway, id string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+talkPrefix+t.id, bytes.NewReader([]byte(t.id)))
	if err != nil {
		return 0, err
	}
	deadline, _ := ctx.Deadline()
	request.Host = callerHost
	request.Header.Set("Authorization", "Token zoo-key-1")
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	if len(t.text) > 0 {
		request.Header.Set("Last-Event-Id", fmt.Sprint(len(t.text)))
	}
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := caller.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			t.text = append(t.text, data)
		}
	}
	t.complete = lines.Err() == nil
	return response.StatusCode, lines.Err()
}

// count returns how many events of the text begin with the prefix.
func (t *talk) count(prefix string) int {
	count := 0
	for _, word := range t.text {
		if strings.HasPrefix(word, prefix) {
			count++
		}
	}
	return count
}

// summary returns the first and the last event, and those where the stream was taken up.
func (t *talk) summary() string {
	if len(t.text) == 0 {
		return "no event"
	}
	words := []string{t.text[0]}
	if t.takenUpAfter > 0 && t.takenUpAfter < len(t.text) {
		words = append(words, t.text[t.takenUpAfter-1], t.text[t.takenUpAfter])
	}
	return strings.Join(append(words, t.text[len(t.text)-1]), " .. ")
}

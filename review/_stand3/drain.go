package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	drainPause = 10 * time.Millisecond
	// usualEvents and longEvents are the lengths of streams: of 0.3 s and 4.2 s.
	usualEvents = 30
	longEvents  = 420
	// graceS is that of the settings.
	grace = 8 * time.Second
)

// channel is a client's channel, which it keeps.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(front string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	endAt  time.Time
	status int
	events int
	closes bool
	// whole reports that the answer was complete.
	whole bool
	err   error
}

// stream sends a request for a stream of tokens and reads the answer.
func (c *channel) stream(id, path string, tokens int) answer {
	return c.streamAs("key-first", id, path, tokens)
}

// streamAs is stream with the key.
func (c *channel) streamAs(key, id, path string, tokens int) answer {
	result := answer{id: id, sentAt: time.Now()}
	_, result.err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: chat.example\r\nAuthorization: Token %s\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: 5000\r\nX-Model: m\r\nX-Token-Count: 100,%d\r\nX-Prompt-Prefix: 5d07b8:50,%s:50\r\nContent-Length: 2\r\n\r\nhi", path, key, id, tokens, id)
	if result.err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		var response *http.Response
		response, result.err = http.ReadResponse(c.reader, nil)
		if result.err == nil {
			result.status, result.closes = response.StatusCode, response.Close
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				if line := lines.Text(); len(line) > 3 && line[:3] == "id:" {
					result.events++
				}
			}
			result.err = lines.Err()
			_, _ = io.Copy(io.Discard, response.Body)
		}
	}
	result.endAt, result.whole = time.Now(), result.err == nil
	return result
}

// drain stops a gateway while clients use channels that they keep, and looks whether answers break off.
func drain(f *Fleet, trouble bool) (bool, error) {
	f.Store.Put("op", "", "config", map[string]any{
		"version": 1, "limits": limits(), "services": []any{engineService("llm", 8)},
		"routes": []any{map[string]any{
			"name": "r-chat", "host": "chat.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
			"maxAttempts": 1, "priority": 0, "service": "llm", "public": false, "sessionAffinity": true, "resumable": false, "gapTargetMs": 250,
		}},
		"tenants": []any{map[string]any{"name": "first", "apiKeys": []string{"key-first"}}},
	})
	for n := range 2 {
		if _, err := StartWorker(WorkerConfig{
			Name: fmt.Sprintf("i-%d", n), Service: "llm", Address: f.App(n), Zone: "zone-a", Slots: 8, Queue: 24, Weights: 1, Store: f.Store,
			Events: func(r *http.Request) (int, time.Duration) {
				var in, out int
				_, _ = fmt.Sscanf(r.Header.Get("X-Token-Count"), "%d,%d", &in, &out)
				return out, drainPause
			},
		}); err != nil {
			return false, err
		}
		if _, err := f.Runner(n); err != nil {
			return false, err
		}
	}
	gateway, err := f.Gateway(0)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	// One stream in 120 is a long one.
	warm := make(chan answer)
	for client := range 4 {
		go func() {
			c, err := openChannel(f.Front(0))
			for i := range 60 {
				tokens := usualEvents
				if i == 10 && client < 2 {
					tokens = longEvents
				}
				if err != nil {
					warm <- answer{err: err}
					continue
				}
				warm <- c.stream(fmt.Sprintf("%04x%04x", client+1, i), "/chat/1", tokens)
			}
		}()
	}
	bad := 0
	for range 240 {
		if result := <-warm; !result.whole || result.status != http.StatusOK {
			bad++
			f.Logf("before the stop: %s status %d, %d events, %v", result.id, result.status, result.events, result.err)
		}
	}
	f.Logf("240 streams before the stop, %d of them not served", bad)

	const kept = 6
	var channels []*channel
	for i := range kept {
		c, err := openChannel(f.Front(0))
		if err != nil {
			return false, err
		}
		if result := c.stream(fmt.Sprintf("a000%04x", i), "/chat/1", usualEvents); !result.whole || result.closes {
			return false, fmt.Errorf("channel %d isn't kept: %+v", i, result)
		}
		channels = append(channels, c)
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		f.Signal(gateway, syscall.SIGTERM)
	}
	answers := make([]answer, kept)
	var group sync.WaitGroup
	for i, c := range channels {
		group.Go(func() {
			// From 3.05 s to 3.3 s after the signal, on channels that the gateway hasn't closed.
			time.Sleep(time.Until(stopped.Add(3050*time.Millisecond + time.Duration(i)*50*time.Millisecond)))
			answers[i] = c.stream(fmt.Sprintf("b000%04x", i), "/chat/1", longEvents)
		})
	}
	group.Wait()
	broken := 0
	for _, result := range answers {
		sent := result.sentAt.Sub(stopped)
		took := result.endAt.Sub(result.sentAt)
		f.Logf("stream %s of %d events: sent %.2f s after the signal, status %d, %d events in %.2f s, whole %v, %v",
			result.id, longEvents, sent.Seconds(), result.status, result.events, took.Seconds(), result.whole, result.err)
		// LOST: passed on to a worker, without a complete answer, within graceS + 1 s, before the time limit and
		// the route's timeout of 5 s, sent later than 3 s after the signal.
		if !result.whole && result.events > 0 && sent > 3*time.Second && took < 4900*time.Millisecond && result.endAt.Sub(stopped) < grace+time.Second {
			broken++
		}
	}
	f.Logf("%d answers broke off in the planned stop", broken)
	return broken > 0, nil
}

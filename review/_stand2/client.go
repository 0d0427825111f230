package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Names of the installation that the cases play.
const (
	host        = "ficu95.example"
	batchPrefix = "/pule252/"
	key         = "2b9wu3fexd9dnn2ctnfz"
	tenant      = "huka270"
	service     = "kupo11a"
)

// item is one item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newItems returns items with 350 prompt tokens and the number of output tokens.
func newItems(count, out int) []item {
	shared := fmt.Sprintf("%08x", rand.Uint32())
	var items []item
	for range count {
		id := newID()
		items = append(items, item{
			ID: id, Path: batchPrefix + "3/" + id[:4],
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("350,%d", out), "X-Prompt-Prefix": shared + ":100," + id[:8] + ":250"},
			Body:    base64.StdEncoding.EncodeToString([]byte("item " + id)), Tokens: 350 + out,
		})
	}
	return items
}

// answer is what a client got for one attempt; status 0 stands for none.
type answer struct {
	status     int
	retryAfter time.Duration
	body       []byte
}

// call makes one attempt on a new channel, as clients do, and waits for the time limit at most.
func call(front, method, path, id string, body []byte, limit time.Duration) answer {
	request, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: limit + time.Second}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{status: response.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second)), body: data}
}

// submit sends a job and repeats it until it is accepted, four times at most.
func (w *world) submit(front, job string, items []item) bool {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		w.fail("%s", err)
	}
	for range 4 {
		got := call(front, http.MethodPost, batchPrefix+job[:6], job, body, 4*time.Second)
		w.note("client: job %+q with %d items is sent: %d", job, len(items), got.status)
		if got.status == http.StatusAccepted {
			return true
		}
		time.Sleep(max(got.retryAfter, 100*time.Millisecond))
	}
	return false
}

// page is the answer to a read of results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads the job's results from the position on.
func read(front, job string, after int) (page, int) {
	var got page
	reply := call(front, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), newID(), nil, 4*time.Second)
	if reply.status == http.StatusOK && json.Unmarshal(reply.body, &got) != nil {
		return got, 0
	}
	return got, reply.status
}

// configure writes the configuration: one batch route and one tenant.
func (w *world) configure() {
	w.store.set("op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r1", "host": host, "prefix": batchPrefix, "kind": "batch", "service": service, "timeoutMs": 15000, "targetLatencyMs": 500,
			"runTargetMs": 18000, "retentionS": 90, "maxAttempts": 3, "maxQueuedTokens": 1200000, "priority": 2, "sessionAffinity": true,
		}},
		"services": []any{map[string]any{"name": service, "engine": map[string]any{"slots": engineSlots}, "healthPath": "/health"}},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{key}}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	attemptTimeout = 4 * time.Second
	pollPause      = 300 * time.Millisecond
	submitTries    = 40
)

// client sends requests to all gateways and checks the answers.
type client struct {
	world  *world
	random *rand.Rand
	number int
	name   string
	http   *http.Client
}

func newClient(w *world, name string, seed uint64) *client {
	return &client{world: w, name: name, random: rand.New(rand.NewPCG(seed, 3)), http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true},
	}}
}

// livePaths has a path of each kind of route for live requests.
var livePaths = []string{"/safe/a//b?x=%2F", "/unsafe/x", "/stream/x", "/resume/x"}

// live sends live requests for the paths at a rate until ctx is done. Open connections are
// used until their gateway is gone.
func (c *client) live(ctx context.Context, tenant string, rate float64, paths ...string) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		c.number++
		id := fmt.Sprintf("%s-%d", c.name, c.number)
		path := paths[c.random.IntN(len(paths))]
		gateway := c.world.gateway(c.random)
		group.Go(func() { c.request(id, tenant, gateway, path) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))):
		}
	}
}

func (c *client) request(id, tenant, gateway, path string) {
	key := c.world.key(tenant)
	body := "body of " + id
	c.world.record.sent(id, &attempt{
		sent: time.Now(), gateway: gateway, tenant: tenant, key: key, path: path, body: body,
		once: !strings.HasPrefix(path, "/safe/") && !strings.HasPrefix(path, "/resume/"),
	})
	status, header, answer, whole := c.do(http.MethodPost, gateway, path, id, key, body)
	c.checkHead(id, header)
	if header.Get("Server-Leaving") != "" {
		c.world.record.passedOn(gateway, header.Get(startHeader))
	}
	switch {
	case status == 0:
	case promised(status):
		c.world.record.promise(id)
	case status == http.StatusOK:
		c.checkSuccess(id, path, header, answer, whole)
	default:
		c.checkFailure(id, key, status, header, answer)
	}
	if strings.HasPrefix(path, "/resume/") {
		begun := status == http.StatusOK && answer != ""
		c.world.record.begin(begun)
		if begun && !whole {
			c.takeUp(id, tenant, path, answer)
		}
	}
}

// checkSuccess checks an answer with status 200, which may have broken off.
func (c *client) checkSuccess(id, path string, header http.Header, answer string, whole bool) {
	record := c.world.record
	if record.hadOnlyCutHeads(id) {
		record.broken("request %s got status 200 and %q, but no engine wrote a whole head: %s", id, answer, record.odditiesOf(id))
	}
	if !whole {
		if fault := checkEvents(id, answer); isStream(path) && fault != "" {
			record.broken("stream %s broke off wrongly: %s %s", id, fault, record.odditiesOf(id))
		}
		return
	}
	right := answer == plainAnswer(id)
	if isStream(path) {
		right = wholeStream(id, answer, liveEvents)
	}
	if !right || header.Get("X-Response-Signature") != signature(id) {
		record.broken("request %s got another answer: %q %s", id, answer, record.odditiesOf(id))
	}
	record.serve()
}

func (c *client) checkFailure(id, key string, status int, header http.Header, answer string) {
	switch {
	case header.Get("X-Response-Signature") != "":
		c.world.record.broken("request %s: status %d with an upstream's signature", id, status)
	case status == http.StatusNotFound, status == http.StatusUnauthorized && !c.world.wasRevoked(key):
		c.world.record.broken("request %s was denied with %d: %s", id, status, answer)
	}
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/")
}

func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// do makes one call, with further header fields as names and values; status 0 means
// that no answer came.
func (c *client) do(method, gateway, path, id, key, body string, header ...string) (int, http.Header, string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	request, err := newRequest(ctx, method, gateway, path, id, key, body, header...)
	if err != nil {
		return 0, nil, "", false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, "", false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err == nil
}

// newRequest returns a request that the client's transport sends once at most.
func newRequest(ctx context.Context, method, gateway, path, id, key, body string, header ...string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Host = "svc.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(attemptTimeout.Milliseconds()))
	request.Header.Set("X-Tenant", "forged")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return request, nil
}

// result is one result of a job on the wire.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// job submits a job, follows it, and checks that it ends as it must. An ended
// one is ended by the client in the middle.
func (c *client) job(ctx context.Context, tenant string, number int, end bool) {
	id := fmt.Sprintf("%sj%d", c.name, number)
	c.submitMalformed(id+"-malformed", tenant)
	items := c.items(id, tenant)
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		c.world.record.broken("job %s: %v", id, err)
		return
	}
	if !c.submit(ctx, id, tenant, string(body)) {
		return
	}
	c.world.record.mu.Lock()
	c.world.accepted++
	c.world.record.mu.Unlock()
	var names []string
	for _, item := range items {
		names = append(names, item["id"].(string))
	}
	c.world.record.work.accept(id, tenant, names)
	if end {
		c.end(ctx, id, tenant)
		return
	}
	c.follow(ctx, id, tenant, len(items))
}

func (c *client) items(job, tenant string) []map[string]any {
	var items []map[string]any
	for i := range 2 + c.random.IntN(4) {
		id := fmt.Sprintf("%s.%d", job, i)
		body := "item " + id
		switch c.random.IntN(12) {
		case 0:
			body = "poison " + id
		case 1:
			body = "fail " + id
		}
		path := "/jobs/" + id
		c.world.record.sent(id, &attempt{sent: time.Now(), tenant: tenant, path: path, body: body})
		items = append(items, map[string]any{"id": id, "path": path, "body": []byte(body), "tokens": 10})
	}
	return items
}

// submit sends the job again and again until it is accepted.
func (c *client) submit(ctx context.Context, id, tenant, body string) bool {
	for range submitTries {
		if ctx.Err() != nil {
			return false
		}
		status, _, _, _ := c.do(http.MethodPost, c.world.gateway(c.random), "/jobs/submit", id, c.world.key(tenant), body)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(pollPause)
	}
	return false
}

func (c *client) end(ctx context.Context, id, tenant string) {
	time.Sleep(time.Duration(c.random.IntN(500)) * time.Millisecond)
	for ctx.Err() == nil {
		status, _, _, _ := c.do(http.MethodDelete, c.world.gateway(c.random), "/lots/"+id, id, c.world.key(tenant), "")
		if status == http.StatusOK {
			c.world.record.mu.Lock()
			c.world.record.ended[id] = time.Now()
			c.world.record.mu.Unlock()
			return
		}
		if status == http.StatusNotFound {
			c.world.record.broken("accepted job %s is not found", id)
			return
		}
		time.Sleep(pollPause)
	}
}

// follow reads results until all are there, and checks that none ever changes.
func (c *client) follow(ctx context.Context, id, tenant string, total int) {
	var known []result
	for ctx.Err() == nil {
		from := 0
		if len(known) > 0 {
			from = c.random.IntN(len(known))
		}
		path := fmt.Sprintf("/lots/%s?after=%d", id, from)
		status, _, answer, whole := c.do(http.MethodGet, c.world.gateway(c.random), path, id, c.world.key(tenant), "")
		switch {
		case status == http.StatusNotFound:
			c.world.record.broken("accepted job %s is not found", id)
			return
		case status == http.StatusOK && whole:
			if known = c.merge(id, known, from, answer, total); len(known) == total {
				return
			}
		}
		time.Sleep(pollPause)
	}
	c.world.record.broken("job %s of tenant %s has %d of %d results at the end", id, tenant, len(known), total)
}

func (c *client) merge(id string, known []result, from int, answer string, total int) []result {
	var reply struct {
		Total   int      `json:"total"`
		Next    int      `json:"next"`
		Results []result `json:"results"`
	}
	if err := json.NewDecoder(bytes.NewBufferString(answer)).Decode(&reply); err != nil {
		c.world.record.broken("job %s: %v", id, err)
		return known
	}
	if reply.Total != total || reply.Next != from+len(reply.Results) {
		c.world.record.broken("job %s: total %d of %d, next %d from %d", id, reply.Total, total, reply.Next, from)
	}
	for i, got := range reply.Results {
		position := from + i
		if position < len(known) {
			if known[position] != got {
				c.world.record.broken("job %s: the result at %d changed", id, position)
			}
			continue
		}
		c.check(id, known, got)
		known = append(known, got)
	}
	return known
}

func (c *client) check(id string, known []result, got result) {
	for _, other := range known {
		if other.ID == got.ID {
			c.world.record.broken("job %s lists item %s twice", id, got.ID)
		}
	}
	c.world.record.mu.Lock()
	a := c.world.record.attempts[got.ID]
	c.world.record.mu.Unlock()
	doomed, dead := a != nil && !strings.HasPrefix(a.body, "item "), got.State == "dead_lettered"
	switch {
	case a == nil || jobOf(got.ID) != id:
		c.world.record.broken("job %s lists item %s", id, got.ID)
	case doomed && !dead, dead && !c.world.record.mayBeDead(got.ID, a.body):
		c.world.record.broken("item %s with body %q is %s", got.ID, a.body, got.State)
	case !dead && (!wholeText(got.ID, got.Text, itemEvents) || c.world.record.hadOnlyCutHeads(got.ID)):
		c.world.record.broken("item %s has the text %q %s", got.ID, got.Text, c.world.record.odditiesOf(got.ID))
	}
}

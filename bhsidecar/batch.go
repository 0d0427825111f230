package bhsidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	groupInterval = time.Second
	maxRefusal    = 4 << 10
	// pathProbe is asked of an engine after a crash; any answer will do.
	pathProbe = "/load"
	// probeInterval is the time between two probes, and the limit of each.
	probeInterval = time.Second
)

// batch runs a runner of batch items for each group of engines that serve on
// this host, until ctx is done or the host is leaving.
func (s *Sidecar) batch(ctx context.Context) error {
	runners := &runnerSet{
		sidecar: s,
		store:   bhbatch.NewStore(bhbatch.StoreConfig{Platform: s.config.Platform, Logger: s.logger}),
		stops:   make(map[string]func()),
	}
	defer runners.keep(ctx, nil)
	ticker := time.NewTicker(groupInterval)
	defer ticker.Stop()
	for {
		runners.keep(ctx, s.upstreams.engineGroups())
		select {
		case <-ticker.C:
		case <-s.left:
			runners.keep(ctx, nil)
			<-ctx.Done()
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// runnerSet holds one runner for each group.
type runnerSet struct {
	sidecar *Sidecar
	store   *bhbatch.Store
	stops   map[string]func()
}

// keep starts and stops runners so that there is one for each of the groups. It
// waits for those it stops, which give their leases back.
func (r *runnerSet) keep(ctx context.Context, groups []string) {
	for group, stop := range r.stops {
		if !slices.Contains(groups, group) {
			stop()
			delete(r.stops, group)
		}
	}
	for _, group := range groups {
		if r.stops[group] == nil {
			r.stops[group] = r.start(ctx, group)
		}
	}
}

func (r *runnerSet) start(ctx context.Context, group string) (stop func()) {
	runner := r.sidecar.newRunner(r.store, group)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = runner.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

func (s *Sidecar) newRunner(store *bhbatch.Store, group string) *bhbatch.Runner {
	gate := &batchGate{upstreams: s.upstreams, group: group}
	return bhbatch.NewRunner(bhbatch.RunnerConfig{
		Store:  store,
		Gate:   gate,
		Logger: s.logger,
		Name:   s.config.Settings.Host + "-" + group,
		Serves: gate.serves,
	})
}

// engineGroups returns the groups of the engines that serve on this host.
func (s *upstreamSet) engineGroups() []string {
	var groups []string
	for _, upstream := range s.list() {
		if upstream.takesBatch() && !slices.Contains(groups, upstream.config.Group) {
			groups = append(groups, upstream.config.Group)
		}
	}
	return groups
}

// takesBatch reports whether the upstream is an engine that serves.
func (u *upstream) takesBatch() bool {
	return u.cache != nil && u.config.State != bhconf.StateLeave
}

// batchGate gives the slots that live requests leave free on the engines of
// one group.
type batchGate struct {
	upstreams *upstreamSet
	group     string
}

// engines returns the group's engines that serve, the least loaded one first.
func (g *batchGate) engines() []*upstream {
	var engines []*upstream
	for _, upstream := range g.upstreams.list() {
		if upstream.config.Group == g.group && upstream.takesBatch() {
			engines = append(engines, upstream)
		}
	}
	slices.SortStableFunc(engines, func(a, b *upstream) int {
		return b.admission.queue.Free() - a.admission.queue.Free()
	})
	return engines
}

// serves reports whether an engine that answers has the model. A runner leases
// nothing for engines that are down.
func (g *batchGate) serves(model string) bool {
	return slices.ContainsFunc(g.engines(), func(u *upstream) bool {
		return slices.Contains(u.models, model) && u.answers()
	})
}

// answers reports whether the engine has answered since a batch item lost it.
// It asks the engine at most once each probeInterval.
func (u *upstream) answers() bool {
	if !u.lost.Load() {
		return true
	}
	now := time.Now().UnixNano()
	last := u.probed.Load()
	if now-last < int64(probeInterval) || !u.probed.CompareAndSwap(last, now) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
	defer cancel()
	return batchEngine{upstream: u}.awake(ctx) == nil
}

// Acquire implements bhbatch.Gate.
func (g *batchGate) Acquire(ctx context.Context) (bhbatch.Place, error) {
	for {
		engines := g.engines()
		changed := firstChange(engines)
		for _, upstream := range engines {
			if place := upstream.aside.start(upstream); place != nil {
				return place, nil
			}
		}
		select {
		case <-changed:
		case <-time.After(offerInterval):
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// firstChange returns a channel that tells of the next change at the least
// loaded engine; offerInterval bounds how late changes at others are noticed.
func firstChange(engines []*upstream) <-chan struct{} {
	if len(engines) == 0 {
		return nil
	}
	return engines[0].aside.changes()
}

// batchPlace is a slot of an engine for a batch item.
type batchPlace struct {
	*place
	upstream *upstream
	// first is set once the item has its first token; guarded by aside.
	first bool
}

// Release implements bhbatch.Place.
func (p *batchPlace) Release() {
	p.upstream.aside.end(p)
	p.place.Release()
}

// Engine implements bhbatch.Place.
func (p *batchPlace) Engine() bhbatch.Engine {
	return batchEngine{upstream: p.upstream, begun: p.begun}
}

func (p *batchPlace) begun() { p.upstream.aside.begun(p) }

// batchEngine runs batch items on one engine.
type batchEngine struct {
	upstream *upstream
	// begun is called at the first token.
	begun func()
}

// Run implements bhbatch.Engine.
func (e batchEngine) Run(
	ctx context.Context, item bhbatch.Item, resume bhbatch.Resume, emit func(text string, tokens int),
) (bhbatch.Result, error) {
	request, err := bhchat.Parse(item.Body)
	if err != nil {
		return bhbatch.Result{}, err
	}
	body, err := request.EngineBody(bhchat.Resume(resume))
	if err != nil {
		return bhbatch.Result{}, err
	}
	if err := e.awake(ctx); err != nil {
		return bhbatch.Result{}, err
	}
	defer e.upstream.occupy()()
	// A live request that shares the engine with the item is not alone on it.
	id := e.upstream.runs.Add(1)
	e.upstream.watch.Enter(id)
	defer e.upstream.watch.Leave(id)
	result, err := e.exchange(ctx, request, resume, body, emit)
	if ctx.Err() == nil && bhcode.Is(err, bhcode.UpstreamLost) {
		e.upstream.lost.Store(true)
	}
	return result, err
}

// awake reports an error, which charges no item, if the engine was lost and
// does not answer yet.
func (e batchEngine) awake(ctx context.Context) error {
	if !e.upstream.lost.Load() {
		return nil
	}
	response, err := e.upstream.send(ctx, bhwire.Submit{Method: http.MethodGet, Path: pathProbe, Idempotent: true})
	if err != nil {
		return bhcode.Wrap(err, bhcode.NoUpstream, "the engine is down")
	}
	if err := response.Body.Close(); err != nil {
		return bhcode.Wrap(err, bhcode.NoUpstream, "the engine is down")
	}
	e.upstream.lost.Store(false)
	return nil
}

func (e batchEngine) exchange(
	ctx context.Context, request bhchat.Request, resume bhbatch.Resume, body []byte, emit func(string, int),
) (bhbatch.Result, error) {
	response, err := e.upstream.send(ctx, bhwire.Submit{
		Method:     http.MethodPost,
		Path:       bhchat.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       body,
		Idempotent: true,
	})
	if err != nil {
		return bhbatch.Result{}, lostEngine(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return bhbatch.Result{}, refusal(response)
	}
	begin := sync.OnceFunc(e.begun)
	answer := batchAnswer{request: request, resume: resume, emit: func(text string, tokens int) {
		begin()
		emit(text, tokens)
	}}
	return answer.read(response.Body)
}

// lostEngine marks the loss of an engine that was running the item.
func lostEngine(err error) error {
	if bhcode.Is(err, bhcode.UpstreamFailed) {
		return bhcode.Wrap(err, bhcode.UpstreamLost, "the engine ended without an answer")
	}
	return err
}

// refusal returns the error that an engine's status means for the item.
func refusal(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	if err != nil {
		return bhcode.Wrap(err, bhcode.UpstreamLost, "the engine ended without an answer")
	}
	switch status := response.StatusCode; {
	case status == http.StatusNotFound, status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return bhcode.New(bhcode.NoUpstream, "the engine does not take the item: %d", status)
	case status < http.StatusInternalServerError:
		return bhcode.New(bhcode.ItemFailed, "the engine refused the item with %d: %s", status, text)
	}
	return bhcode.New(bhcode.UpstreamFailed, "the engine answered %d", response.StatusCode)
}

// batchAnswer gathers the answer to one item.
type batchAnswer struct {
	request bhchat.Request
	resume  bhbatch.Resume
	emit    func(text string, tokens int)

	decoder bhchat.Decoder
	text    strings.Builder
	tokens  int
	last    bhchat.Chunk
	finish  string
	usage   bhchat.Usage
}

// read gathers the answer. One that ends early is the loss of the engine.
func (a *batchAnswer) read(body io.Reader) (bhbatch.Result, error) {
	a.text.WriteString(a.resume.Text)
	a.tokens = a.resume.Tokens
	buffer := make([]byte, readSize)
	for {
		n, err := body.Read(buffer)
		chunks, decodeErr := a.decoder.Feed(buffer[:n])
		for _, chunk := range chunks {
			a.add(chunk)
		}
		if decodeErr != nil {
			return bhbatch.Result{}, decodeErr
		}
		if errors.Is(err, io.EOF) && a.decoder.Done() && a.finish != "" {
			return a.result()
		}
		if err != nil {
			return bhbatch.Result{}, bhcode.Wrap(err, bhcode.UpstreamLost, "the answer broke off")
		}
	}
}

func (a *batchAnswer) add(chunk bhchat.Chunk) {
	a.last = chunk
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			a.text.WriteString(choice.Delta.Content)
			a.tokens++
			a.emit(choice.Delta.Content, 1)
		}
		if choice.Finish != nil {
			a.finish = *choice.Finish
		}
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
}

func (a *batchAnswer) result() (bhbatch.Result, error) {
	a.usage.Completion = a.tokens
	a.usage.Total = a.usage.Prompt + a.tokens
	message := bhchat.Message{Role: "assistant", Content: a.text.String()}
	body, err := json.Marshal(bhchat.Completion{
		ID:      a.last.ID,
		Object:  bhchat.ObjectCompletion,
		Created: a.last.Created,
		Model:   a.request.Model,
		Choices: []bhchat.Choice{{Message: message, Finish: a.finish}},
		Usage:   a.usage,
	})
	if err != nil {
		return bhbatch.Result{}, bhcode.Wrap(err, bhcode.Internal, "encoding an answer")
	}
	return bhbatch.Result{Body: body, Tokens: a.tokens}, nil
}

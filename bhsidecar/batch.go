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
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// runnerSyncInterval is the time between two adjustments of the set of
	// runners to the groups on this host.
	runnerSyncInterval = time.Second
	// maxErrorBodyBytes bounds the part of an engine's error body that is read.
	maxErrorBodyBytes = 4 << 10
	// maxAnswerBytes bounds the text of an item's answer, which is kept in memory.
	maxAnswerBytes = 4 << 20
	// ownAnswerBytes is what the answer of each item may take of memory, whatever others take.
	ownAnswerBytes = 256 << 10
	// probePath is the path requested from an engine after a crash. Any
	// response, whatever its status, shows that the engine is up.
	probePath = "/load"
	// probeInterval is the minimum time between two probes by reachable, and
	// the timeout of each.
	probeInterval = time.Second
)

// runBatch keeps one batch runner for each group of engines that serve on this
// host. It stops the runners when the host starts to leave, and returns when
// ctx is done.
func (s *Sidecar) runBatch(ctx context.Context) error {
	runners := &runnerSet{
		sidecar:   s,
		store:     bhbatch.NewStore(bhbatch.StoreConfig{Platform: s.config.Platform, Logger: s.logger}),
		stopFuncs: make(map[string]func()),
	}
	defer runners.reconcile(ctx, nil)
	ticker := time.NewTicker(runnerSyncInterval)
	defer ticker.Stop()
	for {
		runners.reconcile(ctx, s.upstreams.engineGroups())
		select {
		case <-ticker.C:
		case <-s.leaveStarted:
			runners.reconcile(ctx, nil)
			<-ctx.Done()
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// runnerSet holds one batch runner for each group.
type runnerSet struct {
	sidecar *Sidecar
	store   *bhbatch.Store
	// stopFuncs stop the runners, by group.
	stopFuncs map[string]func()
}

// reconcile starts and stops runners so that exactly the given groups have one.
// It waits until the stopped runners have released their leases.
func (r *runnerSet) reconcile(ctx context.Context, groups []string) {
	for group, stop := range r.stopFuncs {
		if !slices.Contains(groups, group) {
			stop()
			delete(r.stopFuncs, group)
		}
	}
	for _, group := range groups {
		if r.stopFuncs[group] == nil {
			r.stopFuncs[group] = r.start(ctx, group)
		}
	}
}

// start runs a runner for the group and returns the function that stops it and
// waits for its end.
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
		if upstream.servesBatch() && !slices.Contains(groups, upstream.config.Group) {
			groups = append(groups, upstream.config.Group)
		}
	}
	return groups
}

// servesBatch reports whether the upstream is an engine that is not leaving.
func (u *upstream) servesBatch() bool {
	return u.cacheLog != nil && u.config.State != bhconf.StateLeave
}

// batchGate hands out the slots that live requests leave free on the engines of
// one group. It implements bhbatch.Gate.
type batchGate struct {
	upstreams *upstreamSet
	group     string
}

// engines returns the group's engines that serve, those with the most free
// slots first.
func (g *batchGate) engines() []*upstream {
	var engines []*upstream
	for _, upstream := range g.upstreams.list() {
		if upstream.config.Group == g.group && upstream.servesBatch() {
			engines = append(engines, upstream)
		}
	}
	slices.SortStableFunc(engines, func(a, b *upstream) int {
		return b.admission.queue.FreeBatchSlots() - a.admission.queue.FreeBatchSlots()
	})
	return engines
}

// serves reports whether a reachable engine of the group has the model, so that
// a runner leases no items for engines that are down.
func (g *batchGate) serves(model string) bool {
	return slices.ContainsFunc(g.engines(), func(u *upstream) bool {
		return slices.Contains(u.models, model) && u.reachable()
	})
}

// reachable reports whether the engine has responded since a batch item lost
// it. It probes a lost engine at most once per probeInterval and reports false
// between the probes.
func (u *upstream) reachable() bool {
	if !u.lost.Load() {
		return true
	}
	now := time.Now().UnixNano()
	lastProbe := u.lastProbe.Load()
	if now-lastProbe < int64(probeInterval) || !u.lastProbe.CompareAndSwap(lastProbe, now) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
	defer cancel()
	return batchEngine{upstream: u}.ensureReachable(ctx) == nil
}

// Acquire implements bhbatch.Gate: it waits until one of the group's engines
// has a slot. Its error is that of ctx.
func (g *batchGate) Acquire(ctx context.Context) (bhbatch.Slot, error) {
	for {
		engines := g.engines()
		changed := leastLoadedChange(engines)
		for _, upstream := range engines {
			if slot := upstream.batchLimiter.tryStart(upstream); slot != nil {
				return slot, nil
			}
		}
		select {
		case <-changed:
		case <-time.After(slotPollInterval):
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// leastLoadedChange returns a channel that is closed at the next change at the
// least loaded engine, or nil without engines. slotPollInterval bounds how late
// changes at the other engines are noticed.
func leastLoadedChange(engines []*upstream) <-chan struct{} {
	if len(engines) == 0 {
		return nil
	}
	return engines[0].batchLimiter.nextChange()
}

// batchSlot is an engine's slot that a batch item holds. It implements
// bhbatch.Slot.
type batchSlot struct {
	*queueSlot
	upstream *upstream
	// prefillDone is set once the item has its first token or has ended. It is
	// guarded by the upstream's batchLimiter.
	prefillDone bool
}

// Release implements bhbatch.Slot.
func (s *batchSlot) Release() {
	s.upstream.batchLimiter.remove(s)
	s.queueSlot.Release()
}

// Engine implements bhbatch.Slot.
func (s *batchSlot) Engine() bhbatch.Engine {
	return batchEngine{upstream: s.upstream, onFirstToken: s.finishPrefill}
}

func (s *batchSlot) finishPrefill() { s.upstream.batchLimiter.finishPrefill(s) }

// batchEngine runs batch items on one engine.
type batchEngine struct {
	upstream *upstream
	// onFirstToken is called once for each item, at its first token.
	onFirstToken func()
}

// Run implements bhbatch.Engine.
func (e batchEngine) Run(
	ctx context.Context, item bhbatch.Item, resume bhbatch.ResumePoint, emit func(bhbatch.Piece),
) (bhbatch.Result, error) {
	request, err := bhchat.Parse(item.Body)
	if err != nil {
		return bhbatch.Result{}, err
	}
	body, err := request.EngineBody(bhchat.Resume{Text: resume.Text, Tokens: resume.Tokens})
	if err != nil {
		return bhbatch.Result{}, err
	}
	if err := e.ensureReachable(ctx); err != nil {
		return bhbatch.Result{}, err
	}
	defer e.upstream.trackBatchItem()()
	// Enter the item, so that a live request that crashes the engine beside it
	// is not taken to have run alone.
	id := e.upstream.lastRunID.Add(1)
	e.upstream.inflight.Start(id)
	defer e.upstream.inflight.Finish(id)
	result, err := e.exchange(ctx, request, resume, body, emit)
	if ctx.Err() == nil && bhcode.Is(err, bhcode.UpstreamLost) {
		e.upstream.lost.Store(true)
	}
	return result, err
}

// ensureReachable probes the engine if a batch item lost it. The error is
// NoUpstream, which isn't counted as a failed run of the item.
func (e batchEngine) ensureReachable(ctx context.Context) error {
	if !e.upstream.lost.Load() {
		return nil
	}
	response, err := e.upstream.send(ctx, bhwire.Submit{Method: http.MethodGet, Path: probePath, Idempotent: true})
	if err != nil {
		return bhcode.Wrap(err, bhcode.NoUpstream, "the engine is down")
	}
	if err := response.Body.Close(); err != nil {
		return bhcode.Wrap(err, bhcode.NoUpstream, "the engine is down")
	}
	e.upstream.lost.Store(false)
	return nil
}

// exchange sends the item to the engine and reads the answer. It calls emit for
// each piece of the answer.
func (e batchEngine) exchange(
	ctx context.Context, request bhchat.Request, resume bhbatch.ResumePoint, body []byte, emit func(bhbatch.Piece),
) (bhbatch.Result, error) {
	response, err := e.upstream.send(ctx, bhwire.Submit{
		Method:     http.MethodPost,
		Path:       bhchat.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       body,
		Idempotent: true,
	})
	if err != nil {
		return bhbatch.Result{}, asUpstreamLost(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return bhbatch.Result{}, responseError(response)
	}
	signalFirstToken := sync.OnceFunc(e.onFirstToken)
	memory := e.upstream.answers.Open(ownAnswerBytes)
	defer memory.Close()
	builder := answerBuilder{request: request, memory: memory, resume: resume, emit: func(piece bhbatch.Piece) {
		signalFirstToken()
		emit(piece)
	}}
	return builder.read(response.Body)
}

// asUpstreamLost turns UpstreamFailed into UpstreamLost, since the engine was
// running the item. It returns other errors unchanged.
func asUpstreamLost(err error) error {
	if bhcode.Is(err, bhcode.UpstreamFailed) {
		return bhcode.Wrap(err, bhcode.UpstreamLost, "the engine ended without an answer")
	}
	return err
}

// responseError returns the error for an engine's status other than 200:
// NoUpstream for 404 and the statuses that say that it did not run (408, 421, 429 and
// 503), ItemFailed for the other 4xx, which refuse the item, and UpstreamFailed for the
// rest. If the body can't be read, it is UpstreamLost.
func responseError(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return bhcode.Wrap(err, bhcode.UpstreamLost, "the engine ended without an answer")
	}
	switch status := response.StatusCode; {
	case status == http.StatusNotFound, status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest,
		status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return bhcode.New(bhcode.NoUpstream, "the engine does not take the item: %d", status)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return bhcode.New(bhcode.ItemFailed, "the engine refused the item with %d: %s", status, text)
	}
	return bhcode.New(bhcode.UpstreamFailed, "the engine answered %d", response.StatusCode)
}

// answerBuilder builds the completion of one item from the engine's stream.
type answerBuilder struct {
	request bhchat.Request
	memory  *bhspool.Share
	resume  bhbatch.ResumePoint
	emit    func(bhbatch.Piece)

	decoder      bhchat.Decoder
	text         strings.Builder
	tokens       int
	lastChunk    bhchat.Chunk
	finishReason string
	usage        bhchat.Usage
}

// read reads the stream to its end and returns the whole answer, including the
// resumed part. The error is UpstreamLost for a stream that ends early.
func (b *answerBuilder) read(body io.Reader) (bhbatch.Result, error) {
	b.text.WriteString(b.resume.Text)
	b.tokens = b.resume.Tokens
	buffer := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buffer)
		chunks, decodeErr := b.decoder.Feed(buffer[:n])
		for _, chunk := range chunks {
			if err := b.checkVersion(chunk.Fingerprint); err != nil {
				return bhbatch.Result{}, err
			}
			b.addChunk(chunk)
		}
		if b.text.Len() > maxAnswerBytes {
			return bhbatch.Result{}, bhcode.New(bhcode.UpstreamFailed, "the answer has more than %d bytes", maxAnswerBytes)
		}
		if size := b.text.Len() + b.decoder.Pending(); !b.memory.Resize(int64(size)) {
			return bhbatch.Result{}, bhcode.New(bhcode.NoUpstream, "the sidecar has no memory for an answer of %d bytes", size)
		}
		if decodeErr != nil {
			return bhbatch.Result{}, decodeErr
		}
		if errors.Is(err, io.EOF) && b.decoder.Done() && b.finishReason != "" {
			return b.result()
		}
		if err != nil {
			return bhbatch.Result{}, bhcode.Wrap(err, bhcode.UpstreamLost, "the answer broke off")
		}
	}
}

// checkVersion returns VersionDiffers if the engine isn't of the version that wrote
// the resumed part. Only the first chunk that tells a version counts.
func (b *answerBuilder) checkVersion(version string) error {
	began := b.resume.Version
	if version == "" || began == "" {
		return nil
	}
	if b.resume.Version = ""; version != began {
		return bhcode.New(bhcode.VersionDiffers, "an engine of version %q can't continue an answer of version %q", version, began)
	}
	return nil
}

// addChunk appends the chunk to the answer. Each delta with content counts as
// one token.
func (b *answerBuilder) addChunk(chunk bhchat.Chunk) {
	b.lastChunk = chunk
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			b.text.WriteString(choice.Delta.Content)
			b.tokens++
			b.emit(bhbatch.Piece{Text: choice.Delta.Content, Tokens: 1, Version: chunk.Fingerprint})
		}
		if choice.Finish != nil {
			b.finishReason = *choice.Finish
		}
	}
	if chunk.Usage != nil {
		b.usage = *chunk.Usage
	}
}

func (b *answerBuilder) result() (bhbatch.Result, error) {
	b.usage.Completion = b.tokens
	b.usage.Total = b.usage.Prompt + b.tokens
	message := bhchat.Message{Role: "assistant", Content: b.text.String()}
	body, err := json.Marshal(bhchat.Completion{
		ID:      b.lastChunk.ID,
		Object:  bhchat.ObjectCompletion,
		Created: b.lastChunk.Created,
		Model:   b.request.Model,
		Choices: []bhchat.Choice{{Message: message, Finish: b.finishReason}},
		Usage:   b.usage,
	})
	if err != nil {
		return bhbatch.Result{}, bhcode.Wrap(err, bhcode.Internal, "encoding an answer")
	}
	return bhbatch.Result{Body: body, Tokens: b.tokens}, nil
}

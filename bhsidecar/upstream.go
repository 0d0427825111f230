package bhsidecar

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcache"
	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 256
	idleTimeout         = 30 * time.Second
	// maxHeadBytes bounds what is read for the head of an answer. Bytes that are no
	// answer may come without end.
	maxHeadBytes = 64 << 10
)

// upstream is one backend on this host: an engine or a plain service.
type upstream struct {
	config    bhconf.Upstream
	models    []string
	admission *admission
	// inflight tracks the requests on the upstream, to find those that a crash
	// affected.
	inflight     *bhcrash.Tracker[uint64]
	lastRunID    *atomic.Uint64
	batchLimiter *batchLimiter
	// limits holds the limit that the upstream names.
	limits *bhcap.Ledger
	// answers is the memory for large answers of batch items; nil allows any.
	answers *bhspool.Pool
	// lost is set from the time a batch item loses the engine until the engine
	// responds.
	lost atomic.Bool
	// lastProbe is the time of the latest probe by reachable, in Unix
	// nanoseconds.
	lastProbe atomic.Int64
	// cacheLog holds the changes of an engine's prefix cache; nil for plain
	// services.
	cacheLog *bhcache.Log
	// stopFollower stops the follower of the prefix cache and waits for its
	// end; nil for plain services.
	stopFollower func()
	// keepAlive reuses connections. oneShot opens a connection for each
	// request, so that http.Transport doesn't resend the request.
	keepAlive *http.Transport
	oneShot   *http.Transport
}

func newUpstream(config bhconf.Upstream, weight func(account string) float64) *upstream {
	dial := bhforward.DialDetectingResets(&net.Dialer{Timeout: dialTimeout})
	return &upstream{
		config:       config,
		admission:    newAdmission(config.Slots, weight),
		inflight:     bhcrash.NewTracker[uint64](),
		lastRunID:    new(atomic.Uint64),
		batchLimiter: newBatchLimiter(max(config.Slots, 1), 0),
		limits:       bhcap.NewLedger(bhcap.Config{LeastRate: bhcap.ProbeRate}),
		keepAlive: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
		oneShot: &http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

// send sends the request and returns the response. The error is BadRequest if
// the request is invalid, Overloaded if the upstream's limit doesn't allow it, NoUpstream if no connection was made, and otherwise
// UpstreamFailed, for which it is unknown whether the request ran.
func (u *upstream) send(ctx context.Context, submit bhwire.Submit) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := u.newRequest(httptrace.WithClientTrace(ctx, trace), submit)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.BadRequest, "request for the upstream")
	}
	if err := u.takeLimit(); err != nil {
		return nil, err
	}
	sentAt := time.Now()
	response, err := u.transportFor(submit).RoundTrip(request)
	if err == nil {
		if err = bhforward.CheckFinalStatus(response.StatusCode); err == nil {
			u.observeLimit(response, sentAt)
			return response, nil
		}
		_ = response.Body.Close()
	}
	if !connected.Load() {
		return nil, bhcode.Wrap(err, bhcode.NoUpstream, "no connection to the upstream")
	}
	return nil, bhcode.Wrap(err, bhcode.UpstreamFailed, "no answer from the upstream").WithRan(bhcode.RanUnknown)
}

// transportFor returns the transport that sends the request only once. If the
// upstream breaks a reused connection, http.Transport resends requests that it
// considers replayable: those with a safe method and without a body, and those
// with an idempotency key. For GET, HEAD and OPTIONS, requestBody prevents
// this.
func (u *upstream) transportFor(submit bhwire.Submit) *http.Transport {
	hasKey := submit.Header.Get("Idempotency-Key") != "" || submit.Header.Get("X-Idempotency-Key") != ""
	if !submit.Idempotent || hasKey || submit.Method == http.MethodTrace {
		return u.oneShot
	}
	return u.keepAlive
}

func (u *upstream) newRequest(ctx context.Context, submit bhwire.Submit) (*http.Request, error) {
	target := "http://" + u.config.Address + submit.Path
	if submit.Query != "" {
		target += "?" + submit.Query
	}
	request, err := http.NewRequestWithContext(ctx, submit.Method, target, requestBody(submit.Method, submit.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil
	request.ContentLength = int64(len(submit.Body))
	if len(submit.Body) == 0 {
		// http.Transport reads the body of requestBody for 200 ms at most to see whether it is
		// empty, and then announces chunks.
		request.TransferEncoding = []string{"identity"}
	}
	if submit.Header != nil {
		request.Header = submit.Header.Clone()
	}
	return request, nil
}

// load returns the upstream's load for heartbeats.
func (u *upstream) load() bhwire.Load {
	load := u.admission.queue.Load()
	return bhwire.Load{
		Upstream: u.config.Name,
		Group:    u.config.Group,
		Serving:  u.config.State != bhconf.StateLeave,
		Models:   u.models,
		Slots:    u.config.Slots,
		Running:  load.Running,
		Queued:   load.Queued,
		Work:     load.Work,
	}
}

// startFollower starts to copy the engine's prefix cache events to cacheLog.
func (u *upstream) startFollower() {
	ctx, cancel := context.WithCancel(context.Background())
	u.cacheLog = &bhcache.Log{}
	follower := bhcache.NewFollower(bhcache.FollowerConfig{
		URL:    "http://" + u.config.Address,
		Client: &http.Client{Transport: u.keepAlive},
		Log:    u.cacheLog,
	})
	var running sync.WaitGroup
	running.Go(func() { _ = follower.Run(ctx) })
	u.stopFollower = func() {
		cancel()
		running.Wait()
	}
}

// trackBatchItem records that a batch item runs and returns the function that
// records its end.
func (u *upstream) trackBatchItem() func() {
	id := u.lastRunID.Add(1)
	u.inflight.Start(id)
	return func() { u.inflight.Finish(id) }
}

func (u *upstream) close() {
	if u.stopFollower != nil {
		u.stopFollower()
	}
	u.keepAlive.CloseIdleConnections()
	u.oneShot.CloseIdleConnections()
}

// requestBody returns a reader of data. For an empty body of a safe method the
// reader isn't nil, so that http.Transport doesn't consider the request
// replayable.
func requestBody(method string, data []byte) io.Reader {
	switch {
	case len(data) > 0:
		return bytes.NewReader(data)
	case method == http.MethodGet, method == http.MethodHead, method == http.MethodOptions:
		return io.NopCloser(bytes.NewReader(nil))
	}
	return nil
}

// upstreamSet holds the upstreams that the configuration places on this host.
type upstreamSet struct {
	host   string
	logger bhlog.Logger
	// answers is that of each upstream.
	answers *bhspool.Pool
	// weights are the client accounts' weights in the configuration in force.
	weights atomic.Pointer[map[string]float64]

	mu      sync.Mutex
	version int64
	byName  map[string]*upstream
}

func newUpstreamSet(host string, answers *bhspool.Pool, logger bhlog.Logger) *upstreamSet {
	return &upstreamSet{host: host, answers: answers, logger: logger, byName: make(map[string]*upstream)}
}

// configure applies the host's part of the snapshot, unless that version or a
// newer one is already applied. Requests on upstreams that stay are not
// interrupted.
func (s *upstreamSet) configure(snapshot *bhsync.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.version {
		return
	}
	updatedByName := make(map[string]*upstream)
	for _, declared := range snapshot.HostUpstreams(s.host) {
		updated := s.buildUpstream(declared, modelNames(snapshot.Config, declared.Group))
		group, _ := snapshot.Group(declared.Group)
		if group.Kind == bhconf.KindEngine && updated.cacheLog == nil {
			updated.startFollower()
		}
		updated.batchLimiter.pacer.SetRise(group.Rise)
		updatedByName[declared.Name] = updated
	}
	for name, old := range s.byName {
		if replacement := updatedByName[name]; replacement == nil || replacement.cacheLog != old.cacheLog {
			old.close()
		}
	}
	s.version = snapshot.Version
	s.byName = updatedByName
	weights := accountWeights(snapshot.Config)
	s.weights.Store(&weights)
}

// weight returns a client account's weight; the default is 1.
func (s *upstreamSet) weight(account string) float64 {
	if weights := s.weights.Load(); weights != nil {
		if weight, ok := (*weights)[account]; ok {
			return weight
		}
	}
	return 1
}

// buildUpstream returns the upstream as declared. It takes over the queue, the
// connections, the cache log and the requests in flight of the current upstream
// of that name, if the address is the same.
func (s *upstreamSet) buildUpstream(declared bhconf.Upstream, models []string) *upstream {
	updated := newUpstream(declared, s.weight)
	updated.answers = s.answers
	if old, ok := s.byName[declared.Name]; ok && old.config.Address == declared.Address {
		updated.keepAlive, updated.oneShot = old.keepAlive, old.oneShot
		updated.inflight, updated.lastRunID = old.inflight, old.lastRunID
		updated.cacheLog, updated.stopFollower = old.cacheLog, old.stopFollower
		updated.admission, updated.batchLimiter, updated.limits = old.admission, old.batchLimiter, old.limits
		updated.batchLimiter.pacer.Resize(max(declared.Slots, 1))
		updated.admission.apply(updated.admission.queue.Resize(max(declared.Slots, 1)))
	}
	updated.models = models
	return updated
}

// find returns the upstream that the entry chose or, if that isn't serving
// here, any other of the group. The error is NoUpstream if there is none.
func (s *upstreamSet) find(submit bhwire.Submit) (*upstream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen, ok := s.byName[submit.Upstream]
	if ok && chosen.config.Group == submit.Group && chosen.config.State != bhconf.StateLeave {
		return chosen, nil
	}
	for _, candidate := range s.byName {
		if candidate.config.Group == submit.Group && candidate.config.State != bhconf.StateLeave {
			bhlog.Decision(s.logger, "upstream", candidate.config.Name, "chosen_not_here", len(s.byName), "id", submit.ID, "chosen", submit.Upstream)
			return candidate, nil
		}
	}
	return nil, bhcode.New(bhcode.NoUpstream, "no serving upstream of group %s on %s", submit.Group, s.host)
}

// list returns the upstreams, sorted by name.
func (s *upstreamSet) list() []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(maps.Values(s.byName), func(a, b *upstream) int {
		return cmp.Compare(a.config.Name, b.config.Name)
	})
}

func (s *upstreamSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, upstream := range s.byName {
		upstream.close()
	}
}

// modelNames returns the names of the models that the group serves.
func modelNames(config bhconf.Config, group string) []string {
	var names []string
	for _, model := range config.Models {
		if model.Group == group {
			names = append(names, model.Name)
		}
	}
	return names
}

// accountWeights returns the configured weights above 0, by client account.
func accountWeights(config bhconf.Config) map[string]float64 {
	weights := make(map[string]float64)
	for _, account := range config.Accounts {
		if account.Weight > 0 {
			weights[account.Name] = account.Weight
		}
	}
	return weights
}

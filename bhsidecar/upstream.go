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
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	dialTimeout     = time.Second
	idleConnections = 256
	idleTimeout     = 30 * time.Second
)

// upstream is one back end of this host.
type upstream struct {
	config    bhconf.Upstream
	models    []string
	admission *admission
	// watch knows what runs here, for the crashes of the upstream.
	watch *bhcrash.Watch[uint64]
	runs  *atomic.Uint64
	aside *aside
	// lost is set while the engine has not answered since a batch item lost it.
	lost atomic.Bool
	// probed is when the lost engine was last asked, in nanoseconds since 1970.
	probed atomic.Int64
	// cache holds the changes of an engine's prefix cache; nil for plain services.
	cache *bhcache.Log
	// unfollow stops following the cache and waits.
	unfollow func()
	// kept reuses connections; fresh opens one for each request, so that the
	// transport has no reason to send a request again.
	kept  *http.Transport
	fresh *http.Transport
}

func newUpstream(config bhconf.Upstream, weight func(account string) float64) *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &upstream{
		config:    config,
		admission: newAdmission(config.Slots, weight),
		watch:     bhcrash.NewWatch[uint64](),
		runs:      new(atomic.Uint64),
		aside:     newAside(max(config.Slots, 1), 0),
		kept: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		fresh: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// send starts the request. Its errors say whether the request ran: "no" only
// if no connection was made.
func (u *upstream) send(ctx context.Context, submit bhwire.Submit) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := u.request(httptrace.WithClientTrace(ctx, trace), submit)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.BadRequest, "request for the upstream")
	}
	response, err := u.transport(submit).RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, bhcode.Wrap(err, bhcode.NoUpstream, "no connection to the upstream")
	}
	return nil, bhcode.Wrap(err, bhcode.UpstreamFailed, "no answer from the upstream").WithRan(bhcode.RanUnknown)
}

// transport returns the one that sends the request once only. On connections
// that it kept, the library's transport sends again what it takes for
// repeatable when the upstream breaks the connection: a request without body
// and with a safe method, or with an idempotency key.
func (u *upstream) transport(submit bhwire.Submit) *http.Transport {
	keyed := submit.Header.Get("Idempotency-Key") != "" || submit.Header.Get("X-Idempotency-Key") != ""
	if !submit.Idempotent || keyed || submit.Method == http.MethodTrace {
		return u.fresh
	}
	return u.kept
}

func (u *upstream) request(ctx context.Context, submit bhwire.Submit) (*http.Request, error) {
	target := "http://" + u.config.Address + submit.Path
	if submit.Query != "" {
		target += "?" + submit.Query
	}
	request, err := http.NewRequestWithContext(ctx, submit.Method, target, body(submit.Method, submit.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil
	request.ContentLength = int64(len(submit.Body))
	if submit.Header != nil {
		request.Header = submit.Header.Clone()
	}
	return request, nil
}

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

// follow starts following the cache of an engine.
func (u *upstream) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	u.cache = &bhcache.Log{}
	follower := bhcache.NewFollower(bhcache.FollowerConfig{
		URL:    "http://" + u.config.Address,
		Client: &http.Client{Transport: u.kept},
		Log:    u.cache,
	})
	var running sync.WaitGroup
	running.Go(func() { _ = follower.Run(ctx) })
	u.unfollow = func() {
		cancel()
		running.Wait()
	}
}

// occupy records that a batch item runs and returns the function that ends it.
func (u *upstream) occupy() func() {
	id := u.runs.Add(1)
	u.watch.Enter(id)
	return func() { u.watch.Leave(id) }
}

func (u *upstream) close() {
	if u.unfollow != nil {
		u.unfollow()
	}
	u.kept.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

// body returns the request's body. An empty one of a safe method isn't nil, so
// that the library's transport doesn't take the request for repeatable.
func body(method string, data []byte) io.Reader {
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
	// weights are the client accounts' weights in the configuration in force.
	weights atomic.Pointer[map[string]float64]

	mu      sync.Mutex
	current int64
	byName  map[string]*upstream
}

func newUpstreamSet(host string, logger bhlog.Logger) *upstreamSet {
	return &upstreamSet{host: host, logger: logger, byName: make(map[string]*upstream)}
}

// configure puts the host's part of the snapshot in force unless a newer one
// is. Requests on upstreams that go on are not disturbed.
func (s *upstreamSet) configure(snapshot *bhsync.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.current {
		return
	}
	next := make(map[string]*upstream)
	for _, declared := range snapshot.Host(s.host) {
		fresh := s.successor(declared, modelsOf(snapshot.Config, declared.Group))
		group, _ := snapshot.Group(declared.Group)
		if group.Kind == bhconf.KindEngine && fresh.cache == nil {
			fresh.follow()
		}
		fresh.aside.pacer.SetRise(group.Rise)
		next[declared.Name] = fresh
	}
	for name, old := range s.byName {
		if kept := next[name]; kept == nil || kept.cache != old.cache {
			old.close()
		}
	}
	s.current = snapshot.Version
	s.byName = next
	weights := weightsOf(snapshot.Config)
	s.weights.Store(&weights)
}

// weight returns an account's weight; accounts weigh 1 unless declared.
func (s *upstreamSet) weight(account string) float64 {
	if weights := s.weights.Load(); weights != nil {
		if weight, ok := (*weights)[account]; ok {
			return weight
		}
	}
	return 1
}

func (s *upstreamSet) successor(declared bhconf.Upstream, models []string) *upstream {
	fresh := newUpstream(declared, s.weight)
	if old, ok := s.byName[declared.Name]; ok && old.config.Address == declared.Address {
		fresh.kept, fresh.fresh = old.kept, old.fresh
		fresh.watch, fresh.runs = old.watch, old.runs
		fresh.cache, fresh.unfollow = old.cache, old.unfollow
		fresh.admission, fresh.aside = old.admission, old.aside
		fresh.aside.pacer.Resize(max(declared.Slots, 1))
		fresh.admission.apply(fresh.admission.queue.Resize(max(declared.Slots, 1)))
	}
	fresh.models = models
	return fresh
}

// find returns the upstream that the entry chose, or another of its group.
func (s *upstreamSet) find(submit bhwire.Submit) (*upstream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen, ok := s.byName[submit.Upstream]
	if ok && chosen.config.Group == submit.Group && chosen.config.State != bhconf.StateLeave {
		return chosen, nil
	}
	for _, other := range s.byName {
		if other.config.Group == submit.Group && other.config.State != bhconf.StateLeave {
			bhlog.Decision(s.logger, "upstream", other.config.Name, "chosen_not_here", len(s.byName), "id", submit.ID, "chosen", submit.Upstream)
			return other, nil
		}
	}
	return nil, bhcode.New(bhcode.NoUpstream, "no serving upstream of group %s on %s", submit.Group, s.host)
}

// list returns the upstreams in the order of their names.
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

func modelsOf(config bhconf.Config, group string) []string {
	var names []string
	for _, model := range config.Models {
		if model.Group == group {
			names = append(names, model.Name)
		}
	}
	return names
}

func weightsOf(config bhconf.Config) map[string]float64 {
	weights := make(map[string]float64)
	for _, account := range config.Accounts {
		if account.Weight > 0 {
			weights[account.Name] = account.Weight
		}
	}
	return weights
}

// Package bhstand holds small stand-ins for the systems outside baobabhaven:
// the platform, a weight store, model engines and plain services. They serve
// tests and `baobab dev` and keep everything in memory.
package bhstand

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Paths for tests, beside the protocol of the platform.
const (
	PathSwitch = "/switch"
	PathCounts = "/counts"
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Lag is how late the host list is.
	Lag time.Duration
}

// Faults are the faults that a Platform shows.
type Faults struct {
	// Outage refuses every operation.
	Outage bool `json:"outage"`
	// Slow delays every operation.
	Slow bhconf.Duration `json:"slow"`
	// Lose is the number of commits whose reply will be lost.
	Lose int `json:"lose"`
	// Objects refuses the operations of the object store only.
	Objects bool `json:"objects"`
}

// Counts are the operations that took effect on a Platform.
type Counts struct {
	Gets    int `json:"gets"`
	Lists   int `json:"lists"`
	Commits int `json:"commits"`
	// Rows is the number of rows written or deleted.
	Rows      int `json:"rows"`
	Conflicts int `json:"conflicts"`
	// Puts and Reads count operations on objects, Written and Read their bytes.
	Puts    int   `json:"puts"`
	Reads   int   `json:"reads"`
	Written int64 `json:"written"`
	Read    int64 `json:"read"`
}

// Platform stands in for the platform's table, object store and host list. It
// is an http.Handler for the protocol of bhplatform.Client.
type Platform struct {
	table *table

	mu      sync.Mutex
	objects map[string][]byte
	hosts   *lagged[map[string]bhplatform.Host]
	faults  Faults
	counts  Counts
}

// NewPlatform returns an empty Platform.
func NewPlatform(config PlatformConfig) *Platform {
	return &Platform{
		table:   newTable(),
		objects: make(map[string][]byte),
		hosts:   newLagged(config.Lag, map[string]bhplatform.Host{}),
	}
}

// Faults returns the faults switched on.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Switch replaces the faults.
func (p *Platform) Switch(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Counts returns the operations so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHost enters or replaces a host in the list.
func (p *Platform) SetHost(host bhplatform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := maps.Clone(p.hosts.Current())
	hosts[host.Name] = host
	p.hosts.Set(hosts)
}

// RemoveHost takes a host out of the list.
func (p *Platform) RemoveHost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := maps.Clone(p.hosts.Current())
	delete(hosts, name)
	p.hosts.Set(hosts)
}

// Close implements io.Closer.
func (p *Platform) Close() error { return nil }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathSwitch:
		p.serveSwitch(w, r)
		return
	case PathCounts:
		reply(w, http.StatusOK, p.Counts())
		return
	}
	faults := p.Faults()
	if !bhtree.Sleep(r.Context(), time.Duration(faults.Slow)) {
		return
	}
	object := strings.HasPrefix(r.URL.Path, bhplatform.PathObjects)
	if faults.Outage || (object && faults.Objects) {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if object {
		p.serveObject(w, r, strings.TrimPrefix(r.URL.Path, bhplatform.PathObjects))
		return
	}
	p.serveOther(w, r)
}

func (p *Platform) serveOther(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case bhplatform.PathGet:
		p.serveGet(w, r)
	case bhplatform.PathList:
		p.serveList(w, r)
	case bhplatform.PathCommit:
		p.serveCommit(w, r)
	case bhplatform.PathHosts:
		p.serveHosts(w, r)
	default:
		http.Error(w, "no such service", http.StatusBadRequest)
	}
}

// serveSwitch changes the faults that the body names and keeps the others.
func (p *Platform) serveSwitch(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults
	if !read(w, r, &faults) {
		return
	}
	p.faults = faults
	reply(w, http.StatusOK, faults)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var request bhplatform.GetRequest
	if !read(w, r, &request) {
		return
	}
	p.count(func(c *Counts) { c.Gets++ })
	row, ok := p.table.get(request.Key)
	if !ok {
		http.Error(w, request.Key, http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, row)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	var request bhplatform.ListRequest
	if !read(w, r, &request) {
		return
	}
	p.count(func(c *Counts) { c.Lists++ })
	rows := p.table.list(request.Prefix, request.After, request.Limit)
	reply(w, http.StatusOK, bhplatform.ListReply{Rows: rows})
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var request bhplatform.CommitRequest
	if !read(w, r, &request) {
		return
	}
	versions, err := p.table.commit(request.Writes)
	if err != nil {
		p.count(func(c *Counts) { c.Conflicts++ })
		http.Error(w, err.Error(), bhcode.From(err).Code.Info().Status)
		return
	}
	p.count(func(c *Counts) { c.Commits++; c.Rows += changes(request.Writes) })
	if p.loses() {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, bhplatform.CommitReply{Versions: versions})
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		var host bhplatform.Host
		if !read(w, r, &host) {
			return
		}
		p.SetHost(host)
	case http.MethodDelete:
		p.RemoveHost(r.URL.Query().Get("name"))
	default:
		p.mu.Lock()
		hosts := p.hosts.Get()
		p.mu.Unlock()
		list := bhplatform.HostsReply{Hosts: []bhplatform.Host{}}
		for _, name := range slices.Sorted(maps.Keys(hosts)) {
			list.Hosts = append(list.Hosts, hosts[name])
		}
		reply(w, http.StatusOK, list)
	}
}

func (p *Platform) count(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

// loses reports whether the reply of a commit is lost.
func (p *Platform) loses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Lose == 0 {
		return false
	}
	p.faults.Lose--
	return true
}

func changes(writes []bhplatform.Write) int {
	n := 0
	for _, write := range writes {
		if !write.Check {
			n++
		}
	}
	return n
}

func read(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

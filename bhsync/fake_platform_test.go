package bhsync

import (
	"bytes"
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// fakePlatform is an in-memory table, object store and host list with fault
// injection.
type fakePlatform struct {
	mu          sync.Mutex
	rows        map[string]bhplatform.Row
	lastVersion bhplatform.Version
	objects     map[string][]byte
	hosts       []bhplatform.Host
	reads       int
	writes      int

	unavailable bool
	delay       time.Duration
	// The next lostReplies commits take effect but fail with PlatformUnknown.
	// The next delayedCommits commits fail with PlatformUnknown and take effect
	// commitDelay later.
	lostReplies, delayedCommits int
	commitDelay                 time.Duration
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		rows:    make(map[string]bhplatform.Row),
		objects: make(map[string][]byte),
		delay:   5 * time.Millisecond,
	}
}

func (p *fakePlatform) update(change func(*fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// hostView is the platform as seen by one host.
type hostView struct {
	*fakePlatform
	// blocked reports whether the host can't reach the platform.
	// waitWhilePaused blocks while the host is paused. Both may be nil.
	blocked         func() bool
	waitWhilePaused func()
}

func (v *hostView) platform() bhplatform.Platform {
	return bhplatform.Platform{Table: v, Objects: (*fakeObjects)(v), Hosts: v}
}

// call runs operation with the platform's delay. It returns an error if the
// platform is unavailable to the host or ctx ends before the reply.
func (v *hostView) call(ctx context.Context, operation func()) error {
	v.mu.Lock()
	unavailable, delay := v.unavailable, v.delay
	v.mu.Unlock()
	if v.blocked != nil && v.blocked() {
		unavailable = true
	}
	if unavailable {
		bhtree.Sleep(ctx, delay)
		return bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	bhtree.Sleep(ctx, delay/2)
	v.mu.Lock()
	operation()
	v.mu.Unlock()
	bhtree.Sleep(ctx, delay/2)
	if v.waitWhilePaused != nil {
		v.waitWhilePaused()
	}
	if ctx.Err() != nil {
		return bhcode.Wrap(ctx.Err(), bhcode.PlatformUnknown, "late")
	}
	return nil
}

func (v *hostView) Get(ctx context.Context, key string) (bhplatform.Row, error) {
	var row bhplatform.Row
	found := false
	err := v.call(ctx, func() { row, found = v.rows[key]; v.reads++ })
	if err == nil && !found {
		err = bhcode.New(bhcode.NotFound, "%s", key)
	}
	return row, err
}

func (v *hostView) List(ctx context.Context, prefix, after string, limit int) ([]bhplatform.Row, error) {
	var rows []bhplatform.Row
	err := v.call(ctx, func() {
		v.reads++
		for key, row := range v.rows {
			if strings.HasPrefix(key, prefix) && key > after {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b bhplatform.Row) int { return strings.Compare(a.Key, b.Key) })
		rows = rows[:min(limit, len(rows))]
	})
	return rows, err
}

func (v *hostView) Commit(ctx context.Context, writes ...bhplatform.Write) ([]bhplatform.Version, error) {
	var versions []bhplatform.Version
	var outcome error
	err := v.call(ctx, func() {
		v.writes++
		if v.delayedCommits > 0 {
			v.delayedCommits--
			outcome = bhcode.New(bhcode.PlatformUnknown, "no reply")
			time.AfterFunc(v.commitDelay, func() {
				v.mu.Lock()
				defer v.mu.Unlock()
				_, _ = v.commit(writes)
			})
			return
		}
		versions, outcome = v.commit(writes)
		if v.lostReplies > 0 {
			v.lostReplies--
			outcome = bhcode.New(bhcode.PlatformUnknown, "reply lost")
		}
	})
	if err != nil {
		return nil, err
	}
	return versions, outcome
}

func (p *fakePlatform) commit(writes []bhplatform.Write) ([]bhplatform.Version, error) {
	for _, write := range writes {
		if write.Expect != bhplatform.Any && p.rows[write.Key].Version != write.Expect {
			return nil, bhcode.New(bhcode.PlatformConflict, "%s", write.Key)
		}
	}
	versions := make([]bhplatform.Version, len(writes))
	for i, write := range writes {
		switch {
		case write.Check:
		case write.Delete:
			delete(p.rows, write.Key)
		default:
			p.lastVersion++
			versions[i] = p.lastVersion
			p.rows[write.Key] = bhplatform.Row{Key: write.Key, Value: write.Value, Version: p.lastVersion}
		}
	}
	return versions, nil
}

func (v *hostView) Hosts(ctx context.Context) ([]bhplatform.Host, error) {
	var hosts []bhplatform.Host
	err := v.call(ctx, func() { hosts = slices.Clone(v.hosts); v.reads++ })
	return hosts, err
}

func (v *hostView) Announce(context.Context, bhplatform.Host) error { return nil }

type fakeObjects hostView

func (o *fakeObjects) Put(ctx context.Context, name string, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return (*hostView)(o).call(ctx, func() { o.objects[name] = data; o.writes++ })
}

func (o *fakeObjects) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	var data []byte
	found := false
	err := (*hostView)(o).call(ctx, func() { data, found = o.objects[name]; o.reads++ })
	if err == nil && !found {
		err = bhcode.New(bhcode.NotFound, "%s", name)
	}
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(data[offset:])), nil
}

func (o *fakeObjects) Delete(ctx context.Context, name string) error {
	return (*hostView)(o).call(ctx, func() { delete(o.objects, name) })
}

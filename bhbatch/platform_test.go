package bhbatch

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// operationCounts counts the operations that the platform charges for.
type operationCounts struct {
	reads, commits, rowWrites, puts, gets int
}

// fakePlatform is a table and an object store in memory that can inject faults.
type fakePlatform struct {
	mu          sync.Mutex
	rows        map[string]bhplatform.Row
	lastVersion bhplatform.Version
	objects     map[string][]byte
	random      *rand.Rand
	counts      operationCounts
	delay       time.Duration
	// tableDown and objectsDown fail every operation of the table or object
	// store.
	tableDown, objectsDown bool
	// lostReplyShare is the share of writes that take effect but report an
	// unknown outcome.
	lostReplyShare float64
	// lateWriteShare is the share of table writes that report an unknown
	// outcome and take effect later.
	lateWriteShare float64
	// refusedShare is the share of operations that fail without effect.
	refusedShare float64
}

func newFakePlatform(seed uint64) *fakePlatform {
	return &fakePlatform{
		rows: map[string]bhplatform.Row{}, objects: map[string][]byte{},
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (f *fakePlatform) platform() bhplatform.Platform {
	return bhplatform.Platform{Table: f, Objects: fakeObjects{f}}
}

func (f *fakePlatform) update(change func(*fakePlatform)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakePlatform) chance(share float64) bool { return share > 0 && f.random.Float64() < share }

func (f *fakePlatform) sleepDelay(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay > 0 && !bhtree.Sleep(ctx, delay) {
		return bhcode.New(bhcode.PlatformUnavailable, "timeout")
	}
	return nil
}

func (f *fakePlatform) Get(ctx context.Context, key string) (bhplatform.Row, error) {
	if err := f.sleepDelay(ctx); err != nil {
		return bhplatform.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.reads++
	if f.tableDown || f.chance(f.refusedShare) {
		return bhplatform.Row{}, bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	row, ok := f.rows[key]
	if !ok {
		return row, bhcode.New(bhcode.NotFound, "%s", key)
	}
	return row, nil
}

func (f *fakePlatform) List(ctx context.Context, prefix, after string, limit int) ([]bhplatform.Row, error) {
	if err := f.sleepDelay(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.reads++
	if f.tableDown || f.chance(f.refusedShare) {
		return nil, bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	var found []bhplatform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

func (f *fakePlatform) Commit(ctx context.Context, writes ...bhplatform.Write) ([]bhplatform.Version, error) {
	if err := f.sleepDelay(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.commits++
	if f.tableDown || f.chance(f.refusedShare) {
		return nil, bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	if f.chance(f.lateWriteShare) {
		delay := rand.N(3 * time.Second)
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.applyLocked(writes)
		})
		return nil, bhcode.New(bhcode.PlatformUnknown, "late")
	}
	versions, err := f.applyLocked(writes)
	if err == nil && f.chance(f.lostReplyShare) {
		return nil, bhcode.New(bhcode.PlatformUnknown, "reply lost")
	}
	return versions, err
}

func (f *fakePlatform) applyLocked(writes []bhplatform.Write) ([]bhplatform.Version, error) {
	for _, write := range writes {
		if write.Expect != bhplatform.Any && f.rows[write.Key].Version != write.Expect {
			return nil, bhcode.New(bhcode.PlatformConflict, "%s", write.Key)
		}
	}
	versions := make([]bhplatform.Version, len(writes))
	for i, write := range writes {
		if write.Check {
			continue
		}
		f.counts.rowWrites++
		if write.Delete {
			delete(f.rows, write.Key)
			continue
		}
		f.lastVersion++
		versions[i] = f.lastVersion
		value := append([]byte(nil), write.Value...)
		f.rows[write.Key] = bhplatform.Row{Key: write.Key, Value: value, Version: f.lastVersion}
	}
	return versions, nil
}

type fakeObjects struct{ *fakePlatform }

func (f fakeObjects) Put(ctx context.Context, name string, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if err := f.sleepDelay(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.puts++
	if f.objectsDown || f.chance(f.refusedShare) {
		return bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	f.objects[name] = data
	if f.chance(f.lostReplyShare) {
		return bhcode.New(bhcode.PlatformUnknown, "reply lost")
	}
	return nil
}

func (f fakeObjects) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	if err := f.sleepDelay(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.gets++
	if f.objectsDown || f.chance(f.refusedShare) {
		return nil, bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	data, ok := f.objects[name]
	if !ok {
		return nil, bhcode.New(bhcode.NotFound, "%s", name)
	}
	return io.NopCloser(bytes.NewReader(data[offset:])), nil
}

func (f fakeObjects) Delete(_ context.Context, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objectsDown {
		return bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	delete(f.objects, name)
	return nil
}

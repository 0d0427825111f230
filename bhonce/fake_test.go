package bhonce

import (
	"bytes"
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// fault is what happens to one operation on the table. Every fault refuses a
// read; the constants describe writes.
type fault int

const (
	faultNone fault = iota
	// faultDown refuses the operation.
	faultDown
	// faultLostReply applies the write and returns PlatformUnknown.
	faultLostReply
	// faultLostWrite drops the write and returns PlatformUnknown.
	faultLostWrite
	// faultDelayed returns PlatformUnknown and applies the write when
	// applyDelayed is called.
	faultDelayed
)

// fakeTable is a table and object store in memory. The test chooses the faults
// of the table.
type fakeTable struct {
	mutex   sync.Mutex
	rows    map[string]bhplatform.Row
	objects map[string][]byte
	version bhplatform.Version
	delayed [][]bhplatform.Write
	writes  int
	// chooseFault returns the fault of the next operation on the table. If it
	// is nil, no operation fails.
	chooseFault func(write bool) fault
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: make(map[string]bhplatform.Row), objects: make(map[string][]byte)}
}

func (f *fakeTable) newClaimer(host string) *Claimer {
	return New(Config{Table: f, Objects: f.objectStore(), Host: host, Logger: bhlog.Nop()})
}

func (f *fakeTable) drawFault(write bool) fault {
	if f.chooseFault == nil {
		return faultNone
	}
	return f.chooseFault(write)
}

func (f *fakeTable) Get(_ context.Context, key string) (bhplatform.Row, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.drawFault(false) != faultNone {
		return bhplatform.Row{}, bhcode.New(bhcode.PlatformUnavailable, "down")
	}
	row, ok := f.rows[key]
	if !ok {
		return row, bhcode.New(bhcode.NotFound, "%s", key)
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]bhplatform.Row, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var rows []bhplatform.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, f.rows[key])
		}
	}
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, writes ...bhplatform.Write) ([]bhplatform.Version, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.writes++
	unknown := bhcode.New(bhcode.PlatformUnknown, "reply lost")
	switch f.drawFault(true) {
	case faultDown:
		return nil, bhcode.New(bhcode.PlatformUnavailable, "down")
	case faultLostWrite:
		return nil, unknown
	case faultDelayed:
		f.delayed = append(f.delayed, writes)
		return nil, unknown
	case faultLostReply:
		_, _ = f.apply(writes)
		return nil, unknown
	}
	return f.apply(writes)
}

func (f *fakeTable) apply(writes []bhplatform.Write) ([]bhplatform.Version, error) {
	var versions []bhplatform.Version
	for _, w := range writes {
		if row := f.rows[w.Key]; w.Expect != bhplatform.Any && row.Version != w.Expect {
			return nil, bhcode.New(bhcode.PlatformConflict, "%s", w.Key)
		}
	}
	for _, w := range writes {
		f.version++
		if w.Delete {
			delete(f.rows, w.Key)
			versions = append(versions, 0)
			continue
		}
		f.rows[w.Key] = bhplatform.Row{Key: w.Key, Value: w.Value, Version: f.version}
		versions = append(versions, f.version)
	}
	return versions, nil
}

// applyDelayed applies the oldest delayed write, if there is one.
func (f *fakeTable) applyDelayed() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.delayed) > 0 {
		_, _ = f.apply(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
}

func (f *fakeTable) objectStore() bhplatform.Objects { return &fakeObjects{table: f} }

// fakeObjects is the object store of a fakeTable. It has no faults.
type fakeObjects struct{ table *fakeTable }

func (o *fakeObjects) Put(_ context.Context, name string, body io.Reader) error {
	data, err := io.ReadAll(body)
	o.table.mutex.Lock()
	defer o.table.mutex.Unlock()
	o.table.objects[name] = data
	return err
}

func (o *fakeObjects) Get(_ context.Context, name string, _ int64) (io.ReadCloser, error) {
	o.table.mutex.Lock()
	defer o.table.mutex.Unlock()
	data, ok := o.table.objects[name]
	if !ok {
		return nil, bhcode.New(bhcode.NotFound, "%s", name)
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

func (o *fakeObjects) Delete(_ context.Context, name string) error {
	o.table.mutex.Lock()
	defer o.table.mutex.Unlock()
	delete(o.table.objects, name)
	return nil
}

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

// fault is what happens to one write.
type fault int

const (
	faultNone fault = iota
	// faultDown refuses the operation.
	faultDown
	// faultLostReply applies the write and loses the reply.
	faultLostReply
	// faultLostWrite loses the write.
	faultLostWrite
	// faultLate applies the write when flush is called.
	faultLate
)

// fakeTable is a table and object store whose faults the test chooses.
type fakeTable struct {
	mutex   sync.Mutex
	rows    map[string]bhplatform.Row
	objects map[string][]byte
	version bhplatform.Version
	late    [][]bhplatform.Write
	writes  int
	// next returns the fault of the next operation; nil means none.
	next func(write bool) fault
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: make(map[string]bhplatform.Row), objects: make(map[string][]byte)}
}

func (f *fakeTable) keeper(host string) *Keeper {
	return New(Config{Table: f, Objects: f.store(), Host: host, Logger: bhlog.Nop()})
}

func (f *fakeTable) draw(write bool) fault {
	if f.next == nil {
		return faultNone
	}
	return f.next(write)
}

func (f *fakeTable) Get(_ context.Context, key string) (bhplatform.Row, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.draw(false) != faultNone {
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
	switch f.draw(true) {
	case faultDown:
		return nil, bhcode.New(bhcode.PlatformUnavailable, "down")
	case faultLostWrite:
		return nil, unknown
	case faultLate:
		f.late = append(f.late, writes)
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

// flush applies the oldest late write.
func (f *fakeTable) flush() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.late) > 0 {
		_, _ = f.apply(f.late[0])
		f.late = f.late[1:]
	}
}

func (f *fakeTable) store() bhplatform.Objects { return &fakeObjects{table: f} }

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

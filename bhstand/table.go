package bhstand

import (
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const defaultListLimit = 1000

// table is a transactional table in memory. Its versions come from one counter,
// so that none is reused, also across deletion.
type table struct {
	mu   sync.Mutex
	rows map[string]bhplatform.Row
	keys []string
	last bhplatform.Version
}

func newTable() *table { return &table{rows: make(map[string]bhplatform.Row)} }

// get returns the row with the key and whether it exists.
func (t *table) get(key string) (bhplatform.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok
}

// list returns up to limit rows after a key, in key order.
func (t *table) list(prefix, after string, limit int) []bhplatform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit <= 0 {
		limit = defaultListLimit
	}
	start := sort.SearchStrings(t.keys, max(prefix, after))
	rows := []bhplatform.Row{}
	for _, key := range t.keys[start:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after || after == "" {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

// commit applies all writes or none.
func (t *table) commit(writes []bhplatform.Write) ([]bhplatform.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool, len(writes))
	for _, write := range writes {
		if seen[write.Key] {
			return nil, bhcode.New(bhcode.BadRequest, "key %q is written twice", write.Key)
		}
		seen[write.Key] = true
		if !t.holds(write) {
			return nil, bhcode.New(bhcode.PlatformConflict, "key %q has version %d, not %d",
				write.Key, t.rows[write.Key].Version, write.Expect)
		}
	}
	versions := make([]bhplatform.Version, len(writes))
	for i, write := range writes {
		versions[i] = t.apply(write)
	}
	return versions, nil
}

func (t *table) holds(write bhplatform.Write) bool {
	row, exists := t.rows[write.Key]
	switch write.Expect {
	case bhplatform.Any:
		return true
	case bhplatform.Absent:
		return !exists
	}
	return exists && row.Version == write.Expect
}

func (t *table) apply(write bhplatform.Write) bhplatform.Version {
	if write.Check {
		return 0
	}
	index, exists := slices.BinarySearch(t.keys, write.Key)
	if write.Delete {
		if exists {
			t.keys = slices.Delete(t.keys, index, index+1)
			delete(t.rows, write.Key)
		}
		return 0
	}
	if !exists {
		t.keys = slices.Insert(t.keys, index, write.Key)
	}
	t.last++
	t.rows[write.Key] = bhplatform.Row{Key: write.Key, Value: write.Value, Version: t.last}
	return t.last
}

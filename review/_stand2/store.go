package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the platform's store, as the installations' sheets and settings state them.
const (
	transactionTime   = 5 * time.Millisecond
	readTime          = 4 * time.Millisecond
	partitionBacklog  = time.Second
	writesPerSecond   = 1000
	readsPerSecond    = 2000
	maxRowsPerReply   = 500
	maxEntriesPerCall = 100
)

// row is the store's JSON form of a row.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version *int64 `json:"rowVersion,omitempty"`
}

// rowKey names a row.
type rowKey struct{ table, part, key string }

func keyOf(r row) rowKey { return rowKey{r.Table, r.Part, r.Key} }

// storedRow is a row's value and version.
type storedRow struct {
	value   []byte
	version int64
}

// store stands in for the platform's store. Each partition makes one transaction after
// another, and refuses them with 429 while more than a second of them waits.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	blobs   map[string][]byte
	version int64
	// freeAt is when each partition has made the transactions that wait there.
	freeAt map[string]time.Time
	// windowStart, writes and reads count the calls of the present second.
	windowStart   time.Time
	writes, reads int

	// Counts for the record.
	applied, conflicts, refused int
	longestWait                 time.Duration
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]storedRow{}, blobs: map[string][]byte{}, freeAt: map[string]time.Time{}}
}

func (s *store) nowMs() int64 { return 3_600_000 + time.Since(s.started).Milliseconds() }

// set writes a row at once, as the operator and the workers do.
func (s *store) set(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = storedRow{data, s.version}
}

// admit counts a call and reports whether it is within the rate.
func (s *store) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerSecond
	}
	s.reads++
	return s.reads <= readsPerSecond
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.admit(r.Method != http.MethodGet) {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	switch {
	case r.URL.Path == "/rows-get":
		time.Sleep(readTime)
		s.serveGet(w, r)
	case r.URL.Path == "/rows-tx":
		s.serveTransaction(w, body)
	case strings.HasPrefix(r.URL.Path, "/blob-"):
		time.Sleep(readTime)
		s.serveBlob(w, r, body)
	default:
		http.Error(w, "no such call", http.StatusBadRequest)
	}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := maxRowsPerReply
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, stored := range s.rows {
		to := query.Get("to")
		if key.table == query.Get("table") && key.part == query.Get("part") && key.key >= query.Get("from") && (to == "" || key.key < to) {
			version := stored.version
			rows = append(rows, row{key.table, key.part, key.key, stored.value, &version})
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, count := 0, 0
	for _, found := range rows {
		if count == limit || count > 0 && size+len(found.Value) > 700_000 {
			break
		}
		size += len(found.Value)
		count++
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows[:count], "hasMore": count < len(rows), "rowVersion": s.version, "nowMs": s.nowMs()})
}

// transaction is the body of a call that changes rows.
type transaction struct {
	Expected []row `json:"expectedRevision"`
	Writes   []row `json:"writes"`
	Deletes  []row `json:"deletes"`
}

// part returns the partition of the transaction, or false if it has several.
func (t *transaction) part() (string, bool) {
	all := slices.Concat(t.Expected, t.Writes, t.Deletes)
	for _, entry := range all {
		if entry.Part != all[0].Part {
			return "", false
		}
	}
	return all[0].Part, true
}

func (s *store) serveTransaction(w http.ResponseWriter, body []byte) {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Deletes) > maxEntriesPerCall {
		http.Error(w, "bad transaction", http.StatusBadRequest)
		return
	}
	if len(t.Expected)+len(t.Writes)+len(t.Deletes) == 0 {
		reply(w, http.StatusOK, map[string]any{"rowVersion": s.version, "nowMs": s.nowMs()})
		return
	}
	part, ok := t.part()
	if !ok {
		http.Error(w, "several partitions", http.StatusBadRequest)
		return
	}
	doneAt, ok := s.enqueue(part)
	if !ok {
		http.Error(w, "the partition is busy", http.StatusTooManyRequests)
		return
	}
	time.Sleep(time.Until(doneAt))
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	var current []row
	for _, expected := range t.Expected {
		stored, ok := s.rows[keyOf(expected)]
		if ok {
			version := stored.version
			current = append(current, row{expected.Table, expected.Part, expected.Key, stored.value, &version})
		}
		held = held && expected.Version != nil && *expected.Version == stored.version
	}
	if !held {
		s.conflicts++
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": s.version, "nowMs": s.nowMs()})
		return
	}
	s.applied++
	s.version++
	for _, write := range t.Writes {
		s.rows[keyOf(write)] = storedRow{write.Value, s.version}
	}
	for _, dropped := range t.Deletes {
		delete(s.rows, keyOf(dropped))
	}
	reply(w, http.StatusOK, map[string]any{"rowVersion": s.version, "nowMs": s.nowMs()})
}

// enqueue returns when the partition has made one more transaction, or false if too many wait.
func (s *store) enqueue(part string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	start := s.freeAt[part]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > partitionBacklog {
		s.refused++
		return time.Time{}, false
	}
	s.longestWait = max(s.longestWait, start.Sub(now))
	s.freeAt[part] = start.Add(transactionTime)
	return s.freeAt[part], true
}

func (s *store) serveBlob(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call, name, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	switch call {
	case "blob-put":
		s.blobs[name] = body
		reply(w, http.StatusOK, map[string]any{})
	case "blob-get":
		data, ok := s.blobs[name]
		if !ok {
			http.Error(w, "no such object", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	default:
		delete(s.blobs, name)
		reply(w, http.StatusOK, map[string]any{})
	}
}

// counts returns what the store has done, for the record.
func (s *store) counts() (applied, conflicts, refused int, longestWait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied, s.conflicts, s.refused, s.longestWait
}

func reply(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

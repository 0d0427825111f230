package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerTime is that of a call. transactionTime is transactionMs, and that of partitionWritesS: a part handles
	// transactions one after another, and refuses further ones while more than maxWaiting of them is waiting.
	answerTime      = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
	maxWaiting      = time.Second
)

// rowKey names a row of the store.
type rowKey struct{ table, part, key string }

// storeRow is a row of the store as its pages spell it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"rowVersion"`
}

// Store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata
// store"). It keeps everything in memory.
type Store struct {
	// Intercept, if set, is called for each call before it is carried out. It may return false to
	// have the connection reset, with or without carrying out the call by itself.
	Intercept func(r *http.Request) bool

	partMu sync.Mutex
	// free holds, by part, when its present transactions are done.
	free map[string]time.Time

	mu      sync.Mutex
	rows    map[rowKey]storeRow
	blobs   map[string][]byte
	version int64
	started time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{free: make(map[string]time.Time), rows: make(map[rowKey]storeRow), blobs: make(map[string][]byte), started: time.Now()}
}

// Put writes a row as the operator or a worker does, and returns its version.
func (s *Store) Put(table, part, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, part, key}] = storeRow{table, part, key, data, s.version}
	return s.version
}

// Delete removes a row.
func (s *Store) Delete(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, rowKey{table, part, key})
}

// Count returns the number of rows of a table.
func (s *Store) Count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.rows {
		if key.table == table {
			count++
		}
	}
	return count
}

func (s *Store) nowMs() int64 { return 50_000 + time.Since(s.started).Milliseconds() }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Intercept != nil && !s.Intercept(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(answerTime)
	switch path := r.URL.Path; {
	case path == "/rows-tx" && r.Method == http.MethodPost:
		s.transact(w, r)
	case path == "/rows-get" && r.Method == http.MethodGet:
		s.get(w, r)
	case path == "/rows-parts" && r.Method == http.MethodGet:
		s.parts(w, r)
	case strings.HasPrefix(path, "/blob-put/") && r.Method == http.MethodPut:
		s.putBlob(w, r, strings.TrimPrefix(path, "/blob-put/"))
	case strings.HasPrefix(path, "/blob-get/") && r.Method == http.MethodGet:
		s.getBlob(w, strings.TrimPrefix(path, "/blob-get/"))
	case strings.HasPrefix(path, "/blob-drop/") && r.Method == http.MethodDelete:
		s.mu.Lock()
		delete(s.blobs, strings.TrimPrefix(path, "/blob-drop/"))
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

type rowsReply struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"hasMore"`
	Version int64      `json:"rowVersion"`
	NowMs   int64      `json:"nowMs"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []storeRow `json:"expectedRevision"`
		Writes   []storeRow `json:"writes"`
		Deletes  []storeRow `json:"deletes"`
	}
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &call)
	}
	if err != nil || len(call.Expected)+len(call.Writes)+len(call.Deletes) > 100 || len(data) > 1<<20 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if len(call.Expected)+len(call.Writes)+len(call.Deletes) == 0 {
		reply(w, http.StatusOK, rowsReply{Rows: []storeRow{}, NowMs: s.nowMs()})
		return
	}
	all := append(append(append([]storeRow{}, call.Expected...), call.Writes...), call.Deletes...)
	for _, row := range all {
		if row.Part != all[0].Part || len(row.Key) > 200 || len(row.Value) > 65536 {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	for _, row := range append(call.Writes, call.Deletes...) {
		if row.Table == "op" || row.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	if !s.await(all[0].Part) {
		reply(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []storeRow{}
	for _, row := range call.Expected {
		present, ok := s.rows[rowKey{row.Table, row.Part, row.Key}]
		if ok {
			current = append(current, present)
		}
		holds = holds && present.Version == row.Version
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, rowsReply{Rows: current, Version: s.version, NowMs: s.nowMs()})
		return
	}
	s.version++
	for _, row := range call.Writes {
		row.Version = s.version
		s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	}
	for _, row := range call.Deletes {
		delete(s.rows, rowKey{row.Table, row.Part, row.Key})
	}
	reply(w, http.StatusOK, rowsReply{Rows: []storeRow{}, Version: s.version, NowMs: s.nowMs()})
}

// await waits until the part has handled the transactions before, and this one. It reports false if more than
// maxWaiting of them is waiting.
func (s *Store) await(part string) bool {
	s.partMu.Lock()
	now := time.Now()
	begin := s.free[part]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > maxWaiting {
		s.partMu.Unlock()
		return false
	}
	end := begin.Add(transactionTime)
	s.free[part] = end
	s.partMu.Unlock()
	time.Sleep(time.Until(end))
	return true
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []storeRow{}
	for key, row := range s.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && key.key >= query.Get("from") &&
			(!query.Has("to") || key.key < query.Get("to")) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	page, size := found[:0:0], 0
	for _, row := range found {
		if len(page) == limit || size+len(row.Value) > 1<<20 {
			break
		}
		size += len(row.Value)
		page = append(page, row)
	}
	if page == nil {
		page = []storeRow{}
	}
	reply(w, http.StatusOK, rowsReply{Rows: page, HasMore: len(page) < len(found), Version: s.version, NowMs: s.nowMs()})
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for key := range s.rows {
		if key.table == r.URL.Query().Get("table") && key.part > r.URL.Query().Get("after") {
			parts[key.part] = true
		}
	}
	names := []string{}
	for name := range parts {
		names = append(names, name)
	}
	sort.Strings(names)
	reply(w, http.StatusOK, map[string]any{"parts": names, "hasMore": false})
}

func (s *Store) putBlob(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.blobs[name]; ok && r.Header.Get("If-None-Match") == "*" {
		reply(w, http.StatusPreconditionFailed, map[string]any{})
		return
	}
	s.blobs[name] = data
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) getBlob(w http.ResponseWriter, name string) {
	s.mu.Lock()
	data, ok := s.blobs[name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// reply writes the value as JSON, with a length.
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

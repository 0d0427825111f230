package main

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// storeLatency is the time of an answer of the store on the sheets.
const storeLatency = 4 * time.Millisecond

// storeRow is a row on the wire of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
}

func (r storeRow) key() bhplatform.Key {
	return bhplatform.Key{Table: r.Table, Partition: r.Part, Name: r.Key}
}

// storeServer serves the platform's store over HTTP.
type storeServer struct {
	store  *bhstand.Store
	server *http.Server

	mu sync.Mutex
	// written is called after each transaction that was made, with its writes. It reports
	// whether the answer is lost: the connection then delivers nothing further.
	written func(writes []storeRow) (lost bool)
}

// newStoreServer serves an empty store on the listener.
func newStoreServer(listener net.Listener) *storeServer {
	s := &storeServer{store: bhstand.NewStore(bhstand.StoreConfig{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// onWritten sets the function that is called after each transaction.
func (s *storeServer) onWritten(written func(writes []storeRow) (lost bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = written
}

// put writes a row as the operator and the workers do.
func (s *storeServer) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.store.Force(bhplatform.Key{Table: table, Name: key}, data)
}

// remove removes a row as the store does when a worker's entry expires.
func (s *storeServer) remove(table, key string) error {
	return s.store.Force(bhplatform.Key{Table: table, Name: key}, nil)
}

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	switch {
	case r.URL.Path == "/rows-get":
		s.get(w, r)
	case r.URL.Path == "/rows-tx":
		s.transact(w, r, body)
	case strings.HasPrefix(r.URL.Path, "/blob-put/"):
		s.answerObject(w, s.store.Put(r.Context(), strings.TrimPrefix(r.URL.Path, "/blob-put/"), strings.NewReader(string(body))))
	case strings.HasPrefix(r.URL.Path, "/blob-get/"):
		s.getObject(w, r)
	case strings.HasPrefix(r.URL.Path, "/blob-drop/"):
		s.answerObject(w, s.store.Delete(r.Context(), strings.TrimPrefix(r.URL.Path, "/blob-drop/")))
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func (s *storeServer) answerObject(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *storeServer) getObject(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.Get(r.Context(), strings.TrimPrefix(r.URL.Path, "/blob-get/"), 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	data, _ := io.ReadAll(object)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (s *storeServer) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	page, err := s.store.Scan(r.Context(), bhplatform.Range{
		Table: query.Get("table"), Partition: query.Get("part"), From: query.Get("from"), To: query.Get("to"), Limit: limit,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeRows(w, http.StatusOK, page.Records, page.More, int64(page.Version), page.Now)
}

func (s *storeServer) transact(w http.ResponseWriter, r *http.Request, body []byte) {
	var call struct {
		Expected []storeRow `json:"expectedRevision"`
		Writes   []storeRow `json:"writes"`
		Deletes  []storeRow `json:"deletes"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var transaction bhplatform.Transaction
	for _, row := range call.Expected {
		transaction.Conditions = append(transaction.Conditions, bhplatform.Condition{Key: row.key(), Version: bhplatform.Version(row.Version)})
	}
	for _, row := range call.Writes {
		transaction.Puts = append(transaction.Puts, bhplatform.Put{Key: row.key(), Value: row.Value})
	}
	for _, row := range call.Deletes {
		transaction.Deletes = append(transaction.Deletes, row.key())
	}
	receipt, err := s.store.Apply(r.Context(), transaction)
	var conflict *bhplatform.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeRows(w, http.StatusPreconditionFailed, conflict.Current, false, 0, conflict.Now)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		s.mu.Lock()
		written := s.written
		s.mu.Unlock()
		if written != nil && written(call.Writes) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		writeRows(w, http.StatusOK, nil, false, int64(receipt.Version), receipt.Now)
	}
}

func writeRows(w http.ResponseWriter, status int, records []bhplatform.Record, more bool, version int64, now time.Duration) {
	rows := []storeRow{}
	for _, r := range records {
		rows = append(rows, storeRow{Table: r.Key.Table, Part: r.Key.Partition, Key: r.Key.Name, Value: r.Value, Version: int64(r.Version)})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "rowVersion": version, "nowMs": now.Milliseconds()})
}

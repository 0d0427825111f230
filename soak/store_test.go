package soak

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// jobTable is the table of open jobs. Lost replies to writes there keep the caller waiting;
// others end the connection at once, so that quotas don't stand still with the store.
const jobTable = "job"

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

// storeServer serves a store in memory in the platform's format.
type storeServer struct {
	store *bhstand.Store

	// latency is added to each call, in nanoseconds.
	latency atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	// trouble is what becomes of a part of the calls of the processes.
	trouble bhstand.Fault
}

func newStoreServer(seed uint64) *storeServer {
	s := &storeServer{random: rand.New(rand.NewPCG(seed, 2))}
	s.store = bhstand.NewStore(bhstand.StoreConfig{Fault: s.fault, Late: time.Second})
	return s
}

func (s *storeServer) fault(write bool) bhstand.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trouble == bhstand.Serve || !write && s.trouble != bhstand.Refuse || s.random.IntN(3) == 0 {
		return bhstand.Serve
	}
	return s.trouble
}

func (s *storeServer) set(trouble bhstand.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = trouble
}

// put writes a row as the operator and the engines do, past all trouble.
func (s *storeServer) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.store.Force(bhplatform.Key{Table: table, Name: key}, data)
}

// remove removes a row as the operator does, past all trouble.
func (s *storeServer) remove(table, key string) error {
	return s.store.Force(bhplatform.Key{Table: table, Name: key}, nil)
}

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(s.latency.Load()))
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-tx":
		s.transact(w, r, body)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func (s *storeServer) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	page, err := s.store.Scan(r.Context(), bhplatform.Range{
		Table: query.Get("table"), Partition: query.Get("part"), From: query.Get("from"), To: query.Get("to"), Limit: limit,
	})
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, page.Records, page.More, int64(page.Version), page.Now)
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
		reply(w, http.StatusPreconditionFailed, conflict.Current, false, 0, conflict.Now)
	case err != nil:
		if !bhcode.Is(err, bhcode.PlatformUnavailable) && slices.ContainsFunc(call.Writes, func(row storeRow) bool { return row.Table == jobTable }) {
			<-r.Context().Done() // the caller waits for the lost reply until it gives up
		}
		fail(w, err)
	default:
		reply(w, http.StatusOK, nil, false, int64(receipt.Version), receipt.Now)
	}
}

// fail answers with a failure; a lost reply ends the connection.
func fail(w http.ResponseWriter, err error) {
	if bhcode.Is(err, bhcode.PlatformUnavailable) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, records []bhplatform.Record, more bool, version int64, now time.Duration) {
	rows := []storeRow{}
	for _, record := range records {
		rows = append(rows, storeRow{
			Table: record.Key.Table, Part: record.Key.Partition, Key: record.Key.Name, Value: record.Value, Version: int64(record.Version),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "rowVersion": version, "nowMs": now.Milliseconds()})
}

package bhstand

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// storePage is the most records that a Store returns at once.
const storePage = 500

// pageBytes is the most bytes of values in base64 that a Store returns at once, but for a single one.
const pageBytes = 1 << 20

// Fault is what a Store does with one call.
type Fault int

// Faults of a Store.
const (
	// Serve does what was asked.
	Serve Fault = iota
	// Refuse does nothing and says so.
	Refuse
	// Lose does what was asked and loses the reply.
	Lose
	// Delay loses the reply and does what was asked after StoreConfig.Late, if
	// its conditions still hold.
	Delay
	// Silence does nothing and never answers.
	Silence
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// Fault decides what becomes of a call; nil serves all. Scans know Serve,
	// Refuse and Silence only.
	Fault func(write bool) Fault
	// Late is when a delayed transaction is made.
	Late time.Duration
	// Latency is the time of a call.
	Latency time.Duration
}

// Store is a partitioned table service and an object store in memory. It
// implements bhplatform.Store and bhplatform.Objects.
type Store struct {
	config StoreConfig
	start  time.Time

	mu      sync.Mutex
	records map[bhplatform.Key]bhplatform.Record
	objects map[string][]byte
	version bhplatform.Version
	calls   int
	late    sync.WaitGroup
}

// NewStore returns an empty store.
func NewStore(config StoreConfig) *Store {
	return &Store{
		config:  config,
		start:   time.Now(),
		records: make(map[bhplatform.Key]bhplatform.Record),
		objects: make(map[string][]byte),
	}
}

// Close waits for delayed transactions.
func (s *Store) Close() error {
	s.late.Wait()
	return nil
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Scan implements bhplatform.Store.
func (s *Store) Scan(ctx context.Context, scan bhplatform.Range) (bhplatform.Page, error) {
	if err := s.enter(ctx, false); err != nil {
		return bhplatform.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.records {
		if key.Table == scan.Table && key.Partition == scan.Partition && key.Name >= scan.From && (scan.To == "" || key.Name < scan.To) {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	limit := storePage
	if scan.Limit > 0 {
		limit = min(limit, scan.Limit)
	}
	page := bhplatform.Page{Version: s.version, Now: s.now(), More: len(names) > limit}
	size := 0
	for _, name := range names[:min(limit, len(names))] {
		record := s.records[bhplatform.Key{Table: scan.Table, Partition: scan.Partition, Name: name}]
		if size += base64.StdEncoding.EncodedLen(len(record.Value)); size > pageBytes && len(page.Records) > 0 {
			page.More = true
			break
		}
		record.Value = bytes.Clone(record.Value)
		page.Records = append(page.Records, record)
	}
	return page, nil
}

// Apply implements bhplatform.Store.
func (s *Store) Apply(ctx context.Context, transaction bhplatform.Transaction) (bhplatform.Receipt, error) {
	fault := Serve
	if s.config.Fault != nil {
		fault = s.config.Fault(true)
	}
	switch fault {
	case Delay:
		s.late.Go(func() {
			time.Sleep(s.config.Late)
			// Nobody learns whether the conditions still held.
			_, _ = s.apply(transaction)
		})
		return bhplatform.Receipt{}, bhcode.New(bhcode.PlatformUnknown, "the reply was lost")
	case Silence:
		<-ctx.Done()
		return bhplatform.Receipt{}, bhcode.Wrap(ctx.Err(), bhcode.PlatformUnknown, "the store is silent")
	case Refuse:
		return bhplatform.Receipt{}, bhcode.New(bhcode.PlatformUnavailable, "the store refuses")
	}
	if err := s.wait(ctx); err != nil {
		return bhplatform.Receipt{}, bhcode.Wrap(err, bhcode.PlatformUnknown, "waiting for the store")
	}
	receipt, err := s.apply(transaction)
	if fault == Lose {
		return bhplatform.Receipt{}, bhcode.New(bhcode.PlatformUnknown, "the reply was lost")
	}
	return receipt, err
}

func (s *Store) apply(transaction bhplatform.Transaction) (bhplatform.Receipt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if err := onePartition(transaction); err != nil {
		return bhplatform.Receipt{}, err
	}
	if err := shortNames(transaction); err != nil {
		return bhplatform.Receipt{}, err
	}
	if err := withinLimits(transaction); err != nil {
		return bhplatform.Receipt{}, err
	}
	conflict := &bhplatform.ConflictError{Now: s.now()}
	held := true
	for _, condition := range transaction.Conditions {
		record, ok := s.records[condition.Key]
		if ok {
			record.Value = bytes.Clone(record.Value)
			conflict.Current = append(conflict.Current, record)
		}
		held = held && record.Version == condition.Version
	}
	if !held {
		return bhplatform.Receipt{}, conflict
	}
	s.version++
	for _, put := range transaction.Puts {
		s.records[put.Key] = bhplatform.Record{Key: put.Key, Value: bytes.Clone(put.Value), Version: s.version}
	}
	for _, key := range transaction.Deletes {
		delete(s.records, key)
	}
	return bhplatform.Receipt{Version: s.version, Now: s.now()}, nil
}

// onePartition refuses transactions over several partitions.
func onePartition(transaction bhplatform.Transaction) error {
	partitions := make(map[string]bool)
	for _, condition := range transaction.Conditions {
		partitions[condition.Key.Partition] = true
	}
	for _, put := range transaction.Puts {
		partitions[put.Key.Partition] = true
	}
	for _, key := range transaction.Deletes {
		partitions[key.Partition] = true
	}
	if len(partitions) > 1 {
		return bhcode.New(bhcode.PlatformUnavailable, "the transaction spans %d partitions", len(partitions))
	}
	return nil
}

// withinLimits refuses transactions that are too large.
func withinLimits(transaction bhplatform.Transaction) error {
	if parts := len(transaction.Conditions) + len(transaction.Puts) + len(transaction.Deletes); parts > bhplatform.MaxTransactionParts {
		return bhcode.New(bhcode.PlatformUnavailable, "the transaction has %d parts of at most %d", parts, bhplatform.MaxTransactionParts)
	}
	size := 0
	for _, put := range transaction.Puts {
		if len(put.Value) > bhplatform.MaxValueBytes {
			return bhcode.New(bhcode.PlatformUnavailable, "the value of %q has %d bytes of at most %d", put.Key.Name, len(put.Value), bhplatform.MaxValueBytes)
		}
		size += base64.StdEncoding.EncodedLen(len(put.Value))
	}
	if size > bhplatform.MaxTransactionBytes {
		return bhcode.New(bhcode.PlatformUnavailable, "the transaction has %d bytes of at most %d", size, bhplatform.MaxTransactionBytes)
	}
	return nil
}

// shortNames refuses transactions with names that are too long.
func shortNames(transaction bhplatform.Transaction) error {
	keys := slices.Clone(transaction.Deletes)
	for _, condition := range transaction.Conditions {
		keys = append(keys, condition.Key)
	}
	for _, put := range transaction.Puts {
		keys = append(keys, put.Key)
	}
	for _, key := range keys {
		if longest := max(len(key.Table), len(key.Partition), len(key.Name)); longest > bhplatform.MaxNameBytes {
			return bhcode.New(bhcode.PlatformUnavailable, "a name has %d bytes of at most %d", longest, bhplatform.MaxNameBytes)
		}
	}
	return nil
}

// Force sets a record whatever faults are configured, as others than the fleet do. A nil value
// removes it.
func (s *Store) Force(key bhplatform.Key, value []byte) error {
	if value == nil {
		_, err := s.apply(bhplatform.Transaction{Deletes: []bhplatform.Key{key}})
		return err
	}
	_, err := s.apply(bhplatform.Transaction{Puts: []bhplatform.Put{{Key: key, Value: value}}})
	return err
}

// Records returns a copy of a table's records, by name.
func (s *Store) Records(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := make(map[string][]byte)
	for key, record := range s.records {
		if key.Table == table {
			result[key.Name] = bytes.Clone(record.Value)
		}
	}
	return result
}

// Put implements bhplatform.Objects.
func (s *Store) Put(ctx context.Context, name string, body io.Reader) error {
	if err := s.enter(ctx, true); err != nil {
		return err
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if len(data) > bhplatform.MaxObjectBytes {
		return bhcode.New(bhcode.PlatformUnavailable, "an object has %d bytes of at most %d", len(data), bhplatform.MaxObjectBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = data
	return nil
}

// Get implements bhplatform.Objects.
func (s *Store) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	if err := s.enter(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, bhcode.New(bhcode.NotFound, "no object %q", name)
	}
	return io.NopCloser(bytes.NewReader(data[offset:])), nil
}

// Delete implements bhplatform.Objects.
func (s *Store) Delete(ctx context.Context, name string) error {
	if err := s.enter(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// Names returns the names of all objects with the prefix.
func (s *Store) Names(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Collect(maps.Keys(s.objects))
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, prefix) })
}

// enter begins a call other than a transaction.
func (s *Store) enter(ctx context.Context, write bool) error {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	fault := Serve
	if s.config.Fault != nil {
		fault = s.config.Fault(write)
	}
	switch fault {
	case Refuse:
		return bhcode.New(bhcode.PlatformUnavailable, "the store refuses")
	case Silence:
		<-ctx.Done()
		return bhcode.Wrap(ctx.Err(), bhcode.PlatformUnavailable, "the store is silent")
	}
	if err := s.wait(ctx); err != nil {
		return bhcode.Wrap(err, bhcode.PlatformUnavailable, "waiting for the store")
	}
	return nil
}

func (s *Store) wait(ctx context.Context) error {
	if s.config.Latency == 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.config.Latency):
		return nil
	}
}

// now is the store's clock.
func (s *Store) now() time.Duration { return time.Hour + time.Since(s.start) }

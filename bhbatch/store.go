package bhbatch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Limits of requests.
const (
	maxIdempotencyKeyBytes = 128
	// MaxList is the largest number of jobs in one list.
	MaxList = 100
)

// StoreConfig configures a Store.
type StoreConfig struct {
	Platform bhplatform.Platform
	Logger   bhlog.Logger
	// ChunkItems is the number of items in a chunk; zero means
	// DefaultChunkItems.
	ChunkItems int
}

// Store keeps files, jobs and results in the platform's table and object store.
// It keeps no state in memory and is safe for concurrent use.
type Store struct {
	rows       jsonTable
	objects    bhplatform.Objects
	logger     bhlog.Logger
	chunkItems int
}

// NewStore returns a store on config.Platform.
func NewStore(config StoreConfig) *Store {
	items := config.ChunkItems
	if items <= 0 {
		items = DefaultChunkItems
	}
	logger := config.Logger
	if logger == nil {
		logger = bhlog.Nop()
	}
	return &Store{
		rows:       jsonTable{table: config.Platform.Table},
		objects:    config.Platform.Objects,
		logger:     logger,
		chunkItems: items,
	}
}

// CreateRequest describes a batch to create.
type CreateRequest struct {
	// File is the id of an input file of the same account.
	File string
	// IdempotencyKey is the client's idempotency key, or empty.
	IdempotencyKey string
	Endpoint       string
	// Window is the time until the deadline; zero means DefaultWindow.
	Window   time.Duration
	Metadata map[string]string
}

// Create creates a batch of a file and returns its job. A request with the
// idempotency key and content of an earlier one returns the earlier job; with
// the same key but other content it fails with BatchConflict. It fails with
// NotFound if the account has no such file, and with BadRequest if the key is
// longer than 128 bytes. Once Create returns, the batch survives the loss of
// any host.
func (s *Store) Create(ctx context.Context, account string, request CreateRequest) (Job, error) {
	var file File
	err := retry(ctx, func() error {
		var err error
		file, err = s.File(ctx, account, request.File)
		return err
	})
	if err != nil {
		return Job{}, err
	}
	if len(request.IdempotencyKey) > maxIdempotencyKeyBytes {
		return Job{}, bhcode.New(bhcode.BadRequest, "the id is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	job := newJob(account, request, file)
	var result Job
	err = retry(ctx, func() error {
		var err error
		result, err = s.insertJob(ctx, job)
		return err
	})
	if err != nil {
		return Job{}, err
	}
	bhlog.Event(s.logger, "batch.accept", "account", account, "batch", result.ID, "items", result.Items)
	return result, nil
}

func newJob(account string, request CreateRequest, file File) Job {
	window := request.Window
	if window <= 0 {
		window = DefaultWindow
	}
	now := time.Now().UTC()
	return Job{
		ID: batchID(request.IdempotencyKey), Account: account, File: file.ID, Digest: digest(request, file, window),
		Model: file.Model, Endpoint: request.Endpoint, Items: file.Items, Chunks: file.Chunks,
		Created: now, Deadline: now.Add(window), Window: window,
		Metadata: request.Metadata, State: Running,
	}
}

// batchID derives the id of a batch from the client's idempotency key, so that
// a repeated request refers to the same row. Without a key the id is random.
func batchID(idempotencyKey string) string {
	if idempotencyKey == "" {
		return "batch_" + randomID()
	}
	sum := sha256.Sum256([]byte(idempotencyKey))
	return "batch_" + hex.EncodeToString(sum[:12])
}

// digest identifies the content of a request. It covers the digest of the input
// file rather than the file's id, so that a second upload of the same file
// matches.
func digest(request CreateRequest, file File, window time.Duration) string {
	data, err := json.Marshal(struct {
		Digest, Endpoint string
		Window           time.Duration
		Metadata         map[string]string
	}{file.Digest, request.Endpoint, window, request.Metadata})
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// insertJob writes the row and the index row of a job. If the job exists,
// insertJob returns the existing one, or BatchConflict if their digests differ.
func (s *Store) insertJob(ctx context.Context, job Job) (Job, error) {
	var found Job
	key := jobKey(job.Account, job.ID)
	version, err := s.rows.get(ctx, key, &found)
	if err != nil {
		return Job{}, err
	}
	if version != bhplatform.Absent {
		if found.Digest != job.Digest {
			return Job{}, bhcode.New(bhcode.BatchConflict, "batch %s", job.ID)
		}
		return found, nil
	}
	jobWrite, err := encode(key, job, bhplatform.Absent)
	if err != nil {
		return Job{}, err
	}
	indexRow := IndexRow{
		ID: job.ID, Account: job.Account, File: job.File, Model: job.Model,
		Items: job.Items, Chunks: job.Chunks,
		Created: job.Created, Deadline: job.Deadline,
	}
	indexWrite, err := encode(openKey(job.Account, job.ID), indexRow, bhplatform.Absent)
	if err != nil {
		return Job{}, err
	}
	_, err = s.rows.table.Commit(ctx, jobWrite, indexWrite)
	return job, err
}

// job returns the row of a job and its version, or NotFound.
func (s *Store) job(ctx context.Context, account, id string) (Job, bhplatform.Version, error) {
	var job Job
	version, err := s.rows.get(ctx, jobKey(account, id), &job)
	if err != nil {
		return Job{}, 0, err
	}
	if version == bhplatform.Absent {
		return Job{}, 0, bhcode.New(bhcode.NotFound, "batch %s", id)
	}
	return job, version, nil
}

// putObject stores data under name. Repeating a put is safe because a name is
// only ever used for the same data.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	return retry(ctx, func() error {
		return s.objects.Put(ctx, name, bytes.NewReader(data))
	})
}

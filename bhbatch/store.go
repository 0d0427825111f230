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

// Limits of a request for a batch.
const (
	maxIDBytes = 128
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

// Store keeps files, jobs and results in the platform's table and object
// store. It keeps nothing in memory and is safe for concurrent use.
type Store struct {
	rows       rows
	objects    bhplatform.Objects
	logger     bhlog.Logger
	chunkItems int
}

// NewStore returns a store on the platform of config.
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
		rows:       rows{table: config.Platform.Table},
		objects:    config.Platform.Objects,
		logger:     logger,
		chunkItems: items,
	}
}

// CreateRequest asks for a batch.
type CreateRequest struct {
	// File is the id of an input file of the same account.
	File string
	// ID is the client's idempotency id, or empty.
	ID       string
	Endpoint string
	// Window is the time until the deadline; zero means DefaultWindow.
	Window   time.Duration
	Metadata map[string]string
}

// Create makes a batch of a file. A request with the same ID and the same
// content returns the batch that is there; with other content it is a
// BatchConflict. Once Create returns the batch survives any host's loss.
func (s *Store) Create(ctx context.Context, account string, request CreateRequest) (Job, error) {
	var file File
	err := settle(ctx, func() error {
		var err error
		file, err = s.File(ctx, account, request.File)
		return err
	})
	if err != nil {
		return Job{}, err
	}
	if len(request.ID) > maxIDBytes {
		return Job{}, bhcode.New(bhcode.BadRequest, "the id is longer than %d bytes", maxIDBytes)
	}
	job := newJob(account, request, file)
	var result Job
	err = settle(ctx, func() error {
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
		ID: batchID(request.ID), Account: account, File: file.ID, Digest: digest(request, file, window),
		Model: file.Model, Endpoint: request.Endpoint, Items: file.Items, Chunks: file.Chunks,
		Created: now, Deadline: now.Add(window), Window: window,
		Metadata: request.Metadata, State: Running,
	}
}

// batchID derives the id of the batch from the client's id, so that a resend
// names the same row.
func batchID(id string) string {
	if id == "" {
		return "batch_" + randomID()
	}
	sum := sha256.Sum256([]byte(id))
	return "batch_" + hex.EncodeToString(sum[:12])
}

// digest identifies the content of a request: that of the file, not its id.
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
	row, err := encode(key, job, bhplatform.Absent)
	if err != nil {
		return Job{}, err
	}
	open := Open{
		ID: job.ID, Account: job.Account, File: job.File, Model: job.Model,
		Items: job.Items, Chunks: job.Chunks,
		Created: job.Created, Deadline: job.Deadline,
	}
	index, err := encode(openKey(job.Account, job.ID), open, bhplatform.Absent)
	if err != nil {
		return Job{}, err
	}
	_, err = s.rows.table.Commit(ctx, row, index)
	return job, err
}

// job returns the job row and its version.
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

// putObject stores an object under a name that is only ever used for data, so
// that repeating it is safe.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	return settle(ctx, func() error {
		return s.objects.Put(ctx, name, bytes.NewReader(data))
	})
}

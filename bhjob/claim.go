package bhjob

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// OpenJobs returns the open jobs of a partition and the reading of the store's
// clock. Records that can't be decoded are logged and skipped.
func (s *JobStore) OpenJobs(ctx context.Context, part string) ([]*Job, time.Duration, error) {
	page, err := bhplatform.ScanAll(ctx, s.config.Store, bhplatform.Range{Table: jobTable, Partition: part})
	if err != nil {
		return nil, 0, err
	}
	var jobs []*Job
	for _, record := range page.Records {
		job, err := decodeJob(record)
		if err != nil {
			bhlog.Problem(s.config.Logger, "job.invalid", err, "record", record.Key.Name)
			continue
		}
		jobs = append(jobs, job)
	}
	return jobs, page.Now, nil
}

// OpenJob returns the open job, or nil if it is not, or no longer, open.
func (s *JobStore) OpenJob(ctx context.Context, account, id string) (*Job, error) {
	return decodeFound(s.getRecord(ctx, jobKey(jobTable, account, id)))
}

// ClaimRequest says which items of a job a holder claims.
type ClaimRequest struct {
	// Holder claims the items. A claim is known by its item and holder alone, so the
	// holder must not claim an item before its earlier claim of it has ended, replies of
	// the store included.
	Holder string
	// Limit is the most items to claim.
	Limit int
	// Lost reports whether the present claim of an item is lost.
	Lost func(job *Job, state *ItemState) bool
	// Held reports whether an item may not be claimed yet. Nil holds none.
	Held func(job *Job, state *ItemState) bool
	// Compare orders the items; the first ones are claimed. Nil keeps the order
	// of the job.
	Compare func(a, b *ItemState) int
}

// claimable returns the items that may be claimed, in the order of the request.
func (c *ClaimRequest) claimable(job *Job) []*ItemState {
	var items []*ItemState
	for i := range job.Items {
		state := &job.Items[i]
		free := state.Status == Waiting || state.Status == Claimed && c.Lost(job, state)
		if free && (c.Held == nil || !c.Held(job, state)) {
			items = append(items, state)
		}
	}
	if c.Compare != nil {
		slices.SortStableFunc(items, c.Compare)
	}
	return items
}

// Claim claims items of the job: waiting items, and items whose present claim is
// lost. It returns the changed job and the ids of the claimed items. There are no
// ids if other runners claimed all items first, and the job is nil if it is no
// longer open.
func (s *JobStore) Claim(ctx context.Context, job *Job, request ClaimRequest) (*Job, []string, error) {
	var ids []string
	var proposed []string
	changed, err := s.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		// If an earlier attempt of this call was applied although its reply was
		// lost, its claims are in the record.
		ids = nil
		for _, id := range proposed {
			if claimedItem(job, id, request.Holder) != nil {
				ids = append(ids, id)
			}
		}
		proposed = nil
		if job.Done() || len(ids) > 0 {
			return nil, false, nil
		}
		items := request.claimable(job)
		for _, state := range items[:min(len(items), request.Limit)] {
			if state.Status == Claimed {
				state.SavedBy = state.Holder
			}
			state.Status, state.Holder = Claimed, request.Holder
			ids = append(ids, state.ID)
		}
		proposed = ids
		return nil, len(ids) > 0, nil
	})
	if errors.Is(err, errNotOpen) {
		return nil, nil, nil
	}
	return changed, ids, err
}

// LoadItem returns the content of an item. It returns an error if the item's
// record is missing.
func (s *JobStore) LoadItem(ctx context.Context, job *Job, id string) (Item, error) {
	var item Item
	record, err := s.getRecord(ctx, itemKey(itemTable, job.Account, job.ID, id))
	if err != nil {
		return item, err
	}
	if record == nil {
		return item, errors.Errorf("item %s of job %s has no record", id, job.ID)
	}
	err = s.decodeValue(ctx, record.Value, &item)
	return item, err
}

// LoadCheckpoint returns the checkpoint from which to resume the item, or an
// empty one if none is stored or the stored one can't be resumed.
func (s *JobStore) LoadCheckpoint(ctx context.Context, job *Job, id string) (Checkpoint, error) {
	var checkpoint Checkpoint
	state := job.item(id)
	if state == nil || state.SavedBy == "" {
		return checkpoint, nil
	}
	record, err := s.getRecord(ctx, checkpointKey(job, id, state.SavedBy))
	if err != nil || record == nil {
		return checkpoint, err
	}
	err = decode(record.Value, &checkpoint)
	if err == nil && !utf8.ValidString(checkpoint.LastEvent+checkpoint.Text) {
		err = errors.New("the output is not UTF-8")
	}
	if err != nil {
		bhlog.Problem(s.config.Logger, "checkpoint.unreadable", err, "record", record.Key.Name)
		return Checkpoint{}, nil
	}
	return checkpoint, nil
}

// ItemCheckpoint is the checkpoint of a running item.
type ItemCheckpoint struct {
	Job *Job
	ID  string
	// Holder is the runner that produced the output. Each holder writes a
	// record of its own, so that one that has lost its claim can't overwrite
	// its successor's.
	Holder     string
	Checkpoint Checkpoint
}

// SaveCheckpoints stores the checkpoints of items, so that another runner can
// resume them. Checkpoints that are too large for a record, or whose name is too long, are not
// stored.
func (s *JobStore) SaveCheckpoints(ctx context.Context, items []ItemCheckpoint) error {
	puts := make(map[string][]bhplatform.Put)
	for _, item := range items {
		value, err := encode(item.Checkpoint)
		if err != nil {
			return err
		}
		key := checkpointKey(item.Job, item.ID, item.Holder)
		if len(value) <= recordLimit && len(key.Name) <= bhplatform.MaxNameBytes {
			puts[key.Partition] = append(puts[key.Partition], bhplatform.Put{Key: key, Value: value})
		}
	}
	for _, part := range puts {
		for batch := range slices.Chunk(part, maxRecordsPerTransaction) {
			if _, err := s.config.Store.Apply(ctx, bhplatform.Transaction{Puts: batch}); err != nil {
				return err
			}
		}
	}
	return nil
}

// claimedItem returns the item's state if the holder still holds its claim, and
// nil otherwise.
func claimedItem(job *Job, id, holder string) *ItemState {
	state := job.item(id)
	if state == nil || job.Ended || state.Status != Claimed || state.Holder != holder {
		return nil
	}
	return state
}

// Release returns the holder's claims on items of the job and stores the
// checkpoints of their runs. It increments the failure count of failed items.
// Claims that the holder has already lost are ignored.
func (s *JobStore) Release(ctx context.Context, job *Job, holder string, releases []ItemRelease) error {
	var checkpoints []ItemCheckpoint
	var returned map[string]bool
	changed, err := s.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		checkpoints, returned = nil, make(map[string]bool)
		for _, release := range releases {
			state := claimedItem(job, release.ID, holder)
			if state == nil {
				continue
			}
			returned[release.ID] = true
			state.Status, state.Holder = Waiting, ""
			if release.Checkpoint.LastEvent != "" {
				state.SavedBy = holder
				checkpoints = append(checkpoints, ItemCheckpoint{Job: job, ID: release.ID, Holder: holder, Checkpoint: release.Checkpoint})
			}
			if release.Failed {
				state.Failures++
			}
		}
		return nil, len(returned) > 0, nil
	})
	switch {
	case errors.Is(err, errNotOpen):
		return nil
	case err != nil:
		return err
	}
	for _, release := range releases {
		failures := 0
		if state := changed.item(release.ID); state != nil {
			failures = state.Failures
		}
		bhlog.Event(s.config.Logger, "item.returned", "item", release.ID, "job", job.ID, "holder", holder, "held", returned[release.ID],
			"failed", release.Failed, "failures", failures, "version", changed.Version)
	}
	// A runner that claims the item before this write finishes resumes from the
	// checkpoint that was saved during the run.
	return s.SaveCheckpoints(ctx, checkpoints)
}

// ItemRelease describes one claim that a runner returns.
type ItemRelease struct {
	ID         string
	Checkpoint Checkpoint
	// Failed reports that the upstream failed, which counts as a failure of the
	// item.
	Failed bool
}

// RecordResult adds the result of an item that the holder claimed. It returns
// false if the holder has lost the claim or the job has ended. It returns true
// also if the item already has a result with the same status, which is how a
// retry sees an earlier attempt whose reply was lost.
func (s *JobStore) RecordResult(ctx context.Context, job *Job, holder string, result Result) (bool, error) {
	recorded := false
	result, err := s.storeLongText(ctx, job, result)
	if err != nil {
		return false, err
	}
	_, err = s.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		state := claimedItem(job, result.ID, holder)
		if state == nil {
			recorded = recorded || job.item(result.ID) != nil && job.item(result.ID).Status == result.Status
			return nil, false, nil
		}
		value, err := encode(result)
		if err != nil {
			return nil, false, err
		}
		put := bhplatform.Put{Key: resultKey(job.Account, job.ID, job.ResultCount), Value: value}
		state.Status, state.Holder = result.Status, ""
		job.ResultCount++
		recorded = true
		return []bhplatform.Put{put}, true, nil
	})
	if errors.Is(err, errNotOpen) {
		// The job has finished or ended, possibly by an earlier attempt of this
		// call whose reply was lost.
		return s.hasResult(ctx, job, result)
	}
	return recorded && err == nil, err
}

// hasResult reports whether the item has a result with the status of result.
func (s *JobStore) hasResult(ctx context.Context, job *Job, result Result) (bool, error) {
	finished, err := s.find(ctx, job.Account, job.ID)
	if err != nil || finished == nil {
		return false, err
	}
	state := finished.item(result.ID)
	return state != nil && state.Status == result.Status, nil
}

// storeLongText returns the result unchanged if its text fits into a record.
// Otherwise it stores the result as an object and returns a result that names
// it.
func (s *JobStore) storeLongText(ctx context.Context, job *Job, result Result) (Result, error) {
	if len(result.Text) <= recordLimit {
		return result, nil
	}
	value, err := encode(result)
	if err != nil {
		return result, err
	}
	// Two runs of an item may produce different texts, so the object's name
	// contains a hash of the content.
	key := itemKey(resultTable, job.Account, job.ID, result.ID)
	key.Name += "/" + contentName(value)
	if _, err := s.storeObject(ctx, key, value); err != nil {
		return result, err
	}
	return Result{ID: result.ID, Status: result.Status, Object: objectName(key)}, nil
}

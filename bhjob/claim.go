package bhjob

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// OpenJobs returns all open jobs and the store's clock. Records that can't be read
// are logged and passed over.
func (l *JobStore) OpenJobs(ctx context.Context) ([]*Job, time.Duration, error) {
	var jobs []*Job
	var now time.Duration
	for _, part := range allPartitions() {
		page, err := bhplatform.ScanAll(ctx, l.config.Store, bhplatform.Range{Table: jobTable, Partition: part})
		if err != nil {
			return nil, 0, err
		}
		now = page.Now
		for _, record := range page.Records {
			job, err := decodeJob(record)
			if err != nil {
				bhlog.Problem(l.config.Logger, "job.invalid", err, "record", record.Key.Name)
				continue
			}
			jobs = append(jobs, job)
		}
	}
	return jobs, now, nil
}

// Claim claims up to most items of the job for the holder: items that wait, and
// those whose claims are lost. It returns their ids, none if others were faster.
func (l *JobStore) Claim(ctx context.Context, job *Job, holder string, most int, lost func(holder, item string) bool) (*Job, []string, error) {
	var ids []string
	var proposed []string
	changed, err := l.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		// Claims of an earlier attempt of this call are its own if they are there.
		ids = nil
		for _, id := range proposed {
			if mine(job, id, holder) != nil {
				ids = append(ids, id)
			}
		}
		proposed = nil
		if job.Done() || len(ids) > 0 {
			return nil, false, nil
		}
		for i := range job.Items {
			state := &job.Items[i]
			if len(ids) == most {
				break
			}
			taken := state.Status == Claimed && lost(state.Holder, state.ID)
			if state.Status == Waiting || taken {
				if taken {
					state.SavedBy = state.Holder
				}
				state.Status, state.Holder = Claimed, holder
				ids = append(ids, state.ID)
			}
		}
		proposed = ids
		return nil, len(ids) > 0, nil
	})
	if errors.Is(err, errGone) {
		return nil, nil, nil
	}
	return changed, ids, err
}

// LoadItem returns the content of an item.
func (l *JobStore) LoadItem(ctx context.Context, job *Job, id string) (Item, error) {
	var item Item
	record, err := l.get(ctx, itemKey(itemTable, job.Account, job.ID, id))
	if err != nil {
		return item, err
	}
	if record == nil {
		return item, errors.Errorf("item %s of job %s has no record", id, job.ID)
	}
	err = l.load(ctx, record.Value, &item)
	return item, err
}

// LoadCheckpoint returns the stored output of an item so far, which is empty if
// there is none.
func (l *JobStore) LoadCheckpoint(ctx context.Context, job *Job, id string) (Checkpoint, error) {
	var checkpoint Checkpoint
	state := job.item(id)
	if state == nil || state.SavedBy == "" {
		return checkpoint, nil
	}
	record, err := l.get(ctx, checkpointKey(job, id, state.SavedBy))
	if err != nil || record == nil {
		return checkpoint, err
	}
	err = errors.Wrap(cbor.Unmarshal(record.Value, &checkpoint), "decoding a checkpoint")
	return checkpoint, err
}

// ItemCheckpoint is the output so far of an item that runs.
type ItemCheckpoint struct {
	Job *Job
	ID  string
	// Holder is the runner whose output it is. Each has a checkpoint of its own, so
	// that a late one replaces nobody else's.
	Holder     string
	Checkpoint Checkpoint
}

// SaveCheckpoints stores the output so far of items, for runners that take them over.
func (l *JobStore) SaveCheckpoints(ctx context.Context, items []ItemCheckpoint) error {
	puts := make(map[string][]bhplatform.Put)
	for _, item := range items {
		value, err := encode(item.Checkpoint)
		if err != nil {
			return err
		}
		key := checkpointKey(item.Job, item.ID, item.Holder)
		if len(value) <= recordLimit {
			puts[key.Partition] = append(puts[key.Partition], bhplatform.Put{Key: key, Value: value})
		}
	}
	for _, part := range puts {
		for batch := range slices.Chunk(part, savedRecords) {
			if _, err := l.config.Store.Apply(ctx, bhplatform.Transaction{Puts: batch}); err != nil {
				return err
			}
		}
	}
	return nil
}

// mine returns the item's state if the holder still has its claim.
func mine(job *Job, id, holder string) *ItemState {
	state := job.item(id)
	if state == nil || job.Ended || state.Status != Claimed || state.Holder != holder {
		return nil
	}
	return state
}

// Release gives the holder's claims on items of the job back, with what their
// runs made so far. Failed items count one failure more.
func (l *JobStore) Release(ctx context.Context, job *Job, holder string, releases []ItemRelease) error {
	var made []ItemCheckpoint
	_, err := l.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		changed := false
		made = nil
		for _, release := range releases {
			state := mine(job, release.ID, holder)
			if state == nil {
				continue
			}
			changed = true
			state.Status, state.Holder = Waiting, ""
			if release.Checkpoint.LastEvent != "" {
				state.SavedBy = holder
				made = append(made, ItemCheckpoint{Job: job, ID: release.ID, Holder: holder, Checkpoint: release.Checkpoint})
			}
			if release.Failed {
				state.Failures++
			}
		}
		return nil, changed, nil
	})
	switch {
	case errors.Is(err, errGone):
		return nil
	case err != nil:
		return err
	}
	// Whoever claims the item before this is stored finds what was saved while it ran.
	return l.SaveCheckpoints(ctx, made)
}

// ItemRelease gives one claim back.
type ItemRelease struct {
	ID         string
	Checkpoint Checkpoint
	Failed     bool
}

// RecordResult lists the result of an item that the holder claimed. It returns false if
// the claim was lost or the job ended.
func (l *JobStore) RecordResult(ctx context.Context, job *Job, holder string, result Result) (bool, error) {
	listed := false
	result, err := l.place(ctx, job, result)
	if err != nil {
		return false, err
	}
	_, err = l.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		state := mine(job, result.ID, holder)
		if state == nil {
			listed = listed || job.item(result.ID) != nil && job.item(result.ID).Status == result.Status
			return nil, false, nil
		}
		value, err := encode(result)
		if err != nil {
			return nil, false, err
		}
		put := bhplatform.Put{Key: resultKey(job.Account, job.ID, job.ResultCount), Value: value}
		state.Status, state.Holder = result.Status, ""
		job.ResultCount++
		listed = true
		return []bhplatform.Put{put}, true, nil
	})
	if errors.Is(err, errGone) {
		// The job finished or ended, perhaps by a change of ours whose reply was lost.
		return l.wasListed(ctx, job, result)
	}
	return listed && err == nil, err
}

func (l *JobStore) wasListed(ctx context.Context, job *Job, result Result) (bool, error) {
	finished, err := l.find(ctx, job.Account, job.ID)
	if err != nil || finished == nil {
		return false, err
	}
	state := finished.item(result.ID)
	return state != nil && state.Status == result.Status, nil
}

// place stores a text that is too long for a record as an object.
func (l *JobStore) place(ctx context.Context, job *Job, result Result) (Result, error) {
	if len(result.Text) <= recordLimit {
		return result, nil
	}
	value, err := encode(result)
	if err != nil {
		return result, err
	}
	// Another run of the item may differ, so the name holds the content's hash.
	key := itemKey(resultTable, job.Account, job.ID, result.ID)
	key.Name += "/" + contentName(value)
	if _, err := l.divert(ctx, key, value); err != nil {
		return result, err
	}
	return Result{ID: result.ID, Status: result.Status, Object: objectName(key)}, nil
}

package bhevidence

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// trialTable holds one record for each digest that is or was tried. It keeps gateways
	// that don't hear each other from running trials at the same time.
	trialTable = "crashtrial"
	// trialRecordTime is how long a trial's record stands: until all processes that
	// read the store know a crash in which the trial ended.
	trialRecordTime = syncInterval + 500*time.Millisecond
	// trialRecordWait bounds the wait for the store, without which the trial runs too.
	trialRecordWait = 150 * time.Millisecond
)

// trialRecord is the value of a trial's record.
type trialRecord struct {
	// Until is when the record lapses, by the store's clock.
	Until time.Duration `json:"until"`
}

// enterTrial records in the store that a trial of the digest begins. It reports false, and
// how long to wait, if another one has.
func (r *Registry) enterTrial(ctx context.Context, digest string) (bool, time.Duration) {
	if r.config.Store == nil {
		return true, 0
	}
	ctx, cancel := context.WithTimeout(ctx, trialRecordWait)
	defer cancel()
	key := bhplatform.Key{Table: trialTable, Name: digest}
	page, err := r.config.Store.Scan(ctx, key.Range())
	if err != nil {
		bhlog.Trace(r.config.Logger, "crash.unentered", "digest", digest, "err", err)
		return true, 0
	}
	version := bhplatform.Absent
	if len(page.Records) > 0 {
		var entered trialRecord
		if err := json.Unmarshal(page.Records[0].Value, &entered); err == nil && entered.Until > page.Now {
			return false, entered.Until - page.Now
		}
		version = page.Records[0].Version
	}
	value, err := json.Marshal(trialRecord{Until: page.Now + trialRecordTime})
	if err != nil {
		bhlog.Problem(r.config.Logger, "crash.unentered", err, "digest", digest)
		return true, 0
	}
	_, err = r.config.Store.Apply(ctx, bhplatform.Transaction{
		Conditions: []bhplatform.Condition{{Key: key, Version: version}},
		Puts:       []bhplatform.Put{{Key: key, Value: value}},
	})
	if bhplatform.IsConflict(err) {
		return false, trialRecordTime
	}
	if err != nil {
		bhlog.Trace(r.config.Logger, "crash.unentered", "digest", digest, "err", err)
	}
	return true, 0
}

// leaveTrial removes the record of a trial that didn't run.
func (r *Registry) leaveTrial(digest string) {
	if r.config.Store == nil {
		return
	}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialRecordWait)
		defer cancel()
		if _, err := r.config.Store.Apply(ctx, bhplatform.Transaction{Deletes: []bhplatform.Key{{Table: trialTable, Name: digest}}}); err != nil {
			bhlog.Trace(r.config.Logger, "crash.unentered", "digest", digest, "err", err)
		}
	})
}

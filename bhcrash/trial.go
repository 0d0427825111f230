package bhcrash

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// TrialPrefix starts the table keys of all trial rows. The digest follows it.
const TrialPrefix = "trial/"

const (
	// trialPollInterval is the interval at which a waiting request checks
	// whether the digest's trial is free.
	trialPollInterval = 200 * time.Millisecond
	// clockSkewAllowance is added to the deadline of another host's trial,
	// because the clocks of the hosts may differ.
	clockSkewAllowance = 5 * time.Second
	endTimeout         = 5 * time.Second
	idBytes            = 16
	sweepPageSize      = 500
)

// trialRow is the value of a trial's row in the platform's table.
type trialRow struct {
	// HolderID is unique to the trial.
	HolderID  string    `json:"id"`
	Deadline  time.Time `json:"deadline"`
	StartedAt time.Time `json:"began"`
	// IsQuarantine says that the trial ended and quarantined the digest. The
	// row then refuses the digest until Deadline.
	IsQuarantine bool `json:"condemned,omitempty"`
}

// Trials grants the right to run a suspect. A row in the platform's table
// ensures that at most one request per digest holds it at a time in the whole
// fleet.
//
// While the table is unavailable, at most one request per digest holds the
// right at a time on this host. Crash reports between hosts don't need the
// table, so a request that is sent again still crashes at most two upstreams,
// unless it comes through several entries at once.
type Trials struct {
	table bhplatform.Table

	mutex sync.Mutex
	// locallyHeld holds the digests whose trial a request on this host holds or
	// is trying to acquire.
	locallyHeld map[string]bool
}

// NewTrials returns Trials whose rows are in the table.
func NewTrials(table bhplatform.Table) *Trials {
	return &Trials{table: table, locallyHeld: make(map[string]bool)}
}

// Trial is the right to run one suspect on an upstream without other suspects.
// The holder must call End.
type Trial struct {
	trials *Trials
	digest string
	// localOnly says that the trial could not be written to the table and holds
	// on this host only.
	localOnly bool
	key       string
	row       trialRow
	version   bhplatform.Version
}

// Begin waits until no other request holds the digest's trial and acquires it.
// The deadline is the time at which the caller gives up the run; the trial's
// row expires then. Begin returns a nil trial without an error as soon as
// needed returns false: another trial has ended meanwhile, and the caller must
// check the digest again. The error is Quarantined if a trial quarantined the
// digest, and QueueTimeout if ctx ended.
func (t *Trials) Begin(ctx context.Context, digest string, deadline time.Time, needed func() bool) (*Trial, error) {
	trial := &Trial{trials: t, digest: digest, key: TrialPrefix + digest}
	trial.row = trialRow{HolderID: newID(), Deadline: deadline, StartedAt: time.Now()}
	for needed() {
		acquired, err := trial.tryAcquire(ctx)
		if err != nil {
			return nil, err
		}
		if acquired {
			return trial.releaseUnlessNeeded(ctx, needed), nil
		}
		select {
		case <-ctx.Done():
			return nil, bhcode.Wrap(ctx.Err(), bhcode.QueueTimeout, "waiting for the request's trial")
		case <-time.After(trialPollInterval):
		}
	}
	return nil, nil
}

// tryAcquire acquires the trial on this host and in the table. If the table
// operation fails before ctx is done, the trial holds on this host only. The
// only error is Quarantined.
func (t *Trial) tryAcquire(ctx context.Context) (bool, error) {
	if !t.trials.lockLocal(t.digest) {
		return false, nil
	}
	acquired, err := t.acquireRow(ctx)
	if bhcode.Is(err, bhcode.Quarantined) {
		t.trials.unlockLocal(t.digest)
		return false, err
	}
	if err != nil && ctx.Err() == nil {
		t.localOnly = true
		return true, nil
	}
	if !acquired {
		t.trials.unlockLocal(t.digest)
	}
	return acquired, nil
}

// lockLocal marks the digest's trial as held on this host. It returns false if
// the trial is held already.
func (t *Trials) lockLocal(digest string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.locallyHeld[digest] {
		return false
	}
	t.locallyHeld[digest] = true
	return true
}

// unlockLocal marks the digest's trial as not held on this host.
func (t *Trials) unlockLocal(digest string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.locallyHeld, digest)
}

// releaseUnlessNeeded releases the trial and returns nil if the trial is no
// longer needed: an earlier trial may have ended just before this one was
// acquired.
func (t *Trial) releaseUnlessNeeded(ctx context.Context, needed func() bool) *Trial {
	if needed() {
		return t
	}
	_ = t.End(ctx, false)
	return nil
}

// End releases the trial. If quarantine is true, the trial's row refuses the
// digest for Window: another entry may ask for the trial before it receives the
// crash report. An error means that the row could not be updated; it then
// expires at the trial's deadline.
func (t *Trial) End(ctx context.Context, quarantine bool) error {
	defer t.trials.unlockLocal(t.digest)
	if t.localOnly {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	write := bhplatform.Write{Key: t.key, Delete: true, Expect: t.version}
	if quarantine {
		t.row.IsQuarantine = true
		t.row.Deadline = time.Now().Add(Window)
		value, err := json.Marshal(t.row)
		if err != nil {
			return errors.WithStack(err)
		}
		write = bhplatform.Write{Key: t.key, Value: value, Expect: t.version}
	}
	_, err := t.trials.table.Commit(ctx, write)
	if bhcode.Is(err, bhcode.PlatformConflict) {
		return nil
	}
	return err
}

// acquireRow writes the trial's row unless an unexpired row of another trial or
// of a quarantine exists. The error is Quarantined in the latter case. Other
// errors mean that the row could not be read or written.
func (t *Trial) acquireRow(ctx context.Context) (bool, error) {
	expectedVersion := bhplatform.Absent
	current, err := t.trials.table.Get(ctx, t.key)
	if err != nil && !bhcode.Is(err, bhcode.NotFound) {
		return false, err
	}
	if err == nil {
		held, err := t.heldByOther(current)
		if held || err != nil {
			return false, err
		}
		expectedVersion = current.Version
	}
	value, err := json.Marshal(t.row)
	if err != nil {
		return false, errors.WithStack(err)
	}
	versions, err := t.trials.table.Commit(ctx, bhplatform.Write{Key: t.key, Value: value, Expect: expectedVersion})
	if err == nil {
		t.version = versions[0]
		return true, nil
	}
	if bhcode.Is(err, bhcode.PlatformConflict) {
		return false, nil
	}
	return t.readBack(ctx, err)
}

// heldByOther reports whether the current row belongs to another request's
// trial that has not expired. The error is Quarantined if the row quarantines
// the digest.
func (t *Trial) heldByOther(current bhplatform.Row) (bool, error) {
	var row trialRow
	if err := json.Unmarshal(current.Value, &row); err != nil {
		return false, errors.Wrapf(err, "decode trial row %s", current.Key)
	}
	remaining := time.Until(row.Deadline)
	if row.IsQuarantine && remaining > 0 {
		return true, bhcode.New(bhcode.Quarantined, "").WithRetryAfter(remaining)
	}
	return row.HolderID != t.row.HolderID && !row.IsQuarantine && remaining+clockSkewAllowance > 0, nil
}

// readBack reads the row to find out whether a write with an unknown outcome
// took effect. The cause is the error of that write; readBack returns it if the
// write certainly had no effect or the row can't be read.
func (t *Trial) readBack(ctx context.Context, cause error) (bool, error) {
	if bhcode.Is(cause, bhcode.PlatformUnavailable) {
		return false, cause
	}
	current, err := t.trials.table.Get(ctx, t.key)
	if err != nil {
		return false, cause
	}
	var row trialRow
	if err := json.Unmarshal(current.Value, &row); err != nil {
		return false, errors.WithStack(err)
	}
	t.version = current.Version
	return row.HolderID == t.row.HolderID, nil
}

// Sweep removes the rows whose deadline passed at least Window ago. Several
// hosts may sweep at once.
func (t *Trials) Sweep(ctx context.Context) error {
	for after := ""; ; {
		rows, err := t.table.List(ctx, TrialPrefix, after, sweepPageSize)
		if err != nil || len(rows) == 0 {
			return err
		}
		for _, current := range rows {
			after = current.Key
			var row trialRow
			if err := json.Unmarshal(current.Value, &row); err != nil {
				return errors.Wrapf(err, "decode trial row %s", current.Key)
			}
			if time.Since(row.Deadline) < Window {
				continue
			}
			write := bhplatform.Write{Key: current.Key, Delete: true, Expect: current.Version}
			if _, err := t.table.Commit(ctx, write); err != nil && !bhcode.Is(err, bhcode.PlatformConflict) {
				return err
			}
		}
	}
}

// newID returns a random ID of idBytes bytes in hexadecimal.
func newID() string {
	var random [idBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

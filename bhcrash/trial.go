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

// Prefix starts the keys of the rows of trials.
const Prefix = "trial/"

const (
	trialPoll = 200 * time.Millisecond
	// trialGrace is added to a trial's deadline for clocks that differ.
	trialGrace = 5 * time.Second
	endTimeout = 5 * time.Second
	idBytes    = 16
	sweepPage  = 500
)

// trialRow is the value of a trial's row.
type trialRow struct {
	ID       string    `json:"id"`
	Deadline time.Time `json:"deadline"`
	Began    time.Time `json:"began"`
	// Condemned says that the trial ended in a crash. The row then stands until
	// its deadline.
	Condemned bool `json:"condemned,omitempty"`
}

// Trials gives the right to run a suspect. The platform's table sees to it that
// one request of a digest at a time has it in the whole fleet.
//
// While the table is down, only one request at a time has it on this host. News
// of crashes between hosts doesn't need the table, so a request that is sent
// again still crashes two upstreams at most, unless it comes through several
// entries at once.
type Trials struct {
	table bhplatform.Table

	mutex sync.Mutex
	local map[string]bool
}

// NewTrials returns trials kept in the table.
func NewTrials(table bhplatform.Table) *Trials {
	return &Trials{table: table, local: make(map[string]bool)}
}

// Trial is the right to run one suspect, apart from others.
type Trial struct {
	trials *Trials
	digest string
	// local says that the table doesn't know of the trial.
	local   bool
	key     string
	row     trialRow
	version bhplatform.Version
}

// Begin waits for the digest's trial and takes it. The deadline is when the
// caller gives up. It returns nil as soon as wanted reports false: another
// trial has ended meanwhile, and the digest must be judged again. The error is
// Quarantined if a trial condemned the digest, QueueTimeout if ctx ended.
func (t *Trials) Begin(ctx context.Context, digest string, deadline time.Time, wanted func() bool) (*Trial, error) {
	trial := &Trial{trials: t, digest: digest, key: Prefix + digest}
	trial.row = trialRow{ID: newID(), Deadline: deadline, Began: time.Now()}
	for wanted() {
		held, err := trial.try(ctx)
		if err != nil {
			return nil, err
		}
		if held {
			return trial.recheck(ctx, wanted), nil
		}
		select {
		case <-ctx.Done():
			return nil, bhcode.Wrap(ctx.Err(), bhcode.QueueTimeout, "waiting for the request's trial")
		case <-time.After(trialPoll):
		}
	}
	return nil, nil
}

// try takes the trial on this host and in the table, if that can be asked.
func (t *Trial) try(ctx context.Context) (bool, error) {
	if !t.trials.enter(t.digest) {
		return false, nil
	}
	held, err := t.take(ctx)
	if bhcode.Is(err, bhcode.Quarantined) {
		t.trials.leave(t.digest)
		return false, err
	}
	if err != nil && ctx.Err() == nil {
		t.local = true
		return true, nil
	}
	if !held {
		t.trials.leave(t.digest)
	}
	return held, nil
}

func (t *Trials) enter(digest string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.local[digest] {
		return false
	}
	t.local[digest] = true
	return true
}

func (t *Trials) leave(digest string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.local, digest)
}

// recheck gives the trial back if it's no longer wanted: an earlier one may
// have ended just before this one was taken.
func (t *Trial) recheck(ctx context.Context, wanted func() bool) *Trial {
	if wanted() {
		return t
	}
	_ = t.End(ctx, false)
	return nil
}

// End gives the trial back after its outcome. A crash condemns the digest in
// the table as well, since another entry may take the trial before it hears of
// the crash. A row that can't be written lapses at the trial's deadline.
func (t *Trial) End(ctx context.Context, crashed bool) error {
	defer t.trials.leave(t.digest)
	if t.local {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	write := bhplatform.Write{Key: t.key, Delete: true, Expect: t.version}
	if crashed {
		t.row.Condemned = true
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

// take writes the trial's row if there is none or the holder's time is over.
func (t *Trial) take(ctx context.Context) (bool, error) {
	expect := bhplatform.Absent
	found, err := t.trials.table.Get(ctx, t.key)
	if err != nil && !bhcode.Is(err, bhcode.NotFound) {
		return false, err
	}
	if err == nil {
		held, err := t.held(found)
		if held || err != nil {
			return false, err
		}
		expect = found.Version
	}
	value, err := json.Marshal(t.row)
	if err != nil {
		return false, errors.WithStack(err)
	}
	versions, err := t.trials.table.Commit(ctx, bhplatform.Write{Key: t.key, Value: value, Expect: expect})
	if err == nil {
		t.version = versions[0]
		return true, nil
	}
	if bhcode.Is(err, bhcode.PlatformConflict) {
		return false, nil
	}
	return t.settle(ctx, err)
}

// held reports whether another request has the trial.
func (t *Trial) held(found bhplatform.Row) (bool, error) {
	var row trialRow
	if err := json.Unmarshal(found.Value, &row); err != nil {
		return false, errors.Wrapf(err, "row %s", found.Key)
	}
	left := time.Until(row.Deadline)
	if row.Condemned && left > 0 {
		return true, bhcode.New(bhcode.Quarantined, "").WithRetryAfter(left)
	}
	return row.ID != t.row.ID && !row.Condemned && left+trialGrace > 0, nil
}

// settle finds out whether a write whose reply was lost took effect.
func (t *Trial) settle(ctx context.Context, cause error) (bool, error) {
	if bhcode.Is(cause, bhcode.PlatformUnavailable) {
		return false, cause
	}
	found, err := t.trials.table.Get(ctx, t.key)
	if err != nil {
		return false, cause
	}
	var row trialRow
	if err := json.Unmarshal(found.Value, &row); err != nil {
		return false, errors.WithStack(err)
	}
	t.version = found.Version
	return row.ID == t.row.ID, nil
}

// Sweep removes the rows of trials whose time is over.
func (t *Trials) Sweep(ctx context.Context) error {
	for after := ""; ; {
		rows, err := t.table.List(ctx, Prefix, after, sweepPage)
		if err != nil || len(rows) == 0 {
			return err
		}
		for _, found := range rows {
			after = found.Key
			var row trialRow
			if err := json.Unmarshal(found.Value, &row); err != nil {
				return errors.Wrapf(err, "row %s", found.Key)
			}
			if time.Since(row.Deadline) < Window {
				continue
			}
			write := bhplatform.Write{Key: found.Key, Delete: true, Expect: found.Version}
			if _, err := t.table.Commit(ctx, write); err != nil && !bhcode.Is(err, bhcode.PlatformConflict) {
				return err
			}
		}
	}
}

func newID() string {
	var random [idBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

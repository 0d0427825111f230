package bhsync

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// settleInterval is the wait between attempts to settle an unknown outcome.
const settleInterval = 500 * time.Millisecond

// Push asks for a new version of the configuration.
type Push struct {
	// ID identifies the push; a push that is sent again has the same.
	ID string
	// Base is the version that the push changes; 0 for the first push.
	Base   int64
	Config bhconf.Config
	Author string
	Note   string
}

// Outcome says what became of a push.
type Outcome string

// Outcomes of a push.
const (
	// Accepted means that the version is in the history and comes into force.
	Accepted Outcome = "accepted"
	// Refused means that the push certainly had and will have no effect.
	Refused Outcome = "refused"
	// Conflict is Refused because the version changed since Base.
	Conflict Outcome = "conflict"
	// Unknown means that the push may or may not have been accepted.
	Unknown Outcome = "unknown"
)

// Result is the answer to a push.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version is the version accepted, or the newest one known otherwise.
	Version int64 `json:"version"`
	// Size is the number of elements that changed.
	Size    int    `json:"size"`
	Message string `json:"message,omitempty"`

	applied *bhwire.Config
}

// Record describes one version in the history.
type Record struct {
	Version int64     `json:"version"`
	Digest  string    `json:"digest"`
	Author  string    `json:"author"`
	Note    string    `json:"note"`
	Time    time.Time `json:"time"`
	Size    int       `json:"size"`
	ID      string    `json:"id"`
}

func (c changeRow) record() Record {
	return Record{
		Version: c.Version,
		Digest:  c.Digest,
		Author:  c.Author,
		Note:    c.Note,
		Time:    c.Time,
		Size:    c.Size,
		ID:      c.ID,
	}
}

// Push adds a version if Base is the newest. The error is not nil only if the
// configuration is wrong.
func (a *Archive) Push(ctx context.Context, push Push) (Result, error) {
	push.Config = push.Config.Normalized()
	if err := push.Config.Check().Err(); err != nil {
		return Result{Outcome: Refused, Version: push.Base, Message: err.Error()}, err
	}
	head, err := a.head(ctx)
	if err != nil {
		return refused(push.Base, err), nil
	}
	if head.Version != push.Base {
		return a.settleOnce(ctx, push, head), nil
	}
	change, err := a.prepare(ctx, push, head)
	if err != nil {
		return refused(head.Version, err), nil
	}
	if change.Digest == head.Digest {
		return Result{Outcome: Accepted, Version: head.Version, Message: "nothing changed"}, nil
	}
	err = a.commit(ctx, head, change)
	switch {
	case err == nil:
		return a.accepted(ctx, change), nil
	case bhcode.Is(err, bhcode.PlatformUnavailable):
		return refused(head.Version, err), nil
	}
	return a.settle(ctx, push, head), nil
}

// Begin pushes the first version of a new fleet.
func (a *Archive) Begin(ctx context.Context, config bhconf.Config) error {
	result, err := a.Push(ctx, Push{ID: rand.Text(), Config: config, Note: "first version"})
	if err == nil && result.Outcome != Accepted {
		err = bhcode.New(bhcode.ConfigConflict, "%s: %s", result.Outcome, result.Message)
	}
	return err
}

// prepare computes the change and stores the whole copy if one is due.
func (a *Archive) prepare(ctx context.Context, push Push, head head) (changeRow, error) {
	digest, err := push.Config.Digest()
	if err != nil {
		return changeRow{}, err
	}
	old := bhconf.Config{}
	if head.Version > 0 {
		if old, err = a.At(ctx, head.Version); err != nil {
			return changeRow{}, err
		}
	}
	diff := Diff(old, push.Config)
	patch, err := diff.Encode()
	if err != nil {
		return changeRow{}, err
	}
	change := changeRow{
		Version: head.Version + 1,
		Digest:  digest,
		Patch:   patch,
		Whole:   head.Whole,
		Object:  head.Object,
		ID:      push.ID,
		Author:  push.Author,
		Note:    push.Note,
		Time:    time.Now().UTC(),
		Size:    diff.Len(),
	}
	if len(patch) > maxPatch || head.Version == 0 {
		change.Patch = nil
	}
	if change.Patch == nil || change.Version-head.Whole >= wholeEvery {
		change.Whole, change.Object = change.Version, wholeName(change.Version, digest)
		err = a.putWhole(ctx, change.Object, push.Config)
	}
	return change, err
}

// commit adds the change and moves the head, or does neither.
func (a *Archive) commit(ctx context.Context, head head, change changeRow) error {
	row, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "row")
	}
	value, err := json.Marshal(headRow{
		Version: change.Version,
		Digest:  change.Digest,
		Whole:   change.Whole,
		Object:  change.Object,
	})
	if err != nil {
		return errors.Wrap(err, "row")
	}
	writes := []bhplatform.Write{
		{Key: headKey, Value: value, Expect: head.row},
		{Key: changeKey(change.Version), Value: row, Expect: bhplatform.Absent},
	}
	if old := change.Version - historyKept; old > 0 {
		writes = append(writes, bhplatform.Write{Key: changeKey(old), Expect: bhplatform.Any, Delete: true})
	}
	_, err = a.table.Commit(ctx, writes...)
	return err
}

// settle finds out by reading what became of a push whose reply was lost. If
// the push isn't there, it seals the head, so that a write still on its way must fail.
func (a *Archive) settle(ctx context.Context, push Push, seen head) Result {
	for {
		result, settled := a.trySettle(ctx, push, seen)
		if settled {
			return result
		}
		select {
		case <-ctx.Done():
			message := "the platform did not answer; look at the history for push " + push.ID
			return Result{Outcome: Unknown, Version: push.Base, Message: message}
		case <-time.After(settleInterval):
		}
	}
}

func (a *Archive) trySettle(ctx context.Context, push Push, seen head) (Result, bool) {
	now, err := a.head(ctx)
	if err != nil {
		return Result{}, false
	}
	if now.Version != push.Base {
		result := a.settleOnce(ctx, push, now)
		return result, result.Outcome != Unknown
	}
	if now.row != seen.row {
		return refused(now.Version, errors.New("the write did not take effect")), true
	}
	if a.seal(ctx, now) != nil {
		return Result{}, false
	}
	return refused(now.Version, errors.New("the write did not take effect")), true
}

// seal rewrites the head with the same content, so that its row version changes.
func (a *Archive) seal(ctx context.Context, head head) error {
	sealed := head.headRow
	sealed.Seal = rand.Text()
	value, err := json.Marshal(sealed)
	if err != nil {
		return errors.Wrap(err, "row")
	}
	_, err = a.table.Commit(ctx, bhplatform.Write{Key: headKey, Value: value, Expect: head.row})
	return err
}

// settleOnce compares the version after the push's base with the push.
func (a *Archive) settleOnce(ctx context.Context, push Push, head head) Result {
	if head.Version < push.Base {
		return Result{Outcome: Conflict, Version: head.Version, Message: "the base is newer than the newest version"}
	}
	change, err := a.change(ctx, push.Base+1)
	if bhcode.Is(err, bhcode.NotFound) {
		return Result{Outcome: Conflict, Version: head.Version, Message: "the base is no longer in the history"}
	}
	if err != nil {
		return Result{Outcome: Unknown, Version: head.Version, Message: err.Error()}
	}
	if push.ID != "" && change.ID == push.ID {
		return a.accepted(ctx, change)
	}
	return Result{Outcome: Conflict, Version: head.Version, Message: "the configuration changed since the base"}
}

func (a *Archive) accepted(ctx context.Context, change changeRow) Result {
	result := Result{Outcome: Accepted, Version: change.Version, Size: change.Size}
	if message, err := a.message(ctx, change); err == nil {
		result.applied = &message
	}
	return result
}

func refused(version int64, err error) Result {
	return Result{Outcome: Refused, Version: version, Message: err.Error()}
}

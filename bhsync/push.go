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

// outcomeRetryInterval is the wait between attempts to determine the outcome of
// a push whose reply was lost.
const outcomeRetryInterval = 500 * time.Millisecond

// Push is a request for a new version of the configuration.
type Push struct {
	// ID identifies the push. A retry has the same ID.
	ID string
	// Base is the version that the push is based on; 0 for the first push.
	Base int64
	// Config is the full new configuration.
	Config bhconf.Config
	// Author and Note are kept in the history.
	Author string
	Note   string
}

// Outcome is the outcome of a push.
type Outcome string

// Outcomes of a push.
const (
	// Accepted means that the version is in the history and will be applied on
	// all hosts.
	Accepted Outcome = "accepted"
	// Refused means that the push certainly had no effect and will have none.
	Refused Outcome = "refused"
	// Conflict means that the push was refused because its Base isn't the
	// newest version.
	Conflict Outcome = "conflict"
	// Unknown means that the push may have been accepted or may still be.
	Unknown Outcome = "unknown"
)

// PushResult is the answer to a push.
type PushResult struct {
	Outcome Outcome `json:"outcome"`
	// Version is the accepted version, or otherwise the newest known one.
	Version int64 `json:"version"`
	// Size is the number of elements added, changed or removed.
	Size int `json:"size"`
	// Message is the reason of the outcome for the operator.
	Message string `json:"message,omitempty"`

	// message carries an accepted version; nil if it couldn't be read back.
	message *bhwire.Config
}

// HistoryRecord describes one version in the history.
type HistoryRecord struct {
	Version int64     `json:"version"`
	Digest  string    `json:"digest"`
	Author  string    `json:"author"`
	Note    string    `json:"note"`
	Time    time.Time `json:"time"`
	Size    int       `json:"size"`
	ID      string    `json:"id"`
}

func (c changeRow) historyRecord() HistoryRecord {
	return HistoryRecord{
		Version: c.Version,
		Digest:  c.Digest,
		Author:  c.Author,
		Note:    c.Note,
		Time:    c.Time,
		Size:    c.Size,
		ID:      c.ID,
	}
}

// Push adds a version to the history if push.Base is the newest version. The
// error is non-nil only if the configuration is invalid; all other failures are
// in the PushResult.
func (a *Archive) Push(ctx context.Context, push Push) (PushResult, error) {
	push.Config = push.Config.Normalized()
	if err := push.Config.Check().Err(); err != nil {
		return PushResult{Outcome: Refused, Version: push.Base, Message: err.Error()}, err
	}
	head, err := a.readHead(ctx)
	if err != nil {
		return refusedResult(push.Base, err), nil
	}
	if head.Version != push.Base {
		return a.outcomeFromHistory(ctx, push, head), nil
	}
	change, err := a.prepareChange(ctx, push, head)
	if err != nil {
		return refusedResult(head.Version, err), nil
	}
	if change.Digest == head.Digest {
		return PushResult{Outcome: Accepted, Version: head.Version, Message: "nothing changed"}, nil
	}
	err = a.commitChange(ctx, head, change)
	switch {
	case err == nil:
		return a.acceptedResult(ctx, change), nil
	case bhcode.Is(err, bhcode.PlatformUnavailable):
		return refusedResult(head.Version, err), nil
	}
	return a.determineOutcome(ctx, push, head), nil
}

// PushFirst pushes config as the first version of a new fleet. The error
// carries ConfigConflict if the push isn't accepted.
func (a *Archive) PushFirst(ctx context.Context, config bhconf.Config) error {
	result, err := a.Push(ctx, Push{ID: rand.Text(), Config: config, Note: "first version"})
	if err == nil && result.Outcome != Accepted {
		err = bhcode.New(bhcode.ConfigConflict, "%s: %s", result.Outcome, result.Message)
	}
	return err
}

// prepareChange returns the row of the new version. It stores a full copy in
// the object store if the change is too large for a row or versionsPerFullCopy
// versions have passed since the last copy.
func (a *Archive) prepareChange(ctx context.Context, push Push, head storedHead) (changeRow, error) {
	digest, err := push.Config.Digest()
	if err != nil {
		return changeRow{}, err
	}
	old := bhconf.Config{}
	if head.Version > 0 {
		if old, err = a.ConfigAt(ctx, head.Version); err != nil {
			return changeRow{}, err
		}
	}
	diff := Diff(old, push.Config)
	patch, err := diff.Encode()
	if err != nil {
		return changeRow{}, err
	}
	change := changeRow{
		Version:     head.Version + 1,
		Digest:      digest,
		Patch:       patch,
		FullVersion: head.FullVersion,
		FullObject:  head.FullObject,
		ID:          push.ID,
		Author:      push.Author,
		Note:        push.Note,
		Time:        time.Now().UTC(),
		Size:        diff.Len(),
	}
	if len(patch) > maxPatchBytes || head.Version == 0 {
		change.Patch = nil
	}
	if change.Patch == nil || change.Version-head.FullVersion >= versionsPerFullCopy {
		change.FullVersion, change.FullObject = change.Version, fullCopyName(change.Version, digest)
		err = a.writeFullCopy(ctx, change.FullObject, push.Config)
	}
	return change, err
}

// commitChange adds the row of the change and updates the head row in one
// transaction. It also deletes the version that leaves the history.
func (a *Archive) commitChange(ctx context.Context, head storedHead, change changeRow) error {
	row, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "row")
	}
	value, err := json.Marshal(headRow{
		Version:     change.Version,
		Digest:      change.Digest,
		FullVersion: change.FullVersion,
		FullObject:  change.FullObject,
	})
	if err != nil {
		return errors.Wrap(err, "row")
	}
	writes := []bhplatform.Write{
		{Key: headKey, Value: value, Expect: head.tableVersion},
		{Key: changeKey(change.Version), Value: row, Expect: bhplatform.Absent},
	}
	if expiredVersion := change.Version - maxHistoryVersions; expiredVersion > 0 {
		writes = append(writes, bhplatform.Write{Key: changeKey(expiredVersion), Expect: bhplatform.Any, Delete: true})
	}
	_, err = a.table.Commit(ctx, writes...)
	return err
}

// determineOutcome reads the history to find out whether a push whose reply was
// lost took effect. If it did not, determineOutcome seals the head row, so that
// the compare-and-set of a commit that is still on its way fails. It retries
// until ctx is done and then returns Unknown.
func (a *Archive) determineOutcome(ctx context.Context, push Push, previous storedHead) PushResult {
	for {
		result, certain := a.tryDetermineOutcome(ctx, push, previous)
		if certain {
			return result
		}
		select {
		case <-ctx.Done():
			message := "the platform did not answer; look at the history for push " + push.ID
			return PushResult{Outcome: Unknown, Version: push.Base, Message: message}
		case <-time.After(outcomeRetryInterval):
		}
	}
}

// tryDetermineOutcome is one attempt of determineOutcome; previous is the head
// from before the push. It reports whether the outcome is certain.
func (a *Archive) tryDetermineOutcome(ctx context.Context, push Push, previous storedHead) (PushResult, bool) {
	current, err := a.readHead(ctx)
	if err != nil {
		return PushResult{}, false
	}
	if current.Version != push.Base {
		result := a.outcomeFromHistory(ctx, push, current)
		return result, result.Outcome != Unknown
	}
	if current.tableVersion != previous.tableVersion {
		return refusedResult(current.Version, errors.New("the write did not take effect")), true
	}
	if a.sealHead(ctx, current) != nil {
		return PushResult{}, false
	}
	return refusedResult(current.Version, errors.New("the write did not take effect")), true
}

// sealHead rewrites the head row with a new Seal and otherwise the same
// content, to change its row version.
func (a *Archive) sealHead(ctx context.Context, head storedHead) error {
	sealed := head.headRow
	sealed.Seal = rand.Text()
	value, err := json.Marshal(sealed)
	if err != nil {
		return errors.Wrap(err, "row")
	}
	_, err = a.table.Commit(ctx, bhplatform.Write{Key: headKey, Value: value, Expect: head.tableVersion})
	return err
}

// outcomeFromHistory returns the outcome of a push whose base isn't the newest
// version. The push was accepted if the version after its base has its ID.
func (a *Archive) outcomeFromHistory(ctx context.Context, push Push, head storedHead) PushResult {
	if head.Version < push.Base {
		return PushResult{Outcome: Conflict, Version: head.Version, Message: "the base is newer than the newest version"}
	}
	change, err := a.readChange(ctx, push.Base+1)
	if bhcode.Is(err, bhcode.NotFound) {
		return PushResult{Outcome: Conflict, Version: head.Version, Message: "the base is no longer in the history"}
	}
	if err != nil {
		return PushResult{Outcome: Unknown, Version: head.Version, Message: err.Error()}
	}
	if push.ID != "" && change.ID == push.ID {
		return a.acceptedResult(ctx, change)
	}
	return PushResult{Outcome: Conflict, Version: head.Version, Message: "the configuration changed since the base"}
}

// acceptedResult returns the result of an accepted push, with the message of
// its version if that can be read.
func (a *Archive) acceptedResult(ctx context.Context, change changeRow) PushResult {
	result := PushResult{Outcome: Accepted, Version: change.Version, Size: change.Size}
	if message, err := a.changeMessage(ctx, change); err == nil {
		result.message = &message
	}
	return result
}

func refusedResult(version int64, err error) PushResult {
	return PushResult{Outcome: Refused, Version: version, Message: err.Error()}
}

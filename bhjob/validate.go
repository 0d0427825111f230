package bhjob

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
)

// Validate returns a BatchInvalid error for the first invalid value of the
// submission.
func (s *Submission) Validate() error {
	if s.ID == "" {
		return bhcode.New(bhcode.BatchInvalid, "the job has no id")
	}
	if err := bhforward.ValidateValue(s.ID); err != nil {
		return bhcode.New(bhcode.BatchInvalid, "the job's id: %s", err)
	}
	if err := bhforward.ValidateValue(s.Account); err != nil {
		return bhcode.New(bhcode.BatchInvalid, "the account's name: %s", err)
	}
	if len(s.Items) == 0 || len(s.Items) > maxItems {
		return bhcode.New(bhcode.BatchInvalid, "the job has %d items of 1 to %d", len(s.Items), maxItems)
	}
	seen := make(map[string]bool, len(s.Items))
	for i, item := range s.Items {
		if item.ID == "" || item.Target == "" || seen[item.ID] {
			return bhcode.New(bhcode.BatchInvalid, "item %d has the id %.64q and the path %.64q; ids are unique and both are required", i, item.ID, item.Target)
		}
		seen[item.ID] = true
		if err := item.validate(); err != nil {
			return bhcode.New(bhcode.BatchInvalid, "item %d, %.64q: %s", i, item.ID, err)
		}
	}
	return nil
}

// validate returns an error if the item can't be sent as an HTTP request with its values.
func (i *Item) validate() error {
	if err := bhforward.ValidateValue(i.ID); err != nil {
		return errors.WithMessage(err, "id")
	}
	if err := bhforward.ValidateTarget(i.Target); err != nil {
		return err
	}
	names := make(map[string]bool, len(i.Header))
	for name, value := range i.Header {
		if err := bhforward.ValidateField(name, bhforward.TrimField(value)); err != nil {
			return err
		}
		canonical := http.CanonicalHeaderKey(name)
		if names[canonical] {
			return errors.Errorf("header %q is there twice; names must differ by more than their case", canonical)
		}
		names[canonical] = true
	}
	return nil
}

// header returns the item's header fields that reach an upstream.
func (i *Item) header(dialect *bhforward.Dialect) http.Header {
	header := make(http.Header, len(i.Header))
	for name, value := range i.Header {
		header.Set(name, bhforward.TrimField(value))
	}
	return bhforward.EndToEnd(header, "Host", dialect.KeyHeader, dialect.RequestID, dialect.Deadline, dialect.Instance, dialect.Account, dialect.LastEvent)
}

package bhjob

import (
	"net/http"
	"net/url"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// maxHolderBytes is more than the length of any holder in a record's name.
	maxHolderBytes = 64
	// maxItemNameBytes bounds the name of an item's record, so that those of its checkpoints and
	// results fit, too.
	maxItemNameBytes = bhplatform.MaxNameBytes - maxHolderBytes
	// maxItemBytes bounds an item, so that its record fits into an object. itemOverhead and
	// fieldOverhead are more than the encoding adds to an item and to a field of its header.
	maxItemBytes  = bhplatform.MaxObjectBytes - itemOverhead
	itemOverhead  = 1 << 10
	fieldOverhead = 16
	// maxQuoted is the number of bytes of an invalid value that an error quotes.
	maxQuoted = 64
)

// Validate returns a BatchInvalid error for the first invalid value of the
// submission.
func (s *Submission) Validate() error {
	if s.ID == "" {
		return bhcode.New(bhcode.BatchInvalid, "the job has no id")
	}
	for _, field := range []struct{ name, value string }{
		{"the job's id", s.ID}, {"the account's name", s.Account}, {"the host", s.Host}, {"the route", s.Route},
	} {
		if err := validateText(field.value); err != nil {
			return bhcode.New(bhcode.BatchInvalid, "%s: %s", field.name, err)
		}
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
		if size := len(jobName(s.Account, s.ID)) + len("/") + len(url.PathEscape(item.ID)); size > maxItemNameBytes {
			return bhcode.New(bhcode.BatchInvalid, "item %d, %.64q: the account's name and the ids of job and item have %d bytes when escaped, expected at most %d",
				i, item.ID, size, maxItemNameBytes)
		}
	}
	return nil
}

// validate returns an error if the item can't be sent as an HTTP request with its values.
func (i *Item) validate() error {
	size := len(i.ID) + len(i.Target) + len(i.Body)
	for name, value := range i.Header {
		size += len(name) + len(value) + fieldOverhead
	}
	if size > maxItemBytes {
		return errors.Errorf("it has %d bytes, expected at most %d", size, maxItemBytes)
	}
	if err := validateText(i.ID); err != nil {
		return errors.WithMessage(err, "id")
	}
	if err := bhforward.ValidateTarget(i.Target); err != nil {
		return err
	}
	if err := validateUTF8(i.Target); err != nil {
		return errors.WithMessage(err, "path")
	}
	names := make(map[string]bool, len(i.Header))
	for name, value := range i.Header {
		if err := bhforward.ValidateField(name, bhforward.TrimField(value)); err != nil {
			return err
		}
		if err := validateUTF8(value); err != nil {
			return errors.WithMessagef(err, "header %q", name)
		}
		canonical := http.CanonicalHeaderKey(name)
		if names[canonical] {
			return errors.Errorf("header %q is there twice; names must differ by more than their case", canonical)
		}
		names[canonical] = true
	}
	return nil
}

// validateText returns an error if the value can't be kept as text, or can't be sent in a header
// field.
func validateText(value string) error {
	if err := validateUTF8(value); err != nil {
		return err
	}
	return bhforward.ValidateValue(value)
}

// validateUTF8 returns an error if the value can't be kept as text.
func validateUTF8(value string) error {
	if !utf8.ValidString(value) {
		return errors.Errorf("value %+q must be UTF-8", value[:min(len(value), maxQuoted)])
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

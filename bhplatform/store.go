package bhplatform

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Key names a record: a table, a partition of it, and the record's name there.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Range returns the range that holds the key's record only.
func (k Key) Range() Range {
	return Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: nameAfter(k.Name)}
}

// nameAfter returns the first name after the name.
func nameAfter(name string) string { return name + "\x00" }

// Record is one record of a Store.
type Record struct {
	Key     Key
	Value   []byte
	Version Version
}

// Range selects records of one partition with From <= name < To. An empty To
// sets no upper bound, a zero Limit leaves the number to the store.
type Range struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int
}

// Page holds the records of a Range as of one moment, in the order of their names.
type Page struct {
	Records []Record
	// More reports that the range holds records after the last one.
	More bool
	// Version is the newest version in the store at that moment.
	Version Version
	// Now is the store's clock, which all hosts share.
	Now time.Duration
}

// Condition requires that the record has the version, or doesn't exist if the
// version is Absent.
type Condition struct {
	Key     Key
	Version Version
}

// Put sets a record's value.
type Put struct {
	Key   Key
	Value []byte
}

// Transaction changes records of one partition, all or none.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Receipt acknowledges a transaction. Version is that of each record it put.
type Receipt struct {
	Version Version
	Now     time.Duration
}

// ConflictError reports that a condition of a transaction didn't hold and that
// nothing was changed. Current holds the records that exist under its conditions.
type ConflictError struct {
	Current []Record
	Now     time.Duration
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition did not hold; %d of its records exist", len(e.Current))
}

// IsConflict reports whether err is a ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// Store is a table service with partitions and a clock. Errors are a
// ConflictError or carry a bhcode: PlatformUnavailable if a transaction
// certainly changed nothing, PlatformUnknown if it may have, also later.
type Store interface {
	// Scan returns records of a range.
	Scan(ctx context.Context, scan Range) (Page, error)
	// Apply makes the changes of a transaction if all its conditions hold.
	Apply(ctx context.Context, transaction Transaction) (Receipt, error)
}

// ScanAll returns all records of the range, page by page, and the last page's
// version and clock. Only a range that fits on one page is of one moment.
func ScanAll(ctx context.Context, store Store, scan Range) (Page, error) {
	var all Page
	for {
		page, err := store.Scan(ctx, scan)
		if err != nil {
			return Page{}, err
		}
		all.Records = append(all.Records, page.Records...)
		all.Version, all.Now = page.Version, page.Now
		if !page.More || len(page.Records) == 0 {
			return all, nil
		}
		scan.From = nameAfter(page.Records[len(page.Records)-1].Key.Name)
	}
}

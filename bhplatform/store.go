package bhplatform

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MaxNameBytes is the length in bytes of the longest table, partition and record name that
// stores take.
const MaxNameBytes = 200

// Limits of what stores take: the bytes of a record's value, and the conditions, puts and deletes of a
// transaction and the bytes of their values in base64.
const (
	MaxValueBytes       = 64 << 10
	MaxTransactionParts = 100
	MaxTransactionBytes = 1 << 20
)

// Key identifies a record by its table, its partition of the table, and its name
// within the partition.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Range returns the range that contains only the key's record.
func (k Key) Range() Range {
	return Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: nameAfter(k.Name)}
}

// nameAfter returns the smallest name that is greater than name.
func nameAfter(name string) string { return name + "\x00" }

// Record is one record of a Store.
type Record struct {
	Key     Key
	Value   []byte
	Version Version
}

// Range selects records of one partition with From <= name < To. An empty To
// sets no upper bound. Limit is the largest number of records; with zero, the
// store chooses the number.
type Range struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int
}

// Page is a consistent snapshot of records of a Range, ordered by name.
type Page struct {
	Records []Record
	// More reports that the range holds records after the last one.
	More bool
	// Version is the newest version in the store at the time of the snapshot.
	Version Version
	// Now is the time of the store's clock, which all hosts share.
	Now time.Duration
}

// Condition requires that the record with the key has the version, or doesn't
// exist if the version is Absent.
type Condition struct {
	Key     Key
	Version Version
}

// Put sets the value of a record, which it creates if necessary.
type Put struct {
	Key   Key
	Value []byte
}

// Transaction changes records of one partition atomically. It changes nothing if
// one of its conditions doesn't hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Receipt is the result of an applied transaction. Version is the new version of
// each record in its Puts, Now the time of the store's clock.
type Receipt struct {
	Version Version
	Now     time.Duration
}

// ConflictError reports that a condition of a transaction didn't hold and that
// nothing was changed. Current holds the existing records among those that the
// conditions name, Now the time of the store's clock.
type ConflictError struct {
	Current []Record
	Now     time.Duration
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition did not hold; %d of its records exist", len(e.Current))
}

// IsConflict reports whether err is or wraps a ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// Store is a table service with partitions and a clock. An error is a
// *ConflictError or carries a bhcode: PlatformUnavailable if a transaction
// certainly changed nothing, PlatformUnknown if it may have changed records or may
// still do so later.
type Store interface {
	// Scan returns the first records of the range, in the order of their names.
	Scan(ctx context.Context, scan Range) (Page, error)
	// Apply makes the changes of the transaction if all its conditions hold.
	Apply(ctx context.Context, transaction Transaction) (Receipt, error)
}

// ScanAll reads all pages of the range and returns their records, with the version
// and clock of the last page. The result is a consistent snapshot only if the range
// fits on one page.
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

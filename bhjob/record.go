package bhjob

import (
	"fmt"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Tables of the store.
const (
	jobTable            = "job"
	finishedTable       = "jobdone"
	itemTable           = "jobitem"
	resultTable         = "jobresult"
	checkpointTable     = "jobsave"
	accountVersionTable = "jobgate"
	runnerTable         = "jobrunner"
)

const (
	// partitions is the number of the store's partitions that jobs are spread
	// over by account. A partition takes 200 transactions/s, one after another.
	// With one partition, 48 runners at 27 items/s waited 160 ms for each reply.
	// Every runner reads all partitions in turn.
	partitions = 4
	// checkpointPartitions is the number of partitions for checkpoints. They
	// are separate, so that checkpoints don't use up the transactions of the
	// jobs' partitions. A runner writes all of its checkpoints to one of them, with
	// one call. Runners that resume items read them by key.
	checkpointPartitions = 4
	// recordLimit is the largest value in bytes that is stored in a record. It
	// leaves room for the encoding within the store's limit of 64 KiB per
	// record.
	recordLimit = 56 << 10
	// transactionRecords and transactionBytes limit one transaction. They are
	// below the store's limits of 100 entries and 1 MB, which counts base64
	// text.
	transactionRecords = 90
	transactionBytes   = 600 << 10
	// maxRecordsPerTransaction is the number of records of maximum size that
	// fit into a transaction.
	maxRecordsPerTransaction = transactionBytes / recordLimit
)

// partition returns the partition of all records of an account except
// checkpoints.
func partition(account string) string {
	return "p" + strconv.FormatUint(xxhash.Sum64String(account)%partitions, 10)
}

func allPartitions() []string {
	var all []string
	for i := range partitions {
		all = append(all, "p"+strconv.Itoa(i))
	}
	return all
}

// accountPrefix returns the prefix of the names of all records of an account.
func accountPrefix(account string) string { return url.PathEscape(account) + "/" }

func jobName(account, id string) string { return accountPrefix(account) + url.PathEscape(id) }

func jobKey(table, account, id string) bhplatform.Key {
	return bhplatform.Key{Table: table, Partition: partition(account), Name: jobName(account, id)}
}

func itemKey(table, account, job, item string) bhplatform.Key {
	key := jobKey(table, account, job)
	key.Name += "/" + url.PathEscape(item)
	return key
}

// checkpointKey returns the key of a holder's checkpoint of an item.
func checkpointKey(job *Job, item, holder string) bhplatform.Key {
	key := itemKey(checkpointTable, job.Account, job.ID, item)
	key.Name += "/" + url.PathEscape(holder)
	key.Partition = checkpointPartition(xxhash.Sum64String(holder) % checkpointPartitions)
	return key
}

func checkpointPartition(number uint64) string { return "s" + strconv.FormatUint(number, 10) }

func resultKey(account, job string, position int) bhplatform.Key {
	key := jobKey(resultTable, account, job)
	key.Name += fmt.Sprintf("/%06d", position)
	return key
}

// lenientDecoder also decodes text that isn't UTF-8, byte for byte. Earlier versions have
// written such text, which their decoders refuse.
var lenientDecoder = mustDecoder(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid})

func mustDecoder(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the value of a record. Text must be UTF-8: the version before doesn't decode
// the record otherwise.
func encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, errors.Wrap(err, "encoding a record")
}

// decode decodes a record's value. The error wraps errUnreadable.
func decode(data []byte, value any) error {
	if err := lenientDecoder.Unmarshal(data, value); err != nil {
		return errors.WithMessage(errUnreadable, err.Error())
	}
	return nil
}

// errUnreadable reports that a record can't be decoded, now or later.
var errUnreadable = errors.New("the record is unreadable")

func decodeJob(record bhplatform.Record) (*Job, error) {
	job := &Job{}
	if err := decode(record.Value, job); err != nil {
		return nil, errors.WithMessagef(err, "job record %s", record.Key.Name)
	}
	job.Version = record.Version
	return job, nil
}

// contentName returns the hash of the content in hexadecimal.
func contentName(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

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
	jobTable        = "job"
	doneTable       = "jobdone"
	itemTable       = "jobitem"
	resultTable     = "jobresult"
	checkpointTable = "jobsave"
	gateTable       = "jobgate"
	runnerTable     = "jobrunner"
)

const (
	// partitions spread the jobs. One takes 200 transactions a second, which is
	// some 90 items; each one more is read by every runner.
	partitions = 1
	// savePartitions spread the checkpoints, which are read by their names only, so
	// that they don't take the transactions of the jobs' partition.
	savePartitions = 4
	// recordLimit leaves room for the encoding within the store's 64 KiB a record.
	recordLimit = 56 << 10
	// transactionRecords and transactionBytes are below the store's 100 entries
	// and 1 MB, which count base64.
	transactionRecords = 90
	transactionBytes   = 600 << 10
	// savedRecords is how many of the largest records fit into a transaction.
	savedRecords = transactionBytes / recordLimit
)

// partition returns the partition of all records of an account.
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

// accountPrefix starts the names of all jobs of an account.
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
	key.Partition = "s" + strconv.FormatUint(xxhash.Sum64String(job.ID)%savePartitions, 10)
	return key
}

func resultKey(account, job string, position int) bhplatform.Key {
	key := jobKey(resultTable, account, job)
	key.Name += fmt.Sprintf("/%06d", position)
	return key
}

func encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, errors.Wrap(err, "encoding a record")
}

func decodeJob(record bhplatform.Record) (*Job, error) {
	job := &Job{}
	if err := cbor.Unmarshal(record.Value, job); err != nil {
		return nil, errors.Wrapf(err, "job record %s", record.Key.Name)
	}
	job.Version = record.Version
	return job, nil
}

// contentName returns a short name for the content.
func contentName(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

package bhjob

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// latin is a letter in ISO 8859-1, as HTTP allows it in the value of a header.
const latin = "\xe9"

// Guards against a job that is accepted, can't be read, never runs and locks its account out,
// because a value of it isn't UTF-8.
func TestJobThatIsNoTextIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Submission)
		names  string
	}{
		"job's ID":     {func(s *Submission) { s.ID = "caf" + latin }, "the job's id"},
		"account":      {func(s *Submission) { s.Account = "zoo" + latin }, "the account's name"},
		"host":         {func(s *Submission) { s.Host = "one" + latin }, "the host"},
		"route":        {func(s *Submission) { s.Route = "drafts" + latin }, "the route"},
		"item's ID":    {func(s *Submission) { s.Items[1].ID = "j" + latin }, "item 1"},
		"path":         {func(s *Submission) { s.Items[1].Target = "/drafts/" + latin }, "item 1"},
		"header value": {func(s *Submission) { s.Items[1].Header = map[string]string{"X-Note": latin} }, `"X-Note"`},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			jobs := newTestJobStore(store)
			submission := sampleJob("j", 3)
			c.change(&submission)
			err := jobs.Submit(t.Context(), submission)
			require.Error(t, err)
			assert.True(t, bhcode.Is(err, bhcode.BatchInvalid), err)
			assert.Contains(t, err.Error(), c.names)
			assert.Contains(t, err.Error(), "UTF-8")
			assert.Contains(t, err.Error(), `\xe9`)
			for _, table := range []string{jobTable, itemTable, accountVersionTable} {
				assert.Empty(t, store.Records(table), "nothing of the job is stored")
			}
			assert.NoError(t, jobs.Submit(t.Context(), sampleJob("other", 1)))
		})
	}
}

// Guards against a job that the store refuses at each attempt, and against an item whose
// checkpoint, which the store refuses, costs those of other items.
func TestJobWhoseRecordsHaveTooLongNamesIsRefused(t *testing.T) {
	long := strings.Repeat("x", bhplatform.MaxNameBytes)
	for name, change := range map[string]func(s *Submission){
		"job's ID":              func(s *Submission) { s.ID = long },
		"job's ID, escaped":     func(s *Submission) { s.ID = strings.Repeat("ü", 30) },
		"item's ID":             func(s *Submission) { s.Items[1].ID = long },
		"job's and item's":      func(s *Submission) { s.ID, s.Items[1].ID = long[:90], long[:90] },
		"account's":             func(s *Submission) { s.Account = long },
		"only with the holders": func(s *Submission) { s.Items[1].ID = long[:bhplatform.MaxNameBytes-20] },
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			submission := sampleJob("j", 3)
			change(&submission)
			err := newTestJobStore(store).Submit(t.Context(), submission)
			require.Error(t, err)
			assert.True(t, bhcode.Is(err, bhcode.BatchInvalid), err)
			assert.Contains(t, err.Error(), "bytes")
			assert.Less(t, len(err.Error()), 600)
		})
	}
	submission := sampleJob("0192f3a4-7b1c-7def-8a90-b1c2d3e4f506", 3)
	submission.Account = "a zoo in the north"
	submission.Items[1].ID = "0192f3a4-7b1c-7def-8a90-b1c2d3e4f507"
	require.NoError(t, newTestJobStore(bhstand.NewStore(bhstand.StoreConfig{})).Submit(t.Context(), submission))
}

// Guards against a job whose records this version or the one before can't read: any submission is
// refused as a whole, or each of its records holds what the client sent.
func TestSubmissionsAreStoredAsTheyCame(t *testing.T) {
	text := rapid.OneOf(rapid.StringN(0, 20, -1), rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 20), func(b []byte) string { return string(b) }))
	rapid.Check(t, func(t *rapid.T) {
		submission := sampleJob("j"+text.Draw(t, "ID"), 2)
		submission.Account = text.Draw(t, "account")
		submission.Items[0].ID = text.Draw(t, "item")
		submission.Items[0].Target = "/" + text.Draw(t, "path")
		submission.Items[0].Header = map[string]string{"X-Note": text.Draw(t, "value")}
		submission.Items[0].Body = []byte(text.Draw(t, "body"))
		store := bhstand.NewStore(bhstand.StoreConfig{})
		if err := newTestJobStore(store).Submit(t.Context(), submission); err != nil {
			require.True(t, bhcode.Is(err, bhcode.BatchInvalid), err)
			for _, table := range []string{jobTable, itemTable, accountVersionTable} {
				require.Empty(t, store.Records(table))
			}
			return
		}
		var job Job
		require.NoError(t, cbor.Unmarshal(store.Records(jobTable)[jobName(submission.Account, submission.ID)], &job), "the version before reads it")
		require.Equal(t, []string{submission.ID, submission.Account, submission.Host, submission.Items[0].ID}, []string{job.ID, job.Account, job.Host, job.Items[0].ID})
		var item Item
		require.NoError(t, cbor.Unmarshal(store.Records(itemTable)[itemKey(itemTable, submission.Account, submission.ID, submission.Items[0].ID).Name], &item))
		require.Equal(t, submission.Items[0].Target, item.Target)
		require.Equal(t, submission.Items[0].Header, item.Header)
		require.Equal(t, string(submission.Items[0].Body), string(item.Body))
	})
}

// Guards against a job of an earlier version that can't be read, never runs, and has all later jobs
// of its account refused.
func TestStoredJobThatIsNoTextRuns(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	jobs := newTestJobStore(store)
	bad := sampleJob("caf"+latin, 1)
	bad.Items[0].ID = "item"
	payload, err := jobs.prepareItems(t.Context(), bad)
	require.NoError(t, err)
	require.NoError(t, jobs.accept(t.Context(), bad, payload))
	require.NoError(t, jobs.Submit(t.Context(), sampleJob("j", 1)))
	r := newRunnerFixture(t, store, "a")
	assert.Equal(t, Completed, r.waitResults("j", 1)[0].Status)
	assert.Equal(t, []Result{{ID: "item", Status: Completed, Text: expectedOutput("item", 5)}}, r.waitResults("caf"+latin, 1))
}

// Guards against one damaged record of a job that costs its account: the others are accepted, run,
// and are removed in time.
func TestUnreadableJobCostsItselfAlone(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	jobs := newTestJobStore(store)
	require.NoError(t, store.Force(jobKey(jobTable, "zoo", "damaged"), []byte{0xff}))
	require.NoError(t, store.Force(jobKey(finishedTable, "zoo", "finished"), []byte{0xff}))
	require.NoError(t, jobs.Submit(t.Context(), sampleJob("j", 1)))
	require.NoError(t, jobs.Submit(t.Context(), sampleJob("damaged", 1)), "it was accepted before")
	assert.Equal(t, []byte{0xff}, store.Records(jobTable)[jobName("zoo", "damaged")])
	for _, id := range []string{"damaged", "finished"} {
		_, err := jobs.Results(t.Context(), "zoo", id, 0)
		require.Error(t, err)
		assert.False(t, bhcode.Is(err, bhcode.NotFound), "it exists")
	}
	r := newRunnerFixture(t, store, "a")
	assert.Equal(t, Completed, r.waitResults("j", 1)[0].Status)
}

// Guards against checkpoints that are lost because the store refuses that of another item, whose
// job an earlier version has accepted.
func TestCheckpointWithTooLongANameCostsItselfAlone(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	job := &Job{Account: "zoo", ID: "j"}
	checkpoint := Checkpoint{LastEvent: "1", Text: "a"}
	require.NoError(t, newTestJobStore(store).SaveCheckpoints(t.Context(), []ItemCheckpoint{
		{Job: job, ID: strings.Repeat("x", bhplatform.MaxNameBytes), Holder: "a", Checkpoint: checkpoint},
		{Job: job, ID: "j-0", Holder: "a", Checkpoint: checkpoint},
	}))
	assert.Len(t, store.Records(checkpointTable), 1)
}

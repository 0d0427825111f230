package bhjob

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// TestItemsThatSmuggleAreRefused guards against items whose values hold a request of their own,
// which upstreams ran in the name of another account: what comes in JSON has not passed the
// checks of an HTTP server.
func TestItemsThatSmuggleAreRefused(t *testing.T) {
	smuggled := "plain\r\nContent-Length: 0\r\n\r\nPOST /drafts/inner HTTP/1.1\r\nAccount: rival\r\n\r\n"
	for name, c := range map[string]struct {
		change func(item *Item)
		names  string
	}{
		"value":            {func(i *Item) { i.Header = map[string]string{"X-Note": smuggled} }, `"X-Note"`},
		"bare line feed":   {func(i *Item) { i.Header = map[string]string{"X-Note": "a\nAccount: rival"} }, `"X-Note"`},
		"name":             {func(i *Item) { i.Header = map[string]string{"Account: rival\r\nX": "v"} }, `"Account: rival\r\nX"`},
		"space after name": {func(i *Item) { i.Header = map[string]string{"Account ": "rival"} }, `"Account "`},
		"two of a name":    {func(i *Item) { i.Header = map[string]string{"X-Note": "a", "x-note": "b"} }, `"X-Note"`},
		"path":             {func(i *Item) { i.Target = "/drafts/x HTTP/1.1\r\nAccount: rival\r\nX: " }, "path"},
		"path of a host":   {func(i *Item) { i.Target = "http://other.example/drafts/x" }, "path"},
		"id":               {func(i *Item) { i.ID = "x\r\nAccount: rival" }, `"x\r\nAccount: rival"`},
		"spaces around id": {func(i *Item) { i.ID = " x" }, `" x"`},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			submission := sampleJob("j", 3)
			c.change(&submission.Items[1])
			err := newTestJobStore(store).Submit(t.Context(), submission)
			require.Error(t, err)
			assert.True(t, bhcode.Is(err, bhcode.BatchInvalid))
			assert.Contains(t, err.Error(), "item 1")
			assert.Contains(t, err.Error(), c.names)
			assert.NotContains(t, err.Error(), "\n")
			assert.Less(t, len(err.Error()), 400)
			for _, table := range []string{jobTable, itemTable, accountVersionTable} {
				assert.Empty(t, store.Records(table), "nothing of the job is stored")
			}
		})
	}
	submission := sampleJob("j\r\nAccount: rival", 1)
	assert.True(t, bhcode.Is(newTestJobStore(bhstand.NewStore(bhstand.StoreConfig{})).Submit(t.Context(), submission), bhcode.BatchInvalid))
}

// TestJobOfAnAccountThatCannotBeNamedIsRefused guards against jobs that are accepted and whose
// items are all given up, since their account's name can't stand in a header.
func TestJobOfAnAccountThatCannotBeNamedIsRefused(t *testing.T) {
	for account, named := range map[string]string{
		"zoo\r\nDeadline: 1": `"zoo\r\nDeadline: 1"`, "zoo\n": `"zoo\n"`, "zoo\x00": `"zoo\x00"`, " zoo": `" zoo"`,
		"zoo\n" + strings.Repeat("z", 4000): `"zoo\nzzz`,
	} {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		submission := sampleJob("j", 1)
		submission.Account = account
		err := newTestJobStore(store).Submit(t.Context(), submission)
		require.Error(t, err, "%.64q", account)
		assert.True(t, bhcode.Is(err, bhcode.BatchInvalid))
		assert.Contains(t, err.Error(), "the account's name: value "+named)
		assert.Contains(t, err.Error(), "must hold no control characters")
		assert.NotContains(t, err.Error(), "\n")
		assert.Less(t, len(err.Error()), 400)
		for _, table := range []string{jobTable, itemTable, accountVersionTable} {
			assert.Empty(t, store.Records(table), "nothing of the job is stored")
		}
	}
	for _, account := range []string{"", "zoo of the north", "zoö", "zoo/1"} {
		submission := sampleJob("j", 1)
		submission.Account = account
		assert.NoError(t, newTestJobStore(bhstand.NewStore(bhstand.StoreConfig{})).Submit(t.Context(), submission), "%q", account)
	}
}

// TestStoredJobOfAnAccountThatCannotBeNamedIsGivenUp guards against a runner that ends, or runs
// an item again and again, because an earlier version has accepted such a job.
func TestStoredJobOfAnAccountThatCannotBeNamedIsGivenUp(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	jobs := newTestJobStore(store)
	require.NoError(t, jobs.Submit(t.Context(), sampleJob("sound", 1)))
	bad := sampleJob("j", 1)
	bad.Account = "zoo\n"
	payload, err := jobs.prepareItems(t.Context(), bad)
	require.NoError(t, err)
	require.NoError(t, jobs.accept(t.Context(), bad, payload))
	r := newRunnerFixture(t, store, "a")
	assert.Equal(t, Completed, r.waitResults("sound", 1)[0].Status)
	require.Eventually(t, func() bool {
		results, err := jobs.Results(t.Context(), bad.Account, "j", 0)
		return err == nil && len(results.Results) == 1 && results.Results[0].Status == Dead
	}, 10*time.Second, 10*time.Millisecond)
	assert.Len(t, r.engine.requestHeaders(), 1)
}

// TestItemThatNoObjectHoldsIsRefused guards against a job that the store refuses at each attempt.
func TestItemThatNoObjectHoldsIsRefused(t *testing.T) {
	for size, accepted := range map[int]bool{bhplatform.MaxObjectBytes: false, bhplatform.MaxObjectBytes - 4096: true} {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		submission := sampleJob("j", 2)
		submission.Items[1].Body = make([]byte, size)
		err := newTestJobStore(store).Submit(t.Context(), submission)
		if accepted {
			require.NoError(t, err)
			continue
		}
		require.Error(t, err)
		assert.True(t, bhcode.Is(err, bhcode.BatchInvalid), err)
		assert.Contains(t, err.Error(), "item 1")
		assert.Empty(t, store.Records(itemTable), "nothing of the job is stored")
	}
}

// TestItemsWithUnusualValuesAreAccepted guards against jobs that are refused although their items
// can run.
func TestItemsWithUnusualValuesAreAccepted(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	submission := sampleJob("j.1/ü", 3)
	submission.Items[0].Header = map[string]string{"X-Note": " padded\t", "X-Empty": "", "X-Text": "ü"}
	submission.Items[1].Target = "/drafts/../x//%2f?a=%0d%0a&b=ü"
	submission.Items[2].Header = map[string]string{"Content-Length": "7", "Host": "x", "Account": "rival", "Connection": "close", "X-Long": strings.Repeat("x", 4000)}
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
}

// TestRunnerSetsItsOwnFields guards against items that set or double what the runner says of
// them, and against spaces that make a value invalid.
func TestRunnerSetsItsOwnFields(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	submission := sampleJob("j", 1)
	submission.Items[0].Header = map[string]string{
		"host": "other.example", "content-length": "0", "transfer-encoding": "chunked", "connection": "X-Note", "request-id": "other", "account": "rival",
		"instance": "i-9", "last-event-id": "4", "deadline": "1", "X-Note": " padded\t", "X-Model": "m",
	}
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	assert.Equal(t, expectedOutput("j-0", 5), r.waitResults("j", 1)[0].Text)
	header := r.engine.requestHeaders()[0]
	assert.Equal(t, []string{"j-0"}, header.Values(dialect.RequestID))
	assert.Equal(t, []string{"zoo"}, header.Values(dialect.Account))
	assert.Equal(t, []string{"i-1"}, header.Values(dialect.Instance))
	assert.Equal(t, []string{"m"}, header.Values("X-Model"))
	assert.Empty(t, header.Values(dialect.LastEvent))
	assert.NotEqual(t, []string{"1"}, header.Values(dialect.Deadline))
}

// TestStoredItemThatCannotBeSentIsGivenUp guards against a runner that ends, or runs an item
// again and again, because an earlier version has accepted a value that can't be sent.
func TestStoredItemThatCannotBeSentIsGivenUp(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	jobs := newTestJobStore(store)
	submission := sampleJob("j", 2)
	require.NoError(t, jobs.Submit(t.Context(), submission))
	bad := submission.Items[0]
	bad.Header = map[string]string{"X-Note": "a\r\nAccount: rival"}
	value, err := encode(bad)
	require.NoError(t, err)
	require.NoError(t, store.Force(itemKey(itemTable, "zoo", "j", bad.ID), value))
	r := newRunnerFixture(t, store, "a")
	states := make(map[string]Status)
	for _, result := range r.waitResults("j", 2) {
		states[result.ID] = result.Status
	}
	assert.Equal(t, map[string]Status{"j-0": Dead, "j-1": Completed}, states)
	assert.Len(t, r.engine.requestHeaders(), 1)
}

// TestLargestJobFitsItsRecord guards against a job whose record outgrows the store's limit as its items
// are claimed, so that no claim and no result of it is ever stored.
func TestLargestJobFitsItsRecord(t *testing.T) {
	id := strings.Repeat("i", maxItemNameBytes-len("zoo/j/")-3)
	submission := sampleJob("j", maxItems)
	for i := range submission.Items {
		submission.Items[i].ID = fmt.Sprintf("%s%03d", id, i)
		submission.Items[i].Tokens = 1 << 40
	}
	submission.Route, submission.Host = strings.Repeat("r", 200), strings.Repeat("h", 250)
	require.NoError(t, submission.Validate())
	job, _ := submission.newJob(1000 * time.Hour)
	for i := range job.Items {
		job.Items[i].Status, job.Items[i].Holder, job.Items[i].SavedBy, job.Items[i].Failures = Claimed, strings.Repeat("a", maxHolderBytes), strings.Repeat("b", maxHolderBytes), 100
	}
	data, err := encode(job)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(data), bhplatform.MaxValueBytes)
}

package bhbatch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

const testAccount = "lin"

func itemLine(id int) string {
	return fmt.Sprintf(`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"rota","messages":[{"role":"user","content":"shift %d"}]}}`, id, id)
}

func inputFile(items int) string {
	var lines strings.Builder
	for i := range items {
		lines.WriteString(itemLine(i))
		lines.WriteByte('\n')
	}
	return lines.String()
}

func newStore(fake *fakePlatform, chunkItems int) *Store {
	return NewStore(StoreConfig{Platform: fake.platform(), ChunkItems: chunkItems})
}

func submitBatch(t *testing.T, store *Store, items int, id string) Job {
	t.Helper()
	file, err := store.SaveFile(context.Background(), testAccount, "week.jsonl", strings.NewReader(inputFile(items)))
	require.NoError(t, err)
	job, err := store.Create(context.Background(), testAccount, CreateRequest{File: file.ID, IdempotencyKey: id})
	require.NoError(t, err)
	return job
}

func TestSaveFileStoresWholeFileInSegments(t *testing.T) {
	fake := newFakePlatform(1)
	store := newStore(fake, 10)
	content := inputFile(25)
	file, err := store.SaveFile(context.Background(), testAccount, "f", strings.NewReader(strings.TrimSuffix(content, "\n")))
	require.NoError(t, err)
	assert.Equal(t, 25, file.Items)
	assert.Equal(t, 3, file.Chunks)
	body, err := store.Input(context.Background(), testAccount, file.ID)
	require.NoError(t, err)
	data, err := io.ReadAll(body)
	require.NoError(t, err)
	assert.Equal(t, content, string(data))
	_, err = store.File(context.Background(), "other", file.ID)
	assert.True(t, bhcode.Is(err, bhcode.NotFound))
}

func TestSaveFileReportsEveryBadLineAndStoresNothing(t *testing.T) {
	fake := newFakePlatform(1)
	store := newStore(fake, 2)
	lines := []string{
		itemLine(0), itemLine(1), itemLine(2), `{`, itemLine(0),
		`{"custom_id":"a","method":"GET","url":"/v1/x","body":{}}`,
		strings.Repeat("x", MaxLineBytes+10),
		`{"custom_id":"b","method":"POST","url":"/v1/x","body":[]}`,
		`{"custom_id":"c","method":"POST","url":"/admin","body":{}}`,
		itemLine(9) + " {}",
		`{"custom_id":"d","method":"POST","url":"/v1/chat/completions","body":{"model":"rota"}}`,
		strings.Replace(itemLine(10), "rota", "setlist", 1),
	}
	_, err := store.SaveFile(context.Background(), testAccount, "f", strings.NewReader(strings.Join(lines, "\n")))
	var invalid *InvalidError
	require.True(t, errors.As(err, &invalid))
	assert.True(t, bhcode.Is(err, bhcode.BatchInvalid))
	var bad []int
	for _, problem := range invalid.Problems {
		bad = append(bad, problem.Line)
	}
	assert.Equal(t, []int{4, 5, 6, 7, 8, 9, 10, 11, 12}, bad)
	assert.Empty(t, fake.objects)
	assert.Empty(t, fake.rows)
}

func TestSaveFileBoundsProblemsAndRejectsEmptyFile(t *testing.T) {
	store := newStore(newFakePlatform(1), 2)
	_, err := store.SaveFile(context.Background(), testAccount, "f", strings.NewReader(strings.Repeat("{\n", 5*MaxProblems)))
	var invalid *InvalidError
	require.True(t, errors.As(err, &invalid))
	assert.Len(t, invalid.Problems, MaxProblems)
	assert.Equal(t, 5*MaxProblems, invalid.Total)
	_, err = store.SaveFile(context.Background(), testAccount, "f", strings.NewReader("\n\n"))
	assert.True(t, bhcode.Is(err, bhcode.BatchInvalid))
}

func TestCreateIsIdempotent(t *testing.T) {
	store := newStore(newFakePlatform(1), 10)
	first := submitBatch(t, store, 20, "week-1")
	again := submitBatch(t, store, 20, "week-1")
	assert.Equal(t, first, again, "a new upload of the same content finds the same batch")
	file, err := store.SaveFile(context.Background(), testAccount, "f", strings.NewReader(inputFile(21)))
	require.NoError(t, err)
	_, err = store.Create(context.Background(), testAccount, CreateRequest{File: file.ID, IdempotencyKey: "week-1"})
	assert.True(t, bhcode.Is(err, bhcode.BatchConflict))
}

func TestCreateIsIdempotentUnderPlatformFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform(7)
		fake.lostReplyShare, fake.lateWriteShare, fake.refusedShare = 0.3, 0.2, 0.2
		store := newStore(fake, 10)
		for i := range 50 {
			id := fmt.Sprintf("job-%d", i)
			first := submitBatch(t, store, 20, id)
			again := submitBatch(t, store, 20, id)
			assert.Equal(t, first.File, again.File)
		}
		fake.update(func(f *fakePlatform) { f.lostReplyShare, f.lateWriteShare, f.refusedShare = 0, 0, 0 })
		openJobs, err := store.OpenJobs(context.Background())
		require.NoError(t, err)
		assert.Len(t, openJobs, 50)
	})
}

func TestOtherAccountsCannotAccessBatch(t *testing.T) {
	store := newStore(newFakePlatform(1), 10)
	job := submitBatch(t, store, 5, "a")
	ctx := context.Background()
	_, err := store.Get(ctx, "hinokuni", job.ID)
	assert.True(t, bhcode.Is(err, bhcode.NotFound))
	_, err = store.Cancel(ctx, "hinokuni", job.ID)
	assert.True(t, bhcode.Is(err, bhcode.NotFound))
	_, err = store.Results(ctx, "hinokuni", job.ID, SelectAll)
	assert.True(t, bhcode.Is(err, bhcode.NotFound))
	_, err = store.Create(ctx, "hinokuni", CreateRequest{File: job.File})
	assert.True(t, bhcode.Is(err, bhcode.NotFound))
	list, err := store.List(ctx, "hinokuni", "", 0)
	require.NoError(t, err)
	assert.Empty(t, list)
}

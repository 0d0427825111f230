package bhlog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newInfoLogger(t testing.TB, output io.Writer) Logger {
	logger, err := New(output, Info)
	require.NoError(t, err)
	return logger
}

func TestRepeatedLinesAreSampledByEventAndField(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		logger := newInfoLogger(t, &output)
		const lineCount = 10 * sampleThreshold
		for i := range lineCount {
			Event(logger, "request.done", "request", fmt.Sprint("r", i), "route", "busy")
		}
		Event(logger, "request.done", "request", "first", "route", "calm")
		Event(logger, "job.accepted", "job", "j", "account", "busy")
		for i := range lineCount {
			Problem(logger, "request.failed", errors.New("no"), "request", fmt.Sprint("r", i), "route", "busy")
		}
		text := output.String()
		kept := strings.Count(text, "event=request.done")
		assert.Equal(t, sampleThreshold+(lineCount-sampleThreshold)/sampleRate+1, kept)
		assert.Contains(t, text, "request=first route=calm", "the first line of a key passes")
		assert.Contains(t, text, "job=j account=busy")
		assert.Equal(t, lineCount, strings.Count(text, "event=request.failed"), "warning lines are not sampled")

		time.Sleep(samplePeriod)
		output.Reset()
		Event(logger, "request.done", "request", "next", "route", "busy")
		text = output.String()
		assert.Contains(t, text, "request=next", "the count restarts each second")
		assert.Contains(t, text, fmt.Sprintf("event=log.sampled of=request.done key=busy left_out=%d", lineCount+1-kept))
	})
}

// Callers cause warnings, too.
func TestRepeatedWarningsAreSampledBeyondTheirThreshold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		logger := newInfoLogger(t, &output)
		const lineCount = 5 * warningThreshold
		for range lineCount {
			Problem(logger, "link.refused", errors.New("no"))
		}
		kept := strings.Count(output.String(), "event=link.refused")
		assert.Equal(t, warningThreshold+(lineCount-warningThreshold)/sampleRate, kept)
		time.Sleep(samplePeriod)
		Problem(logger, "link.refused", errors.New("no"))
		assert.Contains(t, output.String(), fmt.Sprintf("event=log.sampled of=link.refused key= left_out=%d", lineCount-kept))
	})
}

// Guards against lines, and a queue of them, that are as long as what callers send.
func TestLongTextsAreCut(t *testing.T) {
	var output bytes.Buffer
	text := strings.Repeat("a", 100_000)
	Problem(newInfoLogger(t, &output), "request.failed", errors.New(text), "request", text, "route", strings.Repeat("b", maxValue))
	assert.Less(t, output.Len(), 4*maxValue)
	assert.Contains(t, output.String(), "(100000 bytes)")
	assert.Contains(t, output.String(), "route="+strings.Repeat("b", maxValue)+" ", "others stay as they are")
}

func TestQueueOfLinesIsBoundedInBytes(t *testing.T) {
	output := &gatedWriter{open: make(chan struct{})}
	w := NewAsyncWriter(output)
	line := bytes.Repeat([]byte("a"), asyncQueueBytes/16)
	for range 64 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	assert.GreaterOrEqual(t, w.Dropped(), int64(64-16-1))
	close(output.open)
	require.NoError(t, w.Close())
	assert.Zero(t, w.queued.Load())
}

func TestAsyncWriterReportsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &gatedWriter{open: make(chan struct{})}
		w := NewAsyncWriter(output)
		for range asyncQueueLines + 11 {
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		dropped := w.Dropped()
		assert.Positive(t, dropped)
		close(output.open)
		time.Sleep(2 * reportInterval)
		require.NoError(t, w.Close())
		assert.Equal(t, 1, strings.Count(output.text.String(), "event=log.dropped"))
		assert.Contains(t, output.text.String(), fmt.Sprintf("lines=%d total=%d", dropped, dropped))
	})
}

// BenchmarkLine measures the log line of one request in three cases: written,
// omitted by sampling, and below the log level.
func BenchmarkLine(b *testing.B) {
	logRequest := func(logger Logger, route string) {
		Event(logger, "request.done", "request", "f520bbcb52114480", "route", route, "account", "zoo", "policy", int64(5),
			"proof_age", 35*time.Millisecond, "sends", 1, "upstream", "i-1", "status", 200, "took", time.Second)
	}
	b.Run("written", func(b *testing.B) {
		b.ReportAllocs()
		logger := newInfoLogger(b, io.Discard)
		for i := range b.N {
			logRequest(logger, fmt.Sprint(i))
		}
	})
	b.Run("sampled", func(b *testing.B) {
		b.ReportAllocs()
		logger := newInfoLogger(b, io.Discard)
		for range b.N {
			logRequest(logger, "busy")
		}
	})
	b.Run("off", func(b *testing.B) {
		b.ReportAllocs()
		logger, err := New(io.Discard, Error)
		require.NoError(b, err)
		for range b.N {
			logRequest(logger, "busy")
		}
	})
}

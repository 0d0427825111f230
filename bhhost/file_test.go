package bhhost

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// parseSeconds decodes a file that holds only the drain time in seconds.
func parseSeconds(data []byte) (Settings, error) {
	seconds, err := strconv.Atoi(string(data))
	if err != nil {
		return Settings{}, errors.WithStack(err)
	}
	return Settings{Host: "h", Platform: "127.0.0.1:1", Revocation: time.Second, Drain: time.Duration(seconds) * time.Second}, nil
}

// A process must not lose its settings when an operator writes an invalid file
// or removes it.
func TestInvalidFileKeepsLastValidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("8")
	file, err := Open(path, parseSeconds)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan os.Signal)
	done := make(chan error, 1)
	go func() { done <- file.Run(ctx, signals, bhlog.Nop()) }()

	for _, invalid := range []string{"eight", "0", "-3"} {
		write(invalid)
		signals <- syscall.SIGHUP
		signals <- syscall.SIGHUP // received only after the first one was handled
		assert.Equal(t, 8*time.Second, file.Current().Drain, "after %q", invalid)
	}
	require.NoError(t, os.Remove(path))
	signals <- syscall.SIGHUP
	write("5")
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	assert.Equal(t, 5*time.Second, file.Current().Drain)
	cancel()
	require.NoError(t, <-done)
}

// fakeFile is a file whose reads return the contents in turn, and then the last
// one again and again.
type fakeFile struct{ contents []string }

func (f *fakeFile) read(string) ([]byte, error) {
	content := f.contents[0]
	if len(f.contents) > 1 {
		f.contents = f.contents[1:]
	}
	return []byte(content), nil
}

// Guards against settings that are half of the earlier file and half of the one that
// is written while it is read.
func TestFileReadWhileItIsWrittenIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeFile{contents: []string{"0", "08", "8"}}
		file, err := open("settings", source.read, parseSeconds)
		require.NoError(t, err)
		require.Equal(t, 8*time.Second, file.Current().Drain, "nothing but what was read twice")
		for _, c := range []struct {
			reads []string
			want  time.Duration
		}{
			{[]string{"03", "-3"}, 8 * time.Second},
			{[]string{"", "5", "54", "4"}, 4 * time.Second},
			{[]string{"", "", "6"}, 4 * time.Second}, // read as empty: rejected, read again at the next reload
			{[]string{"6"}, 6 * time.Second},
		} {
			source.contents = c.reads
			start := time.Now()
			file.reload("interval")
			assert.Equal(t, c.want, file.Current().Drain, "after reads of %q", c.reads)
			assert.Less(t, time.Since(start), 100*time.Millisecond, "a new content is in force at once")
		}
	})
}

// Guards against a file that changes at each read: it must neither be taken nor hold up
// the process.
func TestFileThatNeverSettlesKeepsLastSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		number := 8
		changing := false
		read := func(string) ([]byte, error) {
			if changing {
				number++
			}
			return []byte(strconv.Itoa(number)), nil
		}
		file, err := open("settings", read, parseSeconds)
		require.NoError(t, err)
		changing = true
		start := time.Now()
		file.reload("signal")
		assert.Equal(t, 8*time.Second, file.Current().Drain)
		_, err = open("settings", read, parseSeconds)
		require.ErrorContains(t, err, "settings has changed between 11 reads")
		assert.Less(t, time.Since(start), time.Second)

		changing = false
		file.reload("interval")
		assert.Equal(t, time.Duration(number)*time.Second, file.Current().Drain)
	})
}

func TestOpenRejectsMissingOrInvalidFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	_, err := Open(path, parseSeconds)
	require.Error(t, err)
	require.NoError(t, os.WriteFile(path, []byte("0"), 0o600))
	_, err = Open(path, parseSeconds)
	require.ErrorContains(t, err, "drain time 0s is not positive")
}

func TestValidate(t *testing.T) {
	valid := Settings{Host: "h", Platform: "p", Revocation: 1, Drain: 1}
	require.NoError(t, valid.Validate())
	for _, invalidate := range []func(*Settings){
		func(s *Settings) { s.Host = "" },
		func(s *Settings) { s.Platform = "" },
		func(s *Settings) { s.Revocation = 0 },
		func(s *Settings) { s.Memory = -1 },
		func(s *Settings) { s.Descriptors = -1 },
	} {
		invalid := valid
		invalidate(&invalid)
		require.Error(t, invalid.Validate())
	}
}

package bhhost

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

const (
	// reloadInterval is how often the file is read without a signal.
	reloadInterval = 2 * time.Second
	// settleTime is how long a content must stay the same before it is used.
	settleTime = 20 * time.Millisecond
	// settleReads is how many more reads may find another content before the file
	// is left alone until the next reload.
	settleReads = 10
)

// Parse decodes the content of a settings file. It needn't validate the
// settings.
type Parse func(data []byte) (Settings, error)

// File watches a settings file. An invalid new version is logged, and the last
// valid one stays in force. The file may be replaced or rewritten in place: a
// content counts once two reads in a row have found it.
type File struct {
	path string
	// read returns the content of the file at the path.
	read   func(path string) ([]byte, error)
	parse  Parse
	logger bhlog.Logger
	// data is the content that was read last, valid or not.
	data    []byte
	current atomic.Pointer[Settings]
}

// Open reads the settings file for the first time. It returns an error if the
// file can't be read, decoded or validated, or changes all the while.
func Open(path string, parse Parse) (*File, error) {
	return open(path, os.ReadFile, parse)
}

func open(path string, read func(path string) ([]byte, error), parse Parse) (*File, error) {
	file := &File{path: path, read: read, parse: parse, logger: bhlog.Nop()}
	data, err := file.readSettled()
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	settings, err := parseAndValidate(data, parse)
	if err != nil {
		return nil, errors.Wrapf(err, "settings file %s", path)
	}
	file.data = data
	file.current.Store(&settings)
	return file, nil
}

// Current returns the settings in force.
func (f *File) Current() Settings { return *f.current.Load() }

// Run reloads the file at each value of signals and every 2 s (reloadInterval)
// until ctx is done. It returns nil.
func (f *File) Run(ctx context.Context, signals <-chan os.Signal, logger bhlog.Logger) error {
	f.logger = logger
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			f.reload("signal")
		case <-ticker.C:
			f.reload("interval")
		}
	}
}

// reload reads the file, and applies the settings if the content has changed
// and is valid. An unchanged file is logged only if a signal caused the reload.
func (f *File) reload(reason string) {
	data, err := f.readSettled()
	if err == nil && bytes.Equal(data, f.data) {
		if reason == "signal" {
			bhlog.Event(f.logger, "settings.same", "reason", reason)
		}
		return
	}
	var settings Settings
	if err == nil {
		f.data = data
		settings, err = parseAndValidate(data, f.parse)
	}
	if err != nil {
		bhlog.Problem(f.logger, "settings.rejected", err, "reason", reason)
		return
	}
	f.current.Store(&settings)
	bhlog.Event(f.logger, "settings.inforce", "reason", reason, "platform", settings.Platform, "engine", settings.Engine)
}

// readSettled returns the content that two reads in a row have found, or the one
// that was read last if the file still has it. A single read may join the start
// of one content to the end of another.
func (f *File) readSettled() ([]byte, error) {
	data, err := f.read(f.path)
	for range settleReads {
		if err != nil || f.data != nil && bytes.Equal(data, f.data) {
			return data, err
		}
		time.Sleep(settleTime)
		var again []byte
		if again, err = f.read(f.path); err == nil && bytes.Equal(again, data) {
			return data, nil
		}
		data = again
	}
	return nil, errors.Errorf("%s has changed between %d reads, want two in a row with the same content", f.path, settleReads+1)
}

// parseAndValidate returns the settings in data, or an error if they can't be
// decoded or are invalid.
func parseAndValidate(data []byte, parse Parse) (Settings, error) {
	settings, err := parse(data)
	if err != nil {
		return Settings{}, err
	}
	return settings, settings.Validate()
}

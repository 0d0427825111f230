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

// rereadInterval is how often the file is read without a signal.
const rereadInterval = 2 * time.Second

// Parse decodes the bytes of a settings file.
type Parse func(data []byte) (Settings, error)

// File follows a settings file. A mistaken new version is logged and the last
// good one stays in force.
type File struct {
	path   string
	parse  Parse
	logger bhlog.Logger
	data   []byte
	now    atomic.Pointer[Settings]
}

// Open reads the settings file for the first time.
func Open(path string, parse Parse) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	settings, err := decode(data, parse)
	if err != nil {
		return nil, errors.Wrapf(err, "settings file %s", path)
	}
	file := &File{path: path, parse: parse, logger: bhlog.Nop(), data: data}
	file.now.Store(&settings)
	return file, nil
}

// Current returns the settings in force.
func (f *File) Current() Settings { return *f.now.Load() }

// Run rereads the file at each value of signals, and now and then without one,
// until ctx is done.
func (f *File) Run(ctx context.Context, signals <-chan os.Signal, logger bhlog.Logger) error {
	f.logger = logger
	ticker := time.NewTicker(rereadInterval)
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

func (f *File) reload(reason string) {
	data, err := os.ReadFile(f.path)
	if err == nil && bytes.Equal(data, f.data) {
		if reason == "signal" {
			bhlog.Event(f.logger, "settings.same", "reason", reason)
		}
		return
	}
	var settings Settings
	if err == nil {
		f.data = data
		settings, err = decode(data, f.parse)
	}
	if err != nil {
		bhlog.Problem(f.logger, "settings.rejected", err, "reason", reason)
		return
	}
	f.now.Store(&settings)
	bhlog.Event(f.logger, "settings.inforce", "reason", reason, "platform", settings.Platform, "engine", settings.Engine)
}

func decode(data []byte, parse Parse) (Settings, error) {
	settings, err := parse(data)
	if err != nil {
		return Settings{}, err
	}
	return settings, settings.Validate()
}

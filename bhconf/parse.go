package bhconf

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// DefaultDrain bounds a graceful stop when the settings name no bound.
const DefaultDrain = 30 * time.Second

// ParseSettings reads settings and checks them. The error is Problems if the
// document is JSON but wrong.
func ParseSettings(data []byte) (Settings, error) {
	var settings Settings
	if err := decode(data, &settings); err != nil {
		return settings, err
	}
	return settings, settings.Check().Err()
}

// ParseConfig reads a configuration and checks it. The error is Problems if
// the document is JSON but wrong.
func ParseConfig(data []byte) (Config, error) {
	var config Config
	if err := decode(data, &config); err != nil {
		return config, err
	}
	return config, config.Check().Err()
}

// Check returns every mistake in the settings.
func (s Settings) Check() Problems {
	var problems Problems
	if s.Role != RoleEntry && s.Role != RoleSidecar {
		problems.add("role", "must be entry or sidecar")
	}
	if s.Host == "" {
		problems.add("host", "must not be empty")
	}
	if s.Link == "" {
		problems.add("link", "must be an address")
	}
	if len(s.Secrets) == 0 {
		problems.add("secrets", "must name at least one secret")
	}
	return problems
}

// Check returns every mistake in the configuration.
func (c Config) Check() Problems {
	var problems Problems
	if c.Format != Format {
		problems.add("format", "must be 1")
	}
	return problems
}

func decode(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(target), "reading JSON")
}

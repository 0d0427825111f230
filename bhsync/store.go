package bhsync

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// DefaultTrust is how long a host trusts its keys without contact.
	DefaultTrust = 5 * time.Second
	// rejoinWait is how long a host that lost contact reads the table before
	// that counts as contact. By then the other entries have recorded the
	// revocations of an outage.
	rejoinWait = 5 * time.Second
)

// keptChanges is the number of changes kept in memory for peers.
const keptChanges = 64

// StoreConfig configures a Store.
type StoreConfig struct {
	Logger bhlog.Logger
	// Trust is how long keys are trusted after the last contact with the table
	// or another entry; zero means DefaultTrust.
	Trust time.Duration
}

// Store holds the configuration in force on a host and the revoked keys.
type Store struct {
	// Revocations are the revoked keys known to this host.
	Revocations *bhkey.Revocations

	config  StoreConfig
	current atomic.Pointer[Snapshot]
	// contact is when the last answered question was sent.
	contact atomic.Pointer[time.Time]
	// alone is whether no other entry is known.
	alone atomic.Bool

	mu sync.Mutex
	// tableFirst and tableLast span the table's answers without a long gap.
	tableFirst, tableLast time.Time

	changes []bhwire.Config
	changed chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore(config StoreConfig) *Store {
	if config.Trust == 0 {
		config.Trust = DefaultTrust
	}
	if config.Logger == nil {
		config.Logger = bhlog.Nop()
	}
	return &Store{
		Revocations: bhkey.NewRevocations(),
		config:      config,
		changed:     make(chan struct{}),
	}
}

// Current returns the configuration in force, or nil if there is none.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Version returns the version in force, or 0.
func (s *Store) Version() int64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}

// Watch returns a channel that is closed when the next version is in force.
func (s *Store) Watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply puts a newer version in force. An older one is passed over. It returns
// needWhole if the message is a change that doesn't fit the version in force.
func (s *Store) Apply(message bhwire.Config) (needWhole bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if current != nil && message.Version <= current.Version {
		return false, nil
	}
	config, fits, err := resolve(current, message)
	if err != nil || !fits {
		return !fits, err
	}
	next, err := NewSnapshot(message.Version, config)
	if err != nil {
		return false, err
	}
	if next.Digest != message.Digest {
		return true, bhcode.New(bhcode.ConfigInvalid, "version %d has another digest", message.Version)
	}
	s.replace(next, message)
	return false, nil
}

// Since returns the messages that bring a peer from version to the one in
// force: changes if they are kept, else the whole configuration.
func (s *Store) Since(version int64) ([]bhwire.Config, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if current == nil || version >= current.Version {
		return nil, nil
	}
	for i, change := range s.changes {
		if change.Base == version {
			return append([]bhwire.Config(nil), s.changes[i:]...), nil
		}
	}
	whole, err := current.Whole()
	return []bhwire.Config{whole}, err
}

// Confirm records that another entry answered a question that was sent at the
// given time, so that what it knew has reached this host.
func (s *Store) Confirm(sent time.Time) {
	for {
		last := s.contact.Load()
		if last != nil && !sent.After(*last) {
			return
		}
		if s.contact.CompareAndSwap(last, &sent) {
			return
		}
	}
}

// ConfirmTable records that the table answered a question that was sent at the
// given time. That keeps up contact. It makes contact anew only after a wait,
// since the table may not have the revocations of an outage yet.
func (s *Store) ConfirmTable(sent time.Time) {
	s.mu.Lock()
	if sent.Sub(s.tableLast) > s.config.Trust {
		s.tableFirst = sent
	}
	s.tableLast = sent
	settled := sent.Sub(s.tableFirst) >= rejoinWait
	s.mu.Unlock()
	last := s.contact.Load()
	if settled || last != nil && sent.Sub(*last) <= s.config.Trust {
		s.Confirm(sent)
	}
}

// SetAlone says whether this is the only entry, so that no revocation can
// enter the fleet anywhere else. Its keys are then always trusted.
func (s *Store) SetAlone(alone bool) {
	if s.alone.Swap(alone) && !alone {
		s.Confirm(time.Now())
	}
}

// Trusted reports whether this host may still rely on its keys at now.
func (s *Store) Trusted(now time.Time) bool {
	if s.alone.Load() {
		return true
	}
	last := s.contact.Load()
	return last != nil && now.Sub(*last) <= s.config.Trust
}

// Authenticate returns what key stands for. The error carries NoConfiguration,
// ConfigStale or Unauthorized.
func (s *Store) Authenticate(key string, now time.Time) (bhkey.Identity, error) {
	current := s.Current()
	if current == nil {
		return bhkey.Identity{}, bhcode.New(bhcode.NoConfiguration, "").WithRetryAfter(time.Second)
	}
	if !s.Trusted(now) {
		return bhkey.Identity{}, bhcode.New(bhcode.ConfigStale, "").WithRetryAfter(time.Second)
	}
	identity, ok := current.Keys.Find(key, now)
	if !ok || s.Revocations.Has(identity.Digest) {
		return bhkey.Identity{}, bhcode.New(bhcode.Unauthorized, "")
	}
	return identity, nil
}

// Valid reports whether the key that a running request came with still stands
// for the same account at now.
func (s *Store) Valid(identity bhkey.Identity, now time.Time) bool {
	current := s.Current()
	if current == nil || s.Revocations.Has(identity.Digest) {
		return false
	}
	found, ok := current.Keys.FindDigest(identity.Digest)
	return ok && found.Account == identity.Account && !found.Expired(now)
}

// replace puts next in force. The caller holds mu.
func (s *Store) replace(next *Snapshot, message bhwire.Config) {
	if message.Base == 0 || s.Version() != message.Base {
		s.changes = nil
	}
	if message.Base != 0 {
		s.changes = append(s.changes, message)
	}
	if len(s.changes) > keptChanges {
		s.changes = s.changes[1:]
	}
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	bhlog.Event(s.config.Logger, "config.force", "version", next.Version, "digest", next.Digest)
}

// resolve returns the configuration that message leads to. It doesn't fit if
// message is a change of another version than current.
func resolve(current *Snapshot, message bhwire.Config) (config bhconf.Config, fits bool, err error) {
	if message.Base == 0 {
		err := json.Unmarshal(message.Body, &config)
		return config, true, errors.Wrap(err, "configuration")
	}
	if current == nil || current.Version != message.Base {
		return config, false, nil
	}
	change, err := decodeChange(message.Body)
	if err != nil {
		return config, true, err
	}
	return Patch(current.Config, change), true, nil
}

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
	// DefaultTrustPeriod is the default of StoreConfig.TrustPeriod.
	DefaultTrustPeriod = 5 * time.Second
	// tableRecoveryWait is how long a host that has lost contact must read the
	// table without a gap before reading counts as contact. By then the other
	// entries have recorded the revocations made during an outage.
	tableRecoveryWait = 5 * time.Second
)

// maxKeptChanges is the maximum number of changes kept in memory for peers.
const maxKeptChanges = 64

// StoreConfig configures a Store.
type StoreConfig struct {
	// Logger may be nil; then nothing is logged.
	Logger bhlog.Logger
	// TrustPeriod is how long keys are accepted after the last contact with the
	// table or another entry; zero means DefaultTrustPeriod.
	TrustPeriod time.Duration
}

// Store holds the current configuration of a host and the revoked keys. Its
// version never decreases. A host without recent contact accepts no keys, since
// it may have missed a revocation.
type Store struct {
	// Revocations are the revoked keys known to this host.
	Revocations *bhkey.Revocations

	config  StoreConfig
	current atomic.Pointer[Snapshot]
	// lastContact is the send time of the newest probe or table read that was
	// answered and counts as contact; nil if there was none.
	lastContact atomic.Pointer[time.Time]
	// onlyEntry reports whether no other entry is known.
	onlyEntry atomic.Bool

	mu sync.Mutex
	// firstTableRead and lastTableRead are the start times of the first and the
	// last in a series of table reads without a gap longer than
	// StoreConfig.TrustPeriod.
	firstTableRead, lastTableRead time.Time

	// changes are the most recent consecutive changes, ending at the current
	// version.
	changes []bhwire.Config
	// changed is closed and replaced at each new version.
	changed chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore(config StoreConfig) *Store {
	if config.TrustPeriod == 0 {
		config.TrustPeriod = DefaultTrustPeriod
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

// Current returns the current configuration, or nil if there is none.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Version returns the current version, or 0 if there is none.
func (s *Store) Version() int64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}

// Watch returns a channel that is closed when the current version changes.
func (s *Store) Watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply makes the version in message the current one if it is newer, and
// ignores it otherwise. It reports needFull if the message is a change against
// another version than the current one, or if the resulting digest differs from
// the digest in the message; in the latter case the error carries
// ConfigInvalid.
func (s *Store) Apply(message bhwire.Config) (needFull bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if current != nil && message.Version <= current.Version {
		return false, nil
	}
	config, applicable, err := configFrom(current, message)
	if err != nil || !applicable {
		return !applicable, err
	}
	next, err := NewSnapshot(message.Version, config)
	if err != nil {
		return false, err
	}
	if next.Digest != message.Digest {
		return true, bhcode.New(bhcode.ConfigInvalid, "version %d has another digest", message.Version)
	}
	s.setCurrent(next, message)
	return false, nil
}

// MessagesSince returns the messages that bring a peer from version to the
// current version: the changes if they are still kept, otherwise the full
// configuration. It returns none if version isn't older than the current one.
func (s *Store) MessagesSince(version int64) ([]bhwire.Config, error) {
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
	full, err := current.FullMessage()
	return []bhwire.Config{full}, err
}

// ConfirmContact records contact: another entry answered a probe that was sent
// at the given time, so this host has received the revocations that the entry
// had then.
func (s *Store) ConfirmContact(sent time.Time) {
	for {
		last := s.lastContact.Load()
		if last != nil && !sent.After(*last) {
			return
		}
		if s.lastContact.CompareAndSwap(last, &sent) {
			return
		}
	}
}

// ConfirmTableRead records that the table was read completely, starting at the
// given time. That prolongs existing contact. Lost contact is regained only
// after tableRecoveryWait, since the revocations made during an outage may not
// be recorded in the table yet.
func (s *Store) ConfirmTableRead(sent time.Time) {
	s.mu.Lock()
	if sent.Sub(s.lastTableRead) > s.config.TrustPeriod {
		s.firstTableRead = sent
	}
	s.lastTableRead = sent
	recovered := sent.Sub(s.firstTableRead) >= tableRecoveryWait
	s.mu.Unlock()
	last := s.lastContact.Load()
	if recovered || last != nil && sent.Sub(*last) <= s.config.TrustPeriod {
		s.ConfirmContact(sent)
	}
}

// SetOnlyEntry sets whether this host is the only entry. Then no revocation can
// be made through another entry, and the keys are always accepted. Ending this
// state counts as contact.
func (s *Store) SetOnlyEntry(onlyEntry bool) {
	if s.onlyEntry.Swap(onlyEntry) && !onlyEntry {
		s.ConfirmContact(time.Now())
	}
}

// KeysTrusted reports whether this host may accept keys at now: if its last
// contact is not older than StoreConfig.TrustPeriod or if it is the only entry.
func (s *Store) KeysTrusted(now time.Time) bool {
	if s.onlyEntry.Load() {
		return true
	}
	last := s.lastContact.Load()
	return last != nil && now.Sub(*last) <= s.config.TrustPeriod
}

// Authenticate returns the identity that key belongs to at now. The error
// carries NoConfiguration if there is no configuration yet, ConfigStale if
// contact was lost, and Unauthorized if the key is unknown, expired or revoked.
func (s *Store) Authenticate(key string, now time.Time) (bhkey.Identity, error) {
	current := s.Current()
	if current == nil {
		return bhkey.Identity{}, bhcode.New(bhcode.NoConfiguration, "").WithRetryAfter(time.Second)
	}
	if !s.KeysTrusted(now) {
		return bhkey.Identity{}, bhcode.New(bhcode.ConfigStale, "").WithRetryAfter(time.Second)
	}
	identity, ok := current.Keys.Find(key, now)
	if !ok || s.Revocations.Has(identity.Digest) {
		return bhkey.Identity{}, bhcode.New(bhcode.Unauthorized, "")
	}
	return identity, nil
}

// IdentityValid reports whether the key of a running request is still valid for
// the same client account at now.
func (s *Store) IdentityValid(identity bhkey.Identity, now time.Time) bool {
	current := s.Current()
	if current == nil || s.Revocations.Has(identity.Digest) {
		return false
	}
	found, ok := current.Keys.FindDigest(identity.Digest)
	return ok && found.Account == identity.Account && !found.Expired(now)
}

// setCurrent makes next the current snapshot and keeps message for peers if it
// is a change. The caller holds mu.
func (s *Store) setCurrent(next *Snapshot, message bhwire.Config) {
	if message.Base == 0 || s.Version() != message.Base {
		s.changes = nil
	}
	if message.Base != 0 {
		s.changes = append(s.changes, message)
	}
	if len(s.changes) > maxKeptChanges {
		s.changes = s.changes[1:]
	}
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	bhlog.Event(s.config.Logger, "config.force", "version", next.Version, "digest", next.Digest)
}

// configFrom returns the configuration that results from message. It reports
// applicable as false if message is a change against another version than
// current.
func configFrom(current *Snapshot, message bhwire.Config) (config bhconf.Config, applicable bool, err error) {
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

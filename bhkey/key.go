// Package bhkey generates callers' keys, finds the client account of a key, limits
// wrong keys, and keeps the set of revoked keys; it stores digests of keys only,
// never keys. The command line generates keys with it, and entries and the
// operators' API authenticate with it.
package bhkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

const (
	// Prefix is the prefix of each key. It makes keys recognizable in places where
	// they don't belong, such as configurations.
	Prefix = "bh_"
	// DigestPrefix is the prefix of each digest.
	DigestPrefix = "sha256:"

	// randomKeyBytes is the number of random bytes in a generated key.
	randomKeyBytes = 32
	// MaxKeyBytes is the length of the longest accepted key in bytes.
	MaxKeyBytes = 512
)

// Generate returns a new random key and its digest. It returns an error if the
// system's random source fails.
func Generate() (key, digest string, err error) {
	random := make([]byte, randomKeyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", "", errors.Wrap(err, "generating key")
	}
	key = Prefix + hex.EncodeToString(random)
	return key, Digest(key), nil
}

// Digest returns "sha256:" and the lower-case hexadecimal SHA-256 of key.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return DigestPrefix + hex.EncodeToString(sum[:])
}

// ValidDigest reports whether digest has the form that Digest returns.
func ValidDigest(digest string) bool {
	_, ok := parseDigest(digest)
	return ok
}

func parseDigest(digest string) ([sha256.Size]byte, bool) {
	var sum [sha256.Size]byte
	digits, ok := strings.CutPrefix(digest, DigestPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(sum)) || strings.ToLower(digits) != digits {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(digits))
	return sum, err == nil
}

// Identity is the client account of a key, with the key's digest and expiry.
type Identity struct {
	// Account is the name of the client account.
	Account string
	// Digest is the digest of the key.
	Digest string
	// Expires is when the key expires; zero means never.
	Expires time.Time
}

// Expired reports whether the key has expired at now.
func (i Identity) Expired(now time.Time) bool {
	return !i.Expires.IsZero() && !now.Before(i.Expires)
}

// indexEntry is one key of an Index.
type indexEntry struct {
	Identity
	sum [sha256.Size]byte
}

// Index finds the keys of one configuration. It is immutable and safe for
// concurrent use.
type Index struct {
	// buckets holds the entries by the first eight bytes of the SHA-256.
	buckets map[uint64][]indexEntry
}

// NewIndex returns the index of the keys in config. Keys with a malformed digest
// are skipped.
func NewIndex(config bhconf.Config) *Index {
	index := &Index{buckets: make(map[uint64][]indexEntry)}
	for _, account := range config.Accounts {
		for _, key := range account.Keys {
			index.add(account.Name, key)
		}
	}
	return index
}

// Lookup returns the account and the digest of key. It returns false if the key is
// unknown or has expired at now.
func (x *Index) Lookup(key string, now time.Time) (account, digest string, ok bool) {
	identity, ok := x.Find(key, now)
	return identity.Account, identity.Digest, ok
}

// Find returns the identity of key. It returns false if the key is unknown, has
// expired at now, or is longer than MaxKeyBytes.
func (x *Index) Find(key string, now time.Time) (Identity, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return Identity{}, false
	}
	found, ok := x.findSum(sha256.Sum256([]byte(key)))
	if !ok || found.Expired(now) {
		return Identity{}, false
	}
	return found, true
}

// FindDigest returns the identity of the key with the given digest, even if the key
// has expired. It returns false if the digest is unknown or malformed.
func (x *Index) FindDigest(digest string) (Identity, bool) {
	sum, ok := parseDigest(digest)
	if !ok {
		return Identity{}, false
	}
	return x.findSum(sum)
}

func (x *Index) add(account string, key bhconf.Key) {
	sum, ok := parseDigest(key.Digest)
	if !ok {
		return
	}
	identity := Identity{Account: account, Digest: key.Digest, Expires: key.Expires}
	bucket := leadingUint64(sum)
	x.buckets[bucket] = append(x.buckets[bucket], indexEntry{Identity: identity, sum: sum})
}

// findSum returns the identity of the key with the given SHA-256. It compares
// whole sums in constant time, so that its duration reveals nothing about the
// stored sums but their bucket.
func (x *Index) findSum(sum [sha256.Size]byte) (Identity, bool) {
	var found Identity
	ok := false
	for _, candidate := range x.buckets[leadingUint64(sum)] {
		if subtle.ConstantTimeCompare(candidate.sum[:], sum[:]) == 1 {
			found, ok = candidate.Identity, true
		}
	}
	return found, ok
}

// leadingUint64 returns the first eight bytes of sum.
func leadingUint64(sum [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(sum[:]) }

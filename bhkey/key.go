// Package bhkey makes callers' keys, finds the client account that a key
// belongs to, and keeps the set of keys that were revoked. Only digests of
// keys are ever kept.
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
	// Prefix starts each key, so that keys are recognised where they shouldn't be.
	Prefix = "bh_"
	// DigestPrefix starts each digest.
	DigestPrefix = "sha256:"

	randomSize = 32
	// MaxKey is the longest key accepted in bytes.
	MaxKey = 512
)

// Generate returns a new random key and its digest.
func Generate() (key, digest string, err error) {
	random := make([]byte, randomSize)
	if _, err := rand.Read(random); err != nil {
		return "", "", errors.Wrap(err, "generating key")
	}
	key = Prefix + hex.EncodeToString(random)
	return key, Digest(key), nil
}

// Digest returns "sha256:" and the hexadecimal SHA-256 of key.
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
	text, ok := strings.CutPrefix(digest, DigestPrefix)
	if !ok || len(text) != hex.EncodedLen(len(sum)) || strings.ToLower(text) != text {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(text))
	return sum, err == nil
}

// Identity is what a key stands for.
type Identity struct {
	Account string
	// Digest is the digest of the key.
	Digest string
	// Expires is when the key stops working; zero means never.
	Expires time.Time
}

// Expired reports whether the key has stopped working at now.
func (i Identity) Expired(now time.Time) bool {
	return !i.Expires.IsZero() && !now.Before(i.Expires)
}

type indexed struct {
	Identity
	sum [sha256.Size]byte
}

// Index finds keys of one configuration. It doesn't change.
type Index struct {
	buckets map[uint64][]indexed
}

// NewIndex returns the index of the keys in config. Malformed digests match
// no key.
func NewIndex(config bhconf.Config) *Index {
	index := &Index{buckets: make(map[uint64][]indexed)}
	for _, account := range config.Accounts {
		for _, key := range account.Keys {
			index.add(account.Name, key)
		}
	}
	return index
}

// Lookup returns the account and the digest of key. It is not ok if the key is
// unknown or has expired at now.
func (x *Index) Lookup(key string, now time.Time) (account, digest string, ok bool) {
	identity, ok := x.Find(key, now)
	return identity.Account, identity.Digest, ok
}

// Find returns what key stands for. It is not ok if the key is unknown or has
// expired at now.
func (x *Index) Find(key string, now time.Time) (Identity, bool) {
	if key == "" || len(key) > MaxKey {
		return Identity{}, false
	}
	found, ok := x.find(sha256.Sum256([]byte(key)))
	if !ok || found.Expired(now) {
		return Identity{}, false
	}
	return found, true
}

// Digest returns what the key with the digest stands for, also if it expired.
func (x *Index) Digest(digest string) (Identity, bool) {
	sum, ok := parseDigest(digest)
	if !ok {
		return Identity{}, false
	}
	return x.find(sum)
}

func (x *Index) add(account string, key bhconf.Key) {
	sum, ok := parseDigest(key.Digest)
	if !ok {
		return
	}
	identity := Identity{Account: account, Digest: key.Digest, Expires: key.Expires}
	bucket := bucketOf(sum)
	x.buckets[bucket] = append(x.buckets[bucket], indexed{Identity: identity, sum: sum})
}

// find compares whole digests in constant time.
func (x *Index) find(sum [sha256.Size]byte) (Identity, bool) {
	var found Identity
	ok := false
	for _, candidate := range x.buckets[bucketOf(sum)] {
		if subtle.ConstantTimeCompare(candidate.sum[:], sum[:]) == 1 {
			found, ok = candidate.Identity, true
		}
	}
	return found, ok
}

func bucketOf(sum [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(sum[:]) }

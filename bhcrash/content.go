package bhcrash

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"time"
)

// digestBytes is the length of a digest, long enough that no caller can find
// content with the digest of another caller's.
const digestBytes = 16

// Content is what makes two requests the same one for the ledger, whatever their
// IDs, deadlines and gateways.
type Content struct {
	// Account is the client account; empty if the request needs no key. It is part
	// of the digest so that no account can have another's requests refused.
	Account string
	Method  string
	Host    string
	// Target is the request target as the client sent it.
	Target string
	Body   []byte
	// Prompt names the model and all parts of the prompt; empty if the request names
	// none. It is the same in requests of several accounts, with different bodies.
	Prompt string
	// Parts are the IDs of the parts of the prompt that other requests may share.
	Parts []string
}

// Digest returns the digest of the content, in hexadecimal.
func (c Content) Digest() string {
	return digest(kindContent, c.Account, c.Method, c.Host, c.Target, string(c.Body))
}

// maxParts bounds the parts of a prompt that are looked at.
const maxParts = 8

// Traits are the digests of what may make a request crash upstreams.
type Traits struct {
	// Content is the digest of all that makes requests the same one; empty if it is
	// counted elsewhere.
	Content string
	// Prompt is the digest of the whole prompt, whatever account sends it; empty if there
	// is none. Only who knows all of another account's prompt can have it refused.
	Prompt string
	// Parts are the digests of the account's shared parts of prompts.
	Parts []string
	// Until is when an item may be given up; zero for a request whose client waits.
	Until time.Time
}

// Traits returns the traits of the content.
func (c Content) Traits() Traits {
	traits := Traits{Content: c.Digest()}
	if c.Prompt != "" {
		traits.Prompt = digest(kindPrompt, c.Host, c.Prompt)
	}
	for _, part := range c.Parts[:min(maxParts, len(c.Parts))] {
		traits.Parts = append(traits.Parts, digest(kindPart, c.Account, part))
	}
	return traits
}

// All returns all digests of the traits.
func (t Traits) All() []string {
	var digests []string
	for _, digest := range []string{t.Content, t.Prompt} {
		if digest != "" {
			digests = append(digests, digest)
		}
	}
	return append(digests, t.Parts...)
}

// without returns the traits but for the digests.
func (t Traits) without(digests []string) Traits {
	if slices.Contains(digests, t.Content) {
		t.Content = ""
	}
	if slices.Contains(digests, t.Prompt) {
		t.Prompt = ""
	}
	t.Parts = slices.DeleteFunc(slices.Clone(t.Parts), func(part string) bool { return slices.Contains(digests, part) })
	return t
}

// digestKind is what a digest is of. The lowest bits of its first byte tell it.
type digestKind byte

const (
	kindContent digestKind = iota
	kindPart
	kindPrompt
	kindMask digestKind = 3
)

// digest returns the digest of the fields of something of the kind, in hexadecimal. Their
// lengths are hashed too, so that no two lists of fields look alike.
func digest(kind digestKind, fields ...string) string {
	hash := sha256.New()
	for _, field := range fields {
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	sum := hash.Sum(nil)[:digestBytes]
	sum[0] = sum[0]&^byte(kindMask) | byte(kind)
	return hex.EncodeToString(sum)
}

// kindOf returns what the digest is of; kindContent if it isn't one of this package.
func kindOf(digest string) digestKind {
	first, err := hex.DecodeString(digest[:min(2, len(digest))])
	if err != nil || len(first) == 0 {
		return kindContent
	}
	return digestKind(first[0]) & kindMask
}

// isPart reports whether the digest is that of a part.
func isPart(digest string) bool { return kindOf(digest) == kindPart }

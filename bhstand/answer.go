package bhstand

import (
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhaven/baobabhaven/bhchat"
)

const (
	digestBase = 16
	wordBase   = 36
	wordRange  = wordBase * wordBase * wordBase
	// shorter is the divisor for the part of max tokens that an answer may omit.
	shorter = 4
)

// Answer returns the tokens with which every engine answers the prompt: at
// most maxTokens, or bhchat.DefaultMaxTokens if that is zero, and at least
// three quarters of that. Different prompts get different answers.
func Answer(model, prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = bhchat.DefaultMaxTokens
	}
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	words := rand.New(rand.NewPCG(seed, seed))
	count := maxTokens - words.IntN(maxTokens/shorter+1)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = strconv.FormatInt(int64(words.IntN(wordRange)), wordBase) + " "
	}
	return tokens
}

// Digest returns the name under which an engine counts requests with the
// prompt.
func Digest(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), digestBase)
}

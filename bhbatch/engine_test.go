package bhbatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// An item that an engine of another version can't continue starts anew, and isn't
// charged for it.
func TestItemOfAnotherVersionStartsAnew(t *testing.T) {
	item := &heldItem{resume: ResumePoint{Text: "so far", Tokens: 2, Version: "v1"}}
	for range 10 * MaxTries {
		assert.Equal(t, actionRetry, item.decideAction(bhcode.New(bhcode.VersionDiffers, ""), true))
		assert.Equal(t, ResumePoint{}, item.resume)
	}
}

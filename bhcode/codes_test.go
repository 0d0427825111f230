package bhcode

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var codeRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z_]+) \| (\d+) \| ([^|]+) \|`)

// docs/CODES.md and the package must list exactly the same codes, each with the
// same name, status and sentence.
func TestCodesPageMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile("../docs/CODES.md")
	require.NoError(t, err)
	listed := make(map[Code]Info)
	for _, row := range codeRow.FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(row[1])
		require.NoError(t, err)
		status, err := strconv.Atoi(row[3])
		require.NoError(t, err)
		_, twice := listed[Code(number)]
		require.False(t, twice, "code %d is listed twice", number)
		listed[Code(number)] = Info{Name: row[2], Status: status, Text: row[4]}
	}
	assert.Equal(t, All(), listed)
}

func TestNamesAreUnique(t *testing.T) {
	seen := make(map[string]Code)
	for code, info := range All() {
		other, ok := seen[info.Name]
		require.False(t, ok, fmt.Sprintf("%d and %d are both %s", code, other, info.Name))
		seen[info.Name] = code
	}
}

func TestUnknownCodesAreInternal(t *testing.T) {
	assert.Equal(t, "internal", Code(77).String())
}

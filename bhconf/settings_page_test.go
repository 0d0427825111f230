package bhconf

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSettingsPageListsExactlyTheSettings checks that the table in
// docs/SETTINGS.md has exactly the JSON fields of Settings.
func TestSettingsPageListsExactlyTheSettings(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	var listed, fields []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, row[1])
	}
	settings := reflect.TypeFor[Settings]()
	for i := range settings.NumField() {
		name, _, _ := strings.Cut(settings.Field(i).Tag.Get("json"), ",")
		fields = append(fields, name)
	}
	assert.ElementsMatch(t, fields, listed)
}

package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// config.json is what go run prints.
func TestTheProgramPrintsTheSameBytes(t *testing.T) {
	want, err := os.ReadFile("config.json")
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, bhconf.Print(&got, config()))
	assert.Equal(t, string(want), got.String())
}

// Package bhjson checks JSON from outside before it is decoded: encoding/json replaces text that
// it can't represent, and keeps one of several members of a name, without an error.
package bhjson

import (
	"bytes"
	"io"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// Validate returns an error unless data is one JSON value that encoding/json decodes without a
// loss: its text is UTF-8, escaped surrogates come in pairs, and the names of each object differ
// (RFC 8259, sections 4, 8.1 and 8.2). The error tells the place.
func Validate(data []byte) error {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(data)) // read in place
	if err := decoder.SkipValue(); err != nil {
		return errors.WithStack(err)
	}
	if _, err := decoder.ReadToken(); err != io.EOF {
		return errors.Errorf("more than one JSON value, from byte %d on", decoder.InputOffset())
	}
	return nil
}

package bhjson

import (
	stderrors "errors"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// RejectNull makes Decode return an error for null as the value of a field. A nil pointer then
// means that the member is missing.
var RejectNull = json.WithUnmarshalers(json.UnmarshalFromFunc(func(decoder *jsontext.Decoder, _ any) error {
	if decoder.PeekKind() == jsontext.KindNull {
		return errors.New("null in place of a value")
	}
	return stderrors.ErrUnsupported // the default decoding follows
}))

// Decode decodes data, one JSON value as Validate requires it, into what value points to. Unlike
// encoding/json, it matches the names of members with those of fields in their exact spelling.
// Unknown members are ignored.
func Decode(data []byte, value any, options ...json.Options) error {
	return errors.WithStack(json.Unmarshal(data, value, options...))
}

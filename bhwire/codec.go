package bhwire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Limits on what a peer may send.
const (
	// MaxBody is the largest body of one frame in bytes.
	MaxBody = 16 << 20
	// MaxNesting is the deepest nesting of a message.
	MaxNesting = 8
	// MaxElements is the largest number of elements in one array or map.
	MaxElements = 1 << 17
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// Encode returns the frame that carries message on stream.
func Encode(kind Kind, stream uint64, message any) (Frame, error) {
	body, err := encoder.Marshal(message)
	if err != nil {
		return Frame{}, bhcode.Wrap(err, bhcode.FrameInvalid, "encoding "+string(kind))
	}
	return Frame{Kind: kind, Stream: stream, Body: body}, nil
}

// Decode returns the message of type M in the frame's body.
func Decode[M any](frame Frame) (M, error) {
	var message M
	if err := decoder.Unmarshal(frame.Body, &message); err != nil {
		return message, bhcode.Wrap(err, bhcode.FrameInvalid, "decoding "+string(frame.Kind))
	}
	return message, nil
}

// AppendFrame appends the encoded frame to buf, which may hold others.
func AppendFrame(buf []byte, frame Frame) ([]byte, error) {
	data, err := encoder.Marshal(frame)
	if err != nil {
		return buf, bhcode.Wrap(err, bhcode.FrameInvalid, "encoding frame")
	}
	return append(buf, data...), nil
}

// NextFrame decodes the first frame in buf and returns it with the rest.
func NextFrame(buf []byte) (Frame, []byte, error) {
	var frame Frame
	rest, err := decoder.UnmarshalFirst(buf, &frame)
	if err != nil {
		return Frame{}, nil, bhcode.Wrap(err, bhcode.FrameInvalid, "decoding frame")
	}
	if len(frame.Body) > MaxBody {
		return Frame{}, nil, bhcode.New(bhcode.FrameInvalid, "body of %d bytes", len(frame.Body))
	}
	return frame, rest, nil
}

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  MaxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

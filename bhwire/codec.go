package bhwire

import (
	"slices"

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

// kinds gives each kind its number on the wire. Numbers are never reused; new
// kinds go to the end.
var kinds = []Kind{
	KindBeat,
	KindCancel,
	KindConfig,
	KindCredit,
	KindData,
	KindDone,
	KindEnd,
	KindGrant,
	KindHave,
	KindHead,
	KindHello,
	KindNeed,
	KindOrder,
	KindProbe,
	KindProof,
	KindRevoke,
	KindSubmit,
	KindTaken,
	KindVerdict,
	KindVote,
	KindWork,
	KindAsk,
	KindRoom,
	KindReserve,
	KindFault,
	KindDraw,
	KindDrawn,
	KindBegan,
	KindFind,
	KindFound,
	KindLosses,
	KindTry,
	KindTried,
	KindPass,
	KindPassed,
	KindNamed,
	KindCold,
}

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

// compact is the encoded form of a frame: an array without field names, with
// the kind as a number.
type compact struct {
	_      struct{} `cbor:",toarray"`
	Kind   int
	Stream uint64
	Body   []byte
}

// AppendFrame appends the encoded frame to buf, which may hold others.
func AppendFrame(buf []byte, frame Frame) ([]byte, error) {
	kind := slices.Index(kinds, frame.Kind)
	if kind < 0 {
		return buf, bhcode.New(bhcode.FrameInvalid, "unknown kind %q", frame.Kind)
	}
	data, err := encoder.Marshal(compact{Kind: kind, Stream: frame.Stream, Body: frame.Body})
	if err != nil {
		return buf, bhcode.Wrap(err, bhcode.FrameInvalid, "encoding frame")
	}
	return append(buf, data...), nil
}

// NextFrame decodes the first frame in buf and returns it with the rest.
func NextFrame(buf []byte) (Frame, []byte, error) {
	var frame compact
	rest, err := decoder.UnmarshalFirst(buf, &frame)
	if err != nil {
		return Frame{}, nil, bhcode.Wrap(err, bhcode.FrameInvalid, "decoding frame")
	}
	if frame.Kind < 0 || frame.Kind >= len(kinds) {
		return Frame{}, nil, bhcode.New(bhcode.FrameInvalid, "unknown kind %d", frame.Kind)
	}
	if len(frame.Body) > MaxBody {
		return Frame{}, nil, bhcode.New(bhcode.FrameInvalid, "body of %d bytes", len(frame.Body))
	}
	return Frame{Kind: kinds[frame.Kind], Stream: frame.Stream, Body: frame.Body}, rest, nil
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
		// Paths and header values may hold any bytes.
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxNestedLevels:  MaxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

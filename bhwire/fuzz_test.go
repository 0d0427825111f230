package bhwire

import (
	"testing"
)

// FuzzFrames decodes what a peer may send: frames, and in them each message.
func FuzzFrames(f *testing.F) {
	messages := map[Kind]any{
		KindConfig: Config{Version: 2, Base: 1, Digest: "sha256:0", Body: []byte("{}")},
		KindNeed:   Need{Version: 1},
		KindRevoke: Revoke{Digests: []string{"sha256:0"}},
		KindProbe:  Probe{Count: 1},
		KindHave:   Have{Count: 1, Version: 2, Revoked: 3, Sum: 4},
		KindSubmit: Submit{ID: "a", Prefix: []uint64{1}},
		KindHello:  Hello{Host: "a", Nonce: []byte{1}},
		KindProof:  Proof{Macs: [][]byte{{1}}},
	}
	for kind, message := range messages {
		frame, err := Encode(kind, 1, message)
		if err != nil {
			f.Fatal(err)
		}
		data, err := AppendFrame(nil, frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(append(data, data...))
	}
	f.Add([]byte{0x9f, 0x9f, 0x9f, 0x9f, 0x9f, 0x9f, 0x9f, 0x9f, 0x9f, 0x9f})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			frame, rest, err := NextFrame(data)
			if err != nil {
				return
			}
			if len(rest) >= len(data) {
				t.Fatal("a frame took no bytes")
			}
			decodeAll(frame)
			data = rest
		}
	})
}

// decodeAll decodes the frame's body as every message.
func decodeAll(frame Frame) {
	_, _ = Decode[Config](frame)
	_, _ = Decode[Need](frame)
	_, _ = Decode[Revoke](frame)
	_, _ = Decode[Probe](frame)
	_, _ = Decode[Have](frame)
	_, _ = Decode[Submit](frame)
	_, _ = Decode[Head](frame)
	_, _ = Decode[End](frame)
	_, _ = Decode[Grant](frame)
	_, _ = Decode[Order](frame)
	_, _ = Decode[Hello](frame)
	_, _ = Decode[Proof](frame)
}

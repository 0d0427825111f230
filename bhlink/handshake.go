package bhlink

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	nonceBytes = 32
	// maxProofMACs bounds the MACs in a peer's proof, one for each of its secrets.
	maxProofMACs = 8
)

// The MACs of each side cover its label, so that a proof can't be reflected to the
// side that sent it.
const (
	labelDialer   = "baobabhaven dialer"
	labelAccepter = "baobabhaven accepter"
)

// handshake exchanges hellos and proofs, and returns the peer's hello. Each side
// proves that it holds a secret that the other accepts; the proof is bound to both
// hellos. The error carries LinkLost if the connection failed, FrameInvalid if a
// message is malformed, and LinkRefused if the peer isn't accepted.
func handshake(ctx context.Context, conn *websocket.Conn, config Config, dialer bool) (bhwire.Hello, error) {
	self := config.Self
	self.Nonce = make([]byte, nonceBytes)
	if _, err := rand.Read(self.Nonce); err != nil {
		return bhwire.Hello{}, errors.WithStack(err)
	}
	ownBody, err := writeHandshakeMessage(ctx, conn, bhwire.KindHello, self)
	if err != nil {
		return bhwire.Hello{}, err
	}
	frame, err := readHandshakeFrame(ctx, conn, bhwire.KindHello)
	if err != nil {
		return bhwire.Hello{}, err
	}
	peer, err := bhwire.Decode[bhwire.Hello](frame)
	if err != nil {
		return bhwire.Hello{}, err
	}
	if len(peer.Nonce) != nonceBytes {
		return bhwire.Hello{}, bhcode.New(bhcode.LinkRefused, "nonce of %d bytes", len(peer.Nonce))
	}
	transcript := append(append([]byte{}, ownBody...), frame.Body...)
	ownLabel, peerLabel := labelDialer, labelAccepter
	if !dialer {
		transcript = append(append([]byte{}, frame.Body...), ownBody...)
		ownLabel, peerLabel = labelAccepter, labelDialer
	}
	proof := bhwire.Proof{Macs: computeMACs(config.Secrets, ownLabel, transcript)}
	if _, err := writeHandshakeMessage(ctx, conn, bhwire.KindProof, proof); err != nil {
		return bhwire.Hello{}, err
	}
	return peer, verifyProof(ctx, conn, computeMACs(config.Secrets, peerLabel, transcript))
}

// verifyProof reads the peer's proof and checks that one of its MACs is one of the
// expected ones.
func verifyProof(ctx context.Context, conn *websocket.Conn, expectedMACs [][]byte) error {
	frame, err := readHandshakeFrame(ctx, conn, bhwire.KindProof)
	if err != nil {
		return err
	}
	proof, err := bhwire.Decode[bhwire.Proof](frame)
	if err != nil {
		return err
	}
	if len(proof.Macs) > maxProofMACs {
		return bhcode.New(bhcode.LinkRefused, "%d proofs", len(proof.Macs))
	}
	for _, mac := range proof.Macs {
		for _, expectedMAC := range expectedMACs {
			if hmac.Equal(mac, expectedMAC) {
				return nil
			}
		}
	}
	return bhcode.New(bhcode.LinkRefused, "peer holds none of the fleet secrets")
}

// computeMACs returns an HMAC-SHA256 of label and transcript under each secret.
func computeMACs(secrets []string, label string, transcript []byte) [][]byte {
	sums := make([][]byte, 0, len(secrets))
	for _, secret := range secrets {
		mac := hmac.New(sha256.New, []byte(secret))
		mac.Write([]byte(label))
		mac.Write(transcript)
		sums = append(sums, mac.Sum(nil))
	}
	return sums
}

// writeHandshakeMessage sends message in a frame of its own and returns its
// encoded body.
func writeHandshakeMessage(ctx context.Context, conn *websocket.Conn, kind bhwire.Kind, message any) ([]byte, error) {
	frame, err := bhwire.Encode(kind, 0, message)
	if err != nil {
		return nil, err
	}
	data, err := bhwire.AppendFrame(nil, frame)
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return nil, bhcode.Wrap(err, bhcode.LinkLost, "handshake")
	}
	return frame.Body, nil
}

// readHandshakeFrame reads a message that must hold one frame of the given kind.
func readHandshakeFrame(ctx context.Context, conn *websocket.Conn, kind bhwire.Kind) (bhwire.Frame, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return bhwire.Frame{}, bhcode.Wrap(err, bhcode.LinkLost, "handshake")
	}
	frame, rest, err := bhwire.NextFrame(data)
	if err != nil {
		return bhwire.Frame{}, err
	}
	if frame.Kind != kind || len(rest) > 0 {
		return bhwire.Frame{}, bhcode.New(bhcode.LinkRefused, "unexpected %s in handshake", frame.Kind)
	}
	return frame, nil
}

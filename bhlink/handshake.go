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
	nonceSize  = 32
	maxSecrets = 8
)

// Labels keep a proof of one side from being reflected as that of the other.
const (
	labelDialer   = "baobabhaven dialer"
	labelAccepter = "baobabhaven accepter"
)

// shake exchanges hellos and proofs. Each side proves that it holds a secret
// that the other accepts, bound to both hellos.
func shake(ctx context.Context, conn *websocket.Conn, config Config, dialer bool) (bhwire.Hello, error) {
	self := config.Self
	self.Nonce = make([]byte, nonceSize)
	if _, err := rand.Read(self.Nonce); err != nil {
		return bhwire.Hello{}, errors.WithStack(err)
	}
	own, err := exchange(ctx, conn, bhwire.KindHello, self)
	if err != nil {
		return bhwire.Hello{}, err
	}
	frame, err := readFrame(ctx, conn, bhwire.KindHello)
	if err != nil {
		return bhwire.Hello{}, err
	}
	peer, err := bhwire.Decode[bhwire.Hello](frame)
	if err != nil {
		return bhwire.Hello{}, err
	}
	if len(peer.Nonce) != nonceSize {
		return bhwire.Hello{}, bhcode.New(bhcode.LinkRefused, "nonce of %d bytes", len(peer.Nonce))
	}
	transcript := append(append([]byte{}, own...), frame.Body...)
	ownLabel, peerLabel := labelDialer, labelAccepter
	if !dialer {
		transcript = append(append([]byte{}, frame.Body...), own...)
		ownLabel, peerLabel = labelAccepter, labelDialer
	}
	proof := bhwire.Proof{Macs: macs(config.Secrets, ownLabel, transcript)}
	if _, err := exchange(ctx, conn, bhwire.KindProof, proof); err != nil {
		return bhwire.Hello{}, err
	}
	return peer, verify(ctx, conn, macs(config.Secrets, peerLabel, transcript))
}

func verify(ctx context.Context, conn *websocket.Conn, expected [][]byte) error {
	frame, err := readFrame(ctx, conn, bhwire.KindProof)
	if err != nil {
		return err
	}
	proof, err := bhwire.Decode[bhwire.Proof](frame)
	if err != nil {
		return err
	}
	if len(proof.Macs) > maxSecrets {
		return bhcode.New(bhcode.LinkRefused, "%d proofs", len(proof.Macs))
	}
	for _, mac := range proof.Macs {
		for _, want := range expected {
			if hmac.Equal(mac, want) {
				return nil
			}
		}
	}
	return bhcode.New(bhcode.LinkRefused, "peer holds none of the fleet secrets")
}

func macs(secrets []string, label string, transcript []byte) [][]byte {
	sums := make([][]byte, 0, len(secrets))
	for _, secret := range secrets {
		mac := hmac.New(sha256.New, []byte(secret))
		mac.Write([]byte(label))
		mac.Write(transcript)
		sums = append(sums, mac.Sum(nil))
	}
	return sums
}

// exchange writes message and returns its encoded body.
func exchange(ctx context.Context, conn *websocket.Conn, kind bhwire.Kind, message any) ([]byte, error) {
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

func readFrame(ctx context.Context, conn *websocket.Conn, kind bhwire.Kind) (bhwire.Frame, error) {
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

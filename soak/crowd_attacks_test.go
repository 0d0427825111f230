package soak

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// headSize is inside the limits of heads.
	headSize = 60 << 10
	// endless is far beyond all limits.
	endless = 8 << 20
	// crowdBody is inside the limits of bodies.
	crowdBody = 1 << 20
	// tinyChunks is how many chunks of one byte a body has.
	tinyChunks = 100_000
	// pipelined is how many requests are sent without reading an answer.
	pipelined = 5_000
	datagrams = 20_000
)

// attack is what each client of a crowd does.
type attack struct {
	name string
	// count is the number of clients; zero means crowdSize.
	count int
	// public says that only ports for callers' requests are attacked.
	public bool
	// link says that only ports for links are attacked.
	link bool
	// scarce says that the process has fewDescriptors.
	scarce bool
	// turn misbehaves on a new connection, which is kept open afterwards, unless ends is set. If
	// unconnected is set, there is no connection.
	turn        func(ctx context.Context, v *victim, conn net.Conn, number int)
	ends        bool
	unconnected bool
}

// attacks are the ways to misbehave.
var attacks = []attack{
	{name: "short fields", turn: send(func(v *victim) []byte { return head(v, shortFields()) })},
	{name: "one field many times", turn: send(func(v *victim) []byte { return head(v, strings.Repeat("a:\r\n", headSize/4)) })},
	{name: "long field", turn: send(func(v *victim) []byte { return head(v, "a: "+strings.Repeat("a", headSize)) })},
	{name: "short fields answered", turn: send(func(v *victim) []byte { return head(v, shortFields()+"\r\n") })},
	{name: "short fields forwarded", public: true, turn: send(func(v *victim) []byte {
		return head(v, waitHeader+": 3000\r\n"+shortFields()+"Content-Length: 0\r\n\r\n")
	})},
	{name: "long target", turn: send(func(v *victim) []byte {
		return []byte("GET /" + strings.Repeat("a", headSize) + " HTTP/1.1\r\nHost: svc.example\r\n\r\n")
	})},
	{name: "head without end", turn: send(func(v *victim) []byte { return head(v, strings.Repeat("a: b\r\n", endless/6)) })},
	{name: "field without end", turn: send(func(v *victim) []byte { return head(v, "a: "+strings.Repeat("b", endless)) })},
	{name: "empty lines without end", turn: send(func(*victim) []byte { return bytes.Repeat([]byte("\r\n"), endless/2) })},
	{name: "bare line feeds without end", turn: send(func(*victim) []byte { return bytes.Repeat([]byte("\n"), endless) })},
	{name: "noise", turn: send(func(*victim) []byte { return noise(endless) })},
	{name: "chunks of one byte", turn: send(func(v *victim) []byte {
		return head(v, "Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\na\r\n", tinyChunks))
	})},
	{name: "half of a chunk", turn: send(func(v *victim) []byte {
		return head(v, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", crowdBody, strings.Repeat("a", crowdBody/2)))
	})},
	{name: "half of a body", count: largeCrowd, turn: send(func(v *victim) []byte {
		return head(v, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", crowdBody, strings.Repeat("a", crowdBody/2)))
	})},
	{name: "chunk extension without end", turn: send(func(v *victim) []byte {
		return head(v, "Transfer-Encoding: chunked\r\n\r\n1;a="+strings.Repeat("a", endless))
	})},
	{name: "trailer without end", turn: send(func(v *victim) []byte {
		return head(v, "Transfer-Encoding: chunked\r\n\r\n0\r\n"+strings.Repeat("a: b\r\n", endless/6))
	})},
	{name: "pipelined and not read", count: largeCrowd, turn: send(func(v *victim) []byte {
		return bytes.Repeat(head(v, "Content-Length: 0\r\n\r\n"), pipelined)
	})},
	{name: "long message in a handshake", link: true, turn: send(func(v *victim) []byte {
		request := "GET /link HTTP/1.1\r\nHost: link\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
		const last, masked = 0x82, 0x80 | 127 // a binary message with a length of eight bytes
		message := binary64(last, masked, 2*endless)
		return append([]byte(request), append(message, make([]byte, endless)...)...)
	})},
	{name: "only opened", count: openCrowd, scarce: true, turn: send(func(*victim) []byte { return nil })},
	{name: "begun and left", count: openCrowd, scarce: true, turn: send(func(v *victim) []byte { return []byte(v.request[:8]) })},
	{name: "short connections", scarce: true, ends: true, turn: func(_ context.Context, v *victim, conn net.Conn, number int) {
		reset(v, conn, rand.New(rand.NewPCG(7, uint64(number))))
	}},
}

func (a attack) size() int {
	if a.count > 0 {
		return a.count
	}
	return crowdSize
}

func (a attack) descriptors() int {
	if a.scarce {
		return fewDescriptors
	}
	return crowdDescriptors
}

// once has a client misbehave once. It calls turned when the client has sent all.
func (a attack) once(ctx context.Context, v *victim, number int, turned func()) {
	if a.unconnected {
		a.turn(ctx, v, nil, number)
		return
	}
	conn, err := v.dial(ctx)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	a.turn(ctx, v, conn, number)
	turned()
	if !a.ends {
		awaitEnd(conn)
	}
}

// awaitEnd waits until the victim has closed the connection, without reading more than a byte at
// a time.
func awaitEnd(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(answerLimit))
	buffer := make([]byte, 1)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// send returns a turn that writes the bytes.
func send(data func(*victim) []byte) func(context.Context, *victim, net.Conn, int) {
	return func(_ context.Context, v *victim, conn net.Conn, _ int) {
		_, _ = conn.Write(data(v))
	}
}

// head returns the head of a sound request with further lines.
func head(v *victim, rest string) []byte { return []byte(v.request + rest) }

// shortFields returns fields with different names of few bytes.
func shortFields() string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var text strings.Builder
	for i := 0; text.Len() < headSize; i++ {
		for rest := i; ; rest /= len(digits) {
			text.WriteByte(digits[rest%len(digits)])
			if rest < len(digits) {
				break
			}
		}
		text.WriteString(":\r\n")
	}
	return text.String()
}

// binary64 returns the head of a WebSocket message of the size with an empty mask.
func binary64(first, second byte, size uint64) []byte {
	return append(binary.BigEndian.AppendUint64([]byte{first, second}, size), 0, 0, 0, 0)
}

// noise returns bytes that are no request.
func noise(size int) []byte {
	data := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(data)
	return data
}

// reset sends a part of a request and resets the connection, which ends the turn.
func reset(v *victim, conn net.Conn, random *rand.Rand) {
	data := head(v, "Content-Length: 10\r\n\r\n0123456789")
	_, _ = conn.Write(data[:random.IntN(len(data)+1)])
	if socket, ok := conn.(*net.TCPConn); ok && random.IntN(2) == 0 {
		_ = socket.SetLinger(0)
	}
}

// sendDatagrams sends noise and frames of all kinds to the address.
func sendDatagrams(ctx context.Context, address string, number int) {
	conn, err := net.Dial("udp4", address)
	if err != nil {
		return
	}
	defer conn.Close()
	random := rand.New(rand.NewPCG(9, uint64(number)))
	for range datagrams {
		if ctx.Err() != nil {
			return
		}
		data := noise(random.IntN(1200))
		if random.IntN(4) > 0 {
			kind, message := strangeMessage(random)
			frame, err := bhwire.Encode(kind, random.Uint64N(100), message)
			if err != nil {
				continue
			}
			if data, err = bhwire.AppendFrame(nil, frame); err != nil {
				continue
			}
		}
		_, _ = conn.Write(data)
	}
}

// strangeMessage returns a message between processes about what doesn't exist.
func strangeMessage(random *rand.Rand) (bhwire.Kind, any) {
	id := fmt.Sprint(random.Uint64())
	digest := make([]byte, 16+random.IntN(16))
	for i := range digest {
		digest[i] = byte(random.Uint32())
	}
	named := bhwire.Named{Upstream: id, Named: true, Limit: 3, Born: 7}
	messages := []struct {
		kind    bhwire.Kind
		message any
	}{
		{bhwire.KindDraw, bhwire.Draw{Account: id, Count: 1}},
		{bhwire.KindLosses, bhwire.Losses{Losses: []bhwire.Loss{{Digest: digest, Upstream: id}, {Digest: digest, Upstream: id + "x"}}}},
		{bhwire.KindTry, bhwire.Try{Digest: digest, Trial: random.Uint64()}},
		{bhwire.KindBegan, bhwire.Began{Service: "llm", Stream: digest, Version: id}},
		{bhwire.KindFind, bhwire.Find{Stream: digest}},
		{bhwire.KindPass, bhwire.Pass{Limit: named, Cold: bhwire.Cold{Upstream: id, Born: 7, Tolerates: 1, Left: time.Hour}}},
		{bhwire.KindNamed, named},
		{bhwire.KindCold, bhwire.Cold{Upstream: id, Born: 7, Tolerates: 1, Left: time.Hour}},
		{bhwire.KindAsk, nil}, {bhwire.KindFault, nil},
	}
	drawn := messages[random.IntN(len(messages))]
	return drawn.kind, drawn.message
}

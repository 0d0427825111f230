package bhsync

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// joinWait bounds how long a frame waits for its session to be joined.
const joinWait = time.Second

// Attach makes the node exchange with all peers of the mesh. It is called
// before the mesh's first session.
func (n *Node) Attach(mesh *bhmesh.Mesh) {
	for _, kind := range []bhwire.Kind{
		bhwire.KindConfig, bhwire.KindNeed, bhwire.KindRevoke, bhwire.KindProbe, bhwire.KindHave,
	} {
		mesh.Handle(kind, n.take)
	}
	mesh.Attend(n.attend)
}

func (n *Node) attend(ctx context.Context, session *bhlink.Session) error {
	link := n.Join(session, session.Peer)
	<-ctx.Done()
	return link.Close()
}

// take passes a frame to the link of its session, which may be joined a moment
// after the session's first frame.
func (n *Node) take(peer bhwire.Hello, frame bhwire.Frame) error {
	limit := time.Now().Add(joinWait)
	for {
		n.mu.Lock()
		link, joined := n.find(peer), n.joined
		n.mu.Unlock()
		if link != nil {
			_, err := link.Handle(frame)
			return err
		}
		select {
		case <-joined:
		case <-time.After(time.Until(limit)):
			return nil
		}
	}
}

// find returns the link of the session that peer opened. The caller holds mu.
func (n *Node) find(peer bhwire.Hello) *Link {
	for link := range n.links {
		if link.hello.Host == peer.Host && string(link.hello.Nonce) == string(peer.Nonce) {
			return link
		}
	}
	return nil
}

package bhsync

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// joinTimeout is the maximum time that a frame waits for the link of its
// session.
const joinTimeout = time.Second

// AttachMesh makes the node exchange configurations and revocations with all
// peers of the mesh. It must be called before the mesh's first session.
func (n *Node) AttachMesh(mesh *bhmesh.Mesh) {
	for _, kind := range []bhwire.Kind{
		bhwire.KindConfig, bhwire.KindNeed, bhwire.KindRevoke, bhwire.KindProbe, bhwire.KindHave,
	} {
		mesh.Handle(kind, n.handleFrame)
	}
	mesh.Attend(n.serveSession)
}

// serveSession keeps a link to the session's peer until ctx is done.
func (n *Node) serveSession(ctx context.Context, session *bhlink.Session) error {
	link := n.AddPeer(session, session.Peer)
	<-ctx.Done()
	return link.Close()
}

// handleFrame passes a frame to the link of its session. The first frame may
// arrive before the link exists, so it waits up to joinTimeout for the link and
// then drops the frame.
func (n *Node) handleFrame(peer bhwire.Hello, frame bhwire.Frame) error {
	deadline := time.Now().Add(joinTimeout)
	for {
		n.mu.Lock()
		link, joined := n.findLink(peer), n.joined
		n.mu.Unlock()
		if link != nil {
			_, err := link.Handle(frame)
			return err
		}
		select {
		case <-joined:
		case <-time.After(time.Until(deadline)):
			return nil
		}
	}
}

// findLink returns the link of the session with the peer's host and nonce, or
// nil. The caller holds mu.
func (n *Node) findLink(peer bhwire.Hello) *Link {
	for link := range n.links {
		if link.hello.Host == peer.Host && string(link.hello.Nonce) == string(peer.Nonce) {
			return link
		}
	}
	return nil
}

package bhentry

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const cancelTimeout = time.Second

// window is the number of bytes of an answer that may be on their way to this
// entry or wait in it.
const window = 256 << 10

// creditStep is the number of bytes taken that are acknowledged together.
const creditStep = window / 4

// liveLink carries requests to one sidecar and leads the answers back to the
// calls that asked.
type liveLink struct {
	session *bhlink.Session
	logger  bhlog.Logger

	mu    sync.Mutex
	next  uint64
	calls map[uint64]*call
	ended bool
}

func newLiveLink(session *bhlink.Session, logger bhlog.Logger) *liveLink {
	return &liveLink{
		session: session,
		logger:  logger,
		calls:   make(map[uint64]*call),
	}
}

// run delivers frames until the session ends. Calls still open then end with
// an unknown outcome.
func (l *liveLink) run(ctx context.Context) error {
	defer l.end()
	for {
		frame, err := l.session.Receive(ctx)
		if err != nil {
			return err
		}
		l.deliver(frame)
	}
}

func (l *liveLink) deliver(frame bhwire.Frame) {
	l.mu.Lock()
	call := l.calls[frame.Stream]
	l.mu.Unlock()
	if call != nil {
		call.put(frame)
	}
}

func (l *liveLink) end() {
	_ = l.session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, call := range l.calls {
		call.lose()
	}
}

// total returns the open calls.
func (l *liveLink) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// submit sends the request. On an error it was certainly not sent.
func (l *liveLink) submit(ctx context.Context, submit bhwire.Submit) (*call, error) {
	call, err := l.open()
	if err != nil {
		return nil, err
	}
	if err := l.session.SendMessage(ctx, bhwire.KindSubmit, call.id, submit); err != nil {
		l.forget(call)
		return nil, err
	}
	return call, nil
}

func (l *liveLink) open() (*call, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, bhcode.New(bhcode.LinkLost, "session to %s ended", l.session.Peer.Host)
	}
	l.next++
	call := newCall(l, l.next)
	l.calls[call.id] = call
	return call, nil
}

func (l *liveLink) forget(call *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, call.id)
}

// call is one request on its way through a sidecar.
type call struct {
	link *liveLink
	id   uint64

	mu     sync.Mutex
	inbox  []bhwire.Frame
	lost   bool
	ended  bool
	taken  int
	arrive chan struct{}
}

func newCall(link *liveLink, id uint64) *call {
	return &call{link: link, id: id, arrive: make(chan struct{}, 1)}
}

func (c *call) put(frame bhwire.Frame) {
	c.mu.Lock()
	c.inbox = append(c.inbox, frame)
	c.mu.Unlock()
	c.wake()
}

func (c *call) lose() {
	c.mu.Lock()
	c.lost = true
	c.mu.Unlock()
	c.wake()
}

func (c *call) wake() {
	select {
	case c.arrive <- struct{}{}:
	default:
	}
}

// receive returns the next frame of the answer and gives the sidecar credit
// for data. If the link was lost the outcome is unknown.
func (c *call) receive(ctx context.Context) (bhwire.Frame, error) {
	for {
		frame, ok, lost := c.take()
		if ok {
			c.acknowledge(ctx, frame)
			return frame, nil
		}
		if lost {
			return bhwire.Frame{}, bhcode.New(bhcode.UpstreamLost, "contact with the upstream's host was lost").WithRan(bhcode.RanUnknown)
		}
		select {
		case <-c.arrive:
		case <-ctx.Done():
			return bhwire.Frame{}, bhcode.Wrap(ctx.Err(), bhcode.RunTimeout, "waiting for the answer").WithRan(bhcode.RanUnknown)
		}
	}
}

// pending reports whether frames wait to be received.
func (c *call) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inbox) > 0
}

func (c *call) take() (frame bhwire.Frame, ok, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inbox) == 0 {
		return bhwire.Frame{}, false, c.lost
	}
	frame = c.inbox[0]
	c.inbox[0] = bhwire.Frame{}
	c.inbox = c.inbox[1:]
	if frame.Kind == bhwire.KindEnd {
		c.ended = true
	}
	return frame, true, false
}

// acknowledge gives the sidecar credit for data taken, a part of the window at
// a time. Only the receiving goroutine calls it.
func (c *call) acknowledge(ctx context.Context, frame bhwire.Frame) {
	if frame.Kind != bhwire.KindData {
		return
	}
	c.taken += len(frame.Body)
	if c.taken < creditStep {
		return
	}
	credit := bhwire.Credit{Bytes: c.taken}
	c.taken = 0
	// A lost link shows when the inbox is empty; what arrived is still good.
	_ = c.link.session.SendMessage(ctx, bhwire.KindCredit, c.id, credit)
}

// close ends the call and cancels it at the sidecar if it hasn't ended.
func (c *call) close() {
	c.link.forget(c)
	c.mu.Lock()
	open := !c.ended && !c.lost
	c.mu.Unlock()
	if !open {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	frame := bhwire.Frame{Kind: bhwire.KindCancel, Stream: c.id}
	if err := c.link.session.Send(ctx, frame); err != nil {
		bhlog.Trace(c.link.logger, "cancel.unsent", "stream", c.id, "err", err)
	}
}

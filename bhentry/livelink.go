package bhentry

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// cancelTimeout is how long sending a cancel frame may take.
const cancelTimeout = time.Second

const (
	// maxReceiveWindow and minReceiveWindow bound the number of response bytes per call that may
	// be in transit to this entry or buffered in it.
	maxReceiveWindow = 256 << 10
	minReceiveWindow = 16 << 10
	// creditSteps is the part of the window, as its inverse, that is acknowledged together.
	creditSteps = 4
)

// receiveWindow returns the window of a call: the memory for answers, if all connections of
// callers wait for one.
func receiveWindow(limits bhguard.Limits) int {
	if limits.Callers <= 0 || limits.Bodies <= 0 {
		return maxReceiveWindow
	}
	return int(min(maxReceiveWindow, max(minReceiveWindow, limits.Bodies/answerShare/int64(limits.Callers))))
}

// liveLink multiplexes requests to one sidecar over a live session and delivers
// response frames to their calls.
type liveLink struct {
	session *bhlink.Session
	logger  bhlog.Logger

	mu         sync.Mutex
	lastCallID uint64
	calls      map[uint64]*call
	closed     bool
}

func newLiveLink(session *bhlink.Session, logger bhlog.Logger) *liveLink {
	return &liveLink{
		session: session,
		logger:  logger,
		calls:   make(map[uint64]*call),
	}
}

// receiveLoop delivers frames until the session ends. The outcome of calls that
// are still open then is unknown.
func (l *liveLink) receiveLoop(ctx context.Context) error {
	defer l.shutdown()
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
		call.enqueue(frame)
	}
}

// shutdown closes the session and marks the open calls as lost.
func (l *liveLink) shutdown() {
	_ = l.session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, call := range l.calls {
		call.markLost()
	}
}

// openCalls returns the number of open calls.
func (l *liveLink) openCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// submit sends the request. If it returns an error, the request was not sent.
func (l *liveLink) submit(ctx context.Context, submit bhwire.Submit) (*call, error) {
	call, err := l.openCall()
	if err != nil {
		return nil, err
	}
	call.window = submit.Window
	if err := l.session.SendMessage(ctx, bhwire.KindSubmit, call.id, submit); err != nil {
		l.removeCall(call)
		return nil, err
	}
	return call, nil
}

func (l *liveLink) openCall() (*call, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, bhcode.New(bhcode.LinkLost, "session to %s ended", l.session.Peer.Host)
	}
	l.lastCallID++
	call := newCall(l, l.lastCallID)
	l.calls[call.id] = call
	return call, nil
}

func (l *liveLink) removeCall(call *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, call.id)
}

// call is one request in progress at a sidecar.
type call struct {
	link *liveLink
	id   uint64
	// window is in bytes.
	window int

	mu              sync.Mutex
	inbox           []bhwire.Frame
	lost            bool
	endReceived     bool
	uncreditedBytes int
	wakeup          chan struct{}
}

func newCall(link *liveLink, id uint64) *call {
	return &call{link: link, id: id, wakeup: make(chan struct{}, 1)}
}

func (c *call) enqueue(frame bhwire.Frame) {
	c.mu.Lock()
	c.inbox = append(c.inbox, frame)
	c.mu.Unlock()
	c.signal()
}

// markLost records that the link was lost. Frames that already arrived can
// still be received.
func (c *call) markLost() {
	c.mu.Lock()
	c.lost = true
	c.mu.Unlock()
	c.signal()
}

func (c *call) signal() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// receive returns the next frame of the response and grants credit for data
// frames. The error is UpstreamLost if the link was lost and RunTimeout if ctx
// is done; the outcome of the request is then unknown.
func (c *call) receive(ctx context.Context) (bhwire.Frame, error) {
	for {
		frame, ok, lost := c.dequeue()
		if ok {
			c.grantCredit(ctx, frame)
			return frame, nil
		}
		if lost {
			return bhwire.Frame{}, bhcode.New(bhcode.UpstreamLost, "contact with the upstream's host was lost").WithRan(bhcode.RanUnknown)
		}
		select {
		case <-c.wakeup:
		case <-ctx.Done():
			return bhwire.Frame{}, bhcode.Wrap(ctx.Err(), bhcode.RunTimeout, "waiting for the answer").WithRan(bhcode.RanUnknown)
		}
	}
}

// pending reports whether the inbox has frames.
func (c *call) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inbox) > 0
}

// dequeue removes the first frame of the inbox. If there is none, ok is false
// and lost reports whether the link was lost.
func (c *call) dequeue() (frame bhwire.Frame, ok, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inbox) == 0 {
		return bhwire.Frame{}, false, c.lost
	}
	frame = c.inbox[0]
	c.inbox[0] = bhwire.Frame{}
	c.inbox = c.inbox[1:]
	if frame.Kind == bhwire.KindEnd {
		c.endReceived = true
	}
	return frame, true, false
}

// grantCredit acknowledges the bytes of a data frame to the sidecar once
// a part of the window has accumulated. Only the receiving goroutine calls it.
func (c *call) grantCredit(ctx context.Context, frame bhwire.Frame) {
	if frame.Kind != bhwire.KindData {
		return
	}
	c.uncreditedBytes += len(frame.Body)
	if c.uncreditedBytes < c.window/creditSteps {
		return
	}
	credit := bhwire.Credit{Bytes: c.uncreditedBytes}
	c.uncreditedBytes = 0
	// The error is ignored: receive reports a lost link once the inbox is empty,
	// and frames that already arrived are still valid.
	_ = c.link.session.SendMessage(ctx, bhwire.KindCredit, c.id, credit)
}

// close removes the call and cancels it at the sidecar if it hasn't ended.
func (c *call) close() {
	c.link.removeCall(c)
	c.mu.Lock()
	open := !c.endReceived && !c.lost
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

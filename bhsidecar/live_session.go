package bhsidecar

import (
	"context"
	"sync"

	"github.com/baobabhaven/baobabhaven/bhcache"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxCacheChanges bounds the cache changes that one end frame carries.
const maxCacheChanges = 64

// liveSession runs the requests that one entry submits.
type liveSession struct {
	sidecar *Sidecar
	link    *bhlink.Session

	mu      sync.Mutex
	streams map[uint64]*stream
	// cursors are the positions up to which the entry knows each cache log.
	cursors map[*bhcache.Log]bhcache.Cursor
	running sync.WaitGroup
}

func newLiveSession(sidecar *Sidecar, link *bhlink.Session) *liveSession {
	return &liveSession{
		sidecar: sidecar,
		link:    link,
		streams: make(map[uint64]*stream),
		cursors: make(map[*bhcache.Log]bhcache.Cursor),
	}
}

// serve handles frames until the session ends. It then cancels the session's
// streams, since the entry can no longer receive the answers, and waits for
// them.
func (l *liveSession) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.running.Wait()
	defer cancel()
	for {
		frame, err := l.link.Receive(ctx)
		if err != nil {
			return err
		}
		if err := l.handleFrame(ctx, frame); err != nil {
			return err
		}
	}
}

func (l *liveSession) handleFrame(ctx context.Context, frame bhwire.Frame) error {
	switch frame.Kind {
	case bhwire.KindSubmit:
		return l.startStream(ctx, frame)
	case bhwire.KindCredit:
		stream := l.findStream(frame.Stream)
		if stream == nil {
			return nil
		}
		credit, err := bhwire.Decode[bhwire.Credit](frame)
		if err != nil {
			stream.cancel()
			return nil
		}
		stream.credit.add(credit.Bytes)
	case bhwire.KindCancel:
		if stream := l.findStream(frame.Stream); stream != nil {
			stream.cancel()
		}
	}
	return nil
}

// startStream runs the submitted request in a goroutine of its own. A request that can't be
// decoded ends at once, and the others of the session go on. The error is FrameInvalid if the
// stream ID is in use.
func (l *liveSession) startStream(ctx context.Context, frame bhwire.Frame) error {
	submit, err := bhwire.Decode[bhwire.Submit](frame)
	if err != nil {
		bhlog.Problem(l.sidecar.logger, "request.undecodable", err, "entry", l.link.Peer.Host, "stream", frame.Stream)
		return l.link.SendMessage(ctx, bhwire.KindEnd, frame.Stream, endFromError(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, exists := l.streams[frame.Stream]; exists {
		return bhcode.New(bhcode.FrameInvalid, "stream %d submitted twice", frame.Stream)
	}
	stream := newStream(l, frame.Stream, submit)
	ctx, stream.cancel = context.WithTimeout(ctx, submit.Timeout)
	l.streams[frame.Stream] = stream
	l.sidecar.streams.Add()
	l.running.Go(func() {
		defer l.sidecar.streams.Done()
		defer l.removeStream(frame.Stream)
		defer stream.cancel()
		stream.run(ctx)
	})
	return nil
}

func (l *liveSession) findStream(id uint64) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

func (l *liveSession) removeStream(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, id)
}

// cacheChanges returns the changes in the log since the session's previous call
// for it, at most maxCacheChanges of them.
func (l *liveSession) cacheChanges(log *bhcache.Log) bhcache.Changes {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, cursor := log.After(l.cursors[log], maxCacheChanges)
	l.cursors[log] = cursor
	return changes
}

package bhslot

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// askTimeout bounds the wait for keepers: some round trips between data centres
// of a region, and little of a latency objective of 300 ms.
const askTimeout = 6 * time.Millisecond

// ScoutConfig configures a Scout.
type ScoutConfig struct {
	// Address is where the scout receives answers.
	Address string
	Logger  bhlog.Logger
	Scope   tally.Scope
}

// Scout asks keepers for a gateway.
type Scout struct {
	config   ScoutConfig
	asked    tally.Counter
	silent   tally.Counter
	mu       sync.Mutex
	conn     *net.UDPConn
	serial   uint64
	question map[uint64]*question
}

// question is one round of asking that waits for answers.
type question struct {
	rooms  map[netip.AddrPort]bhwire.Room
	wanted int
	done   chan struct{}
}

// NewScout returns a scout that asks nobody before Run.
func NewScout(config ScoutConfig) *Scout {
	return &Scout{
		config:   config,
		asked:    config.Scope.Counter("slot_asks"),
		silent:   config.Scope.Counter("slot_asks_unanswered"),
		question: make(map[uint64]*question),
	}
}

// Run receives answers until ctx is done.
func (s *Scout) Run(ctx context.Context) error {
	conn, err := listen(ctx, s.config.Address)
	if err != nil {
		return err
	}
	s.use(conn)
	defer s.use(nil)
	return receive(ctx, conn, s.answer)
}

func (s *Scout) use(conn *net.UDPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// Ask returns what the keepers at the addresses answer in time, by address. It
// waits until all have answered, or for a few milliseconds.
func (s *Scout) Ask(ctx context.Context, keepers []netip.AddrPort) map[netip.AddrPort]bhwire.Room {
	serial, asked := s.open(len(keepers))
	if asked == nil {
		return nil
	}
	for _, keeper := range keepers {
		s.send(bhwire.KindAsk, serial, keeper)
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-asked.done:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.question, serial)
	s.asked.Inc(int64(len(keepers)))
	s.silent.Inc(int64(asked.wanted - len(asked.rooms)))
	return asked.rooms
}

// open begins a question; nil if nobody can be asked.
func (s *Scout) open(wanted int) (uint64, *question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || wanted == 0 {
		return 0, nil
	}
	s.serial++
	asked := &question{rooms: make(map[netip.AddrPort]bhwire.Room, wanted), wanted: wanted, done: make(chan struct{})}
	s.question[s.serial] = asked
	return s.serial, asked
}

// Reserve announces a request to a keeper.
func (s *Scout) Reserve(keeper netip.AddrPort) { s.send(bhwire.KindReserve, 0, keeper) }

func (s *Scout) send(kind bhwire.Kind, serial uint64, keeper netip.AddrPort) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	if err := send(conn, kind, serial, nil, keeper); err != nil {
		bhlog.Trace(s.config.Logger, "scout.unsent", "to", keeper, "err", err)
	}
}

// answer takes in what a keeper says.
func (s *Scout) answer(frame bhwire.Frame, from netip.AddrPort) {
	if frame.Kind != bhwire.KindRoom {
		return
	}
	room, err := bhwire.Decode[bhwire.Room](frame)
	if err != nil {
		bhlog.Trace(s.config.Logger, "scout.invalid", "from", from, "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.question[frame.Stream]
	if asked == nil {
		return
	}
	if _, again := asked.rooms[from]; again {
		return
	}
	asked.rooms[from] = room
	if len(asked.rooms) == asked.wanted {
		close(asked.done)
	}
}

package bhguard

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// opener opens connections and records which ones were ended.
type opener struct {
	guard *Guard
	ended []string
}

func (o *opener) open(name string) *Conn {
	return o.guard.Open(func() { o.ended = append(o.ended, name) })
}

// Guards against newcomers that end requests in flight, or kept connections while others bring
// nothing.
func TestWhoEndsForANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{guard: NewPool(PoolConfig{}).NewGuard(GuardConfig{Connections: 4})}
		silent, slow, kept, working := o.open("silent"), o.open("slow"), o.open("kept"), o.open("working")
		kept.Work()
		kept.Rest()
		working.Work()
		time.Sleep(patience / 2)
		slow.Begin()
		time.Sleep(patience / 2)

		o.open("first").Work()
		assert.Equal(t, []string{"silent"}, o.ended, "it has brought nothing for the longest time")
		o.open("second").Work()
		assert.Equal(t, []string{"silent", "kept"}, o.ended, "slow's request has begun less than a second ago")
		assert.False(t, o.guard.Crowded(), "slow had time to bring its request")
		o.open("third").Work()
		assert.Equal(t, []string{"silent", "kept", "slow"}, o.ended)
		assert.Nil(t, o.open("fourth"), "all are working")
		silent.Close()
		silent.Work()
		assert.False(t, silent.Hold(1), "a connection that ended gets nothing")

		working.Close()
		working.Close()
		assert.NotNil(t, o.open("fifth"))
		usage := o.guard.pool.Usage()
		assert.Equal(t, Usage{Connections: 4, Ended: 3, Refused: 1}, usage)
	})
}

// Callers that don't read their answers make room before the requests of others do.
func TestStalledConnectionsEndBeforeWorkingOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{guard: NewPool(PoolConfig{}).NewGuard(GuardConfig{Connections: 2})}
		stuck, working := o.open("stuck"), o.open("working")
		working.Work()
		stuck.Work()
		assert.Nil(t, o.open("early"))
		stuck.Stall()
		o.open("next").Work()
		assert.Equal(t, []string{"stuck"}, o.ended)
		working.Stall()
		working.Work()
		assert.Nil(t, o.open("late"), "it reads on")
	})
}

// Guards against clients that end each other because all connect at once.
func TestNewConnectionsWaitForOnesThatWereJustAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{guard: NewPool(PoolConfig{}).NewGuard(GuardConfig{Connections: 2})}
		first := o.open("first")
		assert.False(t, o.guard.Crowded())
		second := o.open("second")
		assert.True(t, o.guard.Crowded())
		first.Work()
		second.Work()
		assert.False(t, o.guard.Crowded(), "there is nothing to wait for")
		first.Rest()
		assert.False(t, o.guard.Crowded(), "an idle one makes room")
		first.Begin()
		assert.True(t, o.guard.Crowded())
		time.Sleep(leastPatience)
		assert.False(t, o.guard.Crowded())
	})
}

func TestWorkingConnectionsEndWhereRequestsTakeNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{guard: NewPool(PoolConfig{}).NewGuard(GuardConfig{Connections: 1, EndWorking: true})}
		o.open("stuck").Work()
		assert.NotNil(t, o.open("next"))
		assert.Equal(t, []string{"stuck"}, o.ended)
	})
}

// Guards against heads that never end and take the memory of those that arrive.
func TestWhoEndsForAHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100 << 10
		o := &opener{guard: NewPool(PoolConfig{Heads: total}).NewGuard(GuardConfig{})}
		old, whole, late := o.open("old"), o.open("whole"), o.open("late")
		require.True(t, old.Hold(GuaranteedHead+40<<10))
		require.True(t, whole.Hold(GuaranteedHead+40<<10))
		whole.Work()
		time.Sleep(time.Second)
		late.Begin()
		assert.True(t, late.Hold(GuaranteedHead+30<<10))
		assert.Equal(t, []string{"old"}, o.ended)
		assert.False(t, late.Hold(40<<10), "nobody else has an unfinished head")
		assert.True(t, o.open("small").Hold(GuaranteedHead), "guaranteed, though there is no room")

		whole.Rest()
		assert.True(t, late.Hold(40<<10), "the memory of an answered request is free")
		late.Close()
		assert.Zero(t, o.guard.pool.Usage().Heads)
		assert.True(t, whole.Hold(GuaranteedHead+total), "one head may take all")
	})
}

// An older head doesn't take the memory of younger ones.
func TestOldestHeadIsDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{guard: NewPool(PoolConfig{Heads: 10 << 10}).NewGuard(GuardConfig{})}
		old := o.open("old")
		time.Sleep(time.Second)
		young := o.open("young")
		require.True(t, young.Hold(GuaranteedHead+8<<10))
		assert.False(t, old.Hold(GuaranteedHead+8<<10))
		assert.Empty(t, o.ended)
	})
}

// shuffled opens and uses connections at random.
type shuffled struct {
	pool    *Pool
	guards  []*Guard
	conns   []*Conn
	working map[*Conn]bool
	ended   map[*Conn]bool
}

func (s *shuffled) open(t *rapid.T) {
	var c *Conn
	c = rapid.SampledFrom(s.guards).Draw(t, "guard").Open(func() {
		if s.ended[c] {
			t.Fatal("ended twice")
		}
		if s.working[c] && !c.guard.config.EndWorking {
			t.Fatal("a request in flight was ended")
		}
		s.ended[c] = true
	})
	if c != nil {
		s.conns = append(s.conns, c)
	}
}

func (s *shuffled) use(t *rapid.T) {
	if len(s.conns) == 0 {
		t.Skip("no connection")
	}
	c := rapid.SampledFrom(s.conns).Draw(t, "conn")
	s.working[c] = false
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		c.Begin()
	case 1:
		c.Work()
		s.working[c] = true
	case 2:
		c.Rest()
	case 3:
		c.Stall()
	default:
		c.Close()
	}
}

func (s *shuffled) hold(t *rapid.T) {
	if len(s.conns) == 0 {
		t.Skip("no connection")
	}
	rapid.SampledFrom(s.conns).Draw(t, "conn").Hold(rapid.Int64Range(0, 2*mostHeads).Draw(t, "bytes"))
}

func (s *shuffled) check(t *rapid.T) {
	for _, guard := range s.guards {
		if guard.open > mostConnections {
			t.Fatalf("%d connections", guard.open)
		}
	}
	if usage := s.pool.Usage(); usage.Heads > mostHeads || usage.Heads < 0 {
		t.Fatalf("%d bytes for heads", usage.Heads)
	}
}

const (
	mostConnections = 5
	mostHeads       = 64 << 10
)

// Whatever happens in whatever order, the bounds hold and nothing stays held.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := NewPool(PoolConfig{Heads: mostHeads})
		s := &shuffled{pool: pool, working: make(map[*Conn]bool), ended: make(map[*Conn]bool), guards: []*Guard{
			pool.NewGuard(GuardConfig{Connections: mostConnections}),
			pool.NewGuard(GuardConfig{Connections: mostConnections, EndWorking: true}),
		}}
		t.Repeat(map[string]func(*rapid.T){"open": s.open, "use": s.use, "hold": s.hold, "": s.check})
		for _, c := range s.conns {
			c.Close()
		}
		usage := pool.Usage()
		if usage.Connections != 0 || usage.Heads != 0 || pool.large.Len() != 0 {
			t.Fatalf("left: %+v", usage)
		}
	})
}

package bhquota

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

const (
	quotaTable = "quota"
	// shards spread the accounts over records and partitions. The number must
	// not change while gateways run, since each record knows its own accounts only.
	shards = 8
	// reserve is the share of the tolerated excess that is left unused.
	reserve = 0.2

	// takeTimeout bounds the wait for tokens. A refusal within a quarter of a
	// latency objective of 300 ms lets the client come back in time.
	takeTimeout = 70 * time.Millisecond
	// minRetry and maxRetry bound when a refused request may come back.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Tolerance is by how much a window may exceed rate and burst.
type Tolerance struct {
	Window time.Duration
	// Over is a share of rate x Window + burst, Slack a number of requests.
	Over  float64
	Slack float64
}

// Config configures a Limiter.
type Config struct {
	Store bhplatform.Store
	// Holder names this process and start.
	Holder string
	// Index returns the policy in force, or nil.
	Index     func() *bhpolicy.Index
	Tolerance func() Tolerance
	Clock     bhclock.Clock
	Logger    bhlog.Logger
	Scope     tally.Scope
}

// Limiter spends the accounts' tokens for one gateway.
type Limiter struct {
	config  Config
	refused tally.Counter
	taken   tally.Counter
	syncs   []*syncer
}

// New returns a limiter that holds no tokens.
func New(config Config) *Limiter {
	limiter := &Limiter{
		config:  config,
		refused: config.Scope.Counter("quota_refused"),
		taken:   config.Scope.Counter("quota_taken"),
	}
	for i := range shards {
		limiter.syncs = append(limiter.syncs, newSyncer(config, i))
	}
	return limiter
}

// Run keeps tokens at hand until ctx is done, then gives them back.
func (l *Limiter) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, s := range l.syncs {
		running.Go(func() { s.run(ctx) })
	}
	running.Wait()
	return nil
}

// Take spends one token of the account. Without one at hand it waits a little
// for more; then it returns when to come back.
func (l *Limiter) Take(ctx context.Context, account *bhpolicy.Account) (time.Duration, bool) {
	s := l.syncs[l.shard(account.Name)]
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if s.take(ctx, account.Name) {
		l.taken.Inc(1)
		return 0, true
	}
	l.refused.Inc(1)
	wait := time.Duration(float64(time.Second) / max(account.Rate, 0.001))
	return min(maxRetry, max(minRetry, wait)), false
}

func (l *Limiter) shard(account string) uint64 { return xxhash.Sum64String(account) % shards }

// limitOf returns what the account may use, with a part of the tolerance.
func limitOf(account *bhpolicy.Account, tolerance Tolerance) limit {
	over := 1 + (1-reserve)*tolerance.Over
	return limit{rate: account.Rate * over, capacity: account.Burst*over + (1-reserve)*tolerance.Slack}
}

func shardKey(number int) bhplatform.Key {
	return bhplatform.Key{Table: quotaTable, Partition: "q" + strconv.Itoa(number), Name: "buckets"}
}

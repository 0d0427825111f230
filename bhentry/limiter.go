package bhentry

import (
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

// Limiter keeps client accounts within their rate and burst.
type Limiter interface {
	// Take spends cost tokens of the account, or says how long to wait.
	Take(account string, cost float64) (ok bool, wait time.Duration)
}

// localLimiter limits each account on this host alone.
type localLimiter struct {
	store *bhsync.Store

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

func newLocalLimiter(store *bhsync.Store) *localLimiter {
	return &localLimiter{store: store, buckets: make(map[string]*rate.Limiter)}
}

// Take implements Limiter.
func (l *localLimiter) Take(account string, _ float64) (bool, time.Duration) {
	bucket := l.bucket(account)
	now := time.Now()
	reservation := bucket.ReserveN(now, 1)
	if !reservation.OK() {
		return false, time.Second
	}
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return false, wait
	}
	return true, 0
}

func (l *localLimiter) bucket(account string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.buckets[account]
	if bucket == nil {
		declared, _ := l.store.Current().Account(account)
		bucket = rate.NewLimiter(rate.Limit(declared.Rate), int(declared.Burst))
		l.buckets[account] = bucket
	}
	return bucket
}

// spend takes a token for one request of the account.
func (e *Entry) spend(account string) error {
	ok, wait := e.limiter.Take(account, 1)
	if ok {
		return nil
	}
	return bhcode.New(bhcode.RateExceeded, "the client account %s is over its rate and burst", account).WithRetryAfter(wait)
}

// spending wraps a handler whose requests count against the account's rate.
func (e *Entry) spending(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := e.spend(callerOf(c).identity.Account); err != nil {
			return err
		}
		return next(c)
	}
}

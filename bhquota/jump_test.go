package bhquota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// count is a number of requests and how many of them got a token.
type count struct{ sent, granted int }

// sendPerSecond is sendRequests with the counts of each second.
func (f *fleet) sendPerSecond(random *rand.Rand, account string, rate float64, seconds int) []count {
	counts := make([]count, seconds)
	var group sync.WaitGroup
	var mu sync.Mutex
	started := time.Now()
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		second := int(time.Since(started) / time.Second)
		if second >= seconds {
			break
		}
		g := f.gateways[random.IntN(len(f.gateways))]
		counts[second].sent++
		group.Go(func() {
			if g.takeToken(context.Background(), account) {
				mu.Lock()
				defer mu.Unlock()
				counts[second].granted++
			}
		})
	}
	group.Wait()
	return counts
}

// An account sends 0.55 of its rate to 31 gateways and then 8 times as much for 4 s. Its
// burst is there at once, wherever the requests come: each second passes nearly what one
// bucket of the account's rate and burst would let pass.
func TestBurstIsSpentAtOnceWhenTheDemandJumps(t *testing.T) {
	for _, gateways := range []int{21, 31} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				account := bhpolicy.Account{Name: "hot", Rate: 220, Burst: 220}
				f := newFleet(t, bhstand.NewStore(bhstand.StoreConfig{Latency: 4 * time.Millisecond}), account)
				for range gateways {
					f.addGateway()
				}
				random := rand.New(rand.NewPCG(31, 31))
				time.Sleep(5 * time.Second)
				usual := 0.55 * account.Rate
				sent, granted := f.sendRequests(random, "hot", usual, 10*time.Second)
				assert.Equal(t, sent, granted, "within the rate")
				exact := account.Burst
				sentInAll, passed, owed := 0, 0, 0.0
				for second, c := range f.sendPerSecond(random, "hot", 8*usual, 4) {
					allowed := min(float64(c.sent), exact+account.Rate)
					exact = min(account.Burst, exact+account.Rate-allowed)
					t.Logf("second %d: %d sent, %d granted, %.0f owed", second, c.sent, c.granted, allowed)
					assert.GreaterOrEqual(t, float64(c.granted), 0.95*allowed, "second %d", second)
					sentInAll, passed, owed = sentInAll+c.sent, passed+c.granted, owed+allowed
				}
				assert.GreaterOrEqual(t, float64(passed), 0.95*owed, "%d sent in the four seconds", sentInAll)
				// A second that has room for all: the burst has come back after it was left.
				f.sendRequests(random, "hot", usual, 5*time.Second)
				for second, c := range f.sendPerSecond(random, "hot", 1.3*account.Rate, 1) {
					assert.Equal(t, c.sent, c.granted, "second %d after the jump", second)
				}
				maxTaken, bound := f.maxTakenInWindow(&account)
				assert.LessOrEqual(t, float64(maxTaken), bound)
				f.close()
			})
		})
	}
}

// manyAccounts returns accounts as a customer has them: a few large ones and many small.
func manyAccounts(count int) []bhpolicy.Account {
	accounts := make([]bhpolicy.Account, count)
	for i := range accounts {
		rate := max(2, 220/float64(1+i))
		accounts[i] = bhpolicy.Account{Name: fmt.Sprint("zoo", i), Rate: rate, Burst: rate}
	}
	return accounts
}

// waves sends requests of many accounts to a fleet.
type waves struct {
	fleet    *fleet
	accounts []bhpolicy.Account
	buckets  []*exactBucket
}

func newWaves(f *fleet, accounts []bhpolicy.Account) *waves {
	w := &waves{fleet: f, accounts: accounts}
	for _, account := range accounts {
		w.buckets = append(w.buckets, newExactBucket(account))
	}
	return w
}

// send sends requests in turns of 4 s of the low and 3 s of the high phase, the high one
// first for every other account. Some gateways get many more requests than others. It
// returns how many were sent within the rate, and how many of those were refused.
func (w *waves) send(seed uint64, duration time.Duration) (sent, refused int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, account := range w.accounts {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			end := time.Now().Add(duration)
			for high := i%2 == 0; time.Now().Before(end); high = !high {
				phase, length := lowPhase, 4*time.Second
				if high {
					phase, length = highPhase, 3*time.Second
				}
				s, g := w.fleet.sendUnevenly(random, w.buckets[i], phase*account.Rate/rateFactor, min(length, time.Until(end)))
				mu.Lock()
				sent, refused = sent+s, refused+s-g
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return sent, refused
}

// exactBucket is one token bucket of an account's rate and burst, which is full at first.
type exactBucket struct {
	account bhpolicy.Account
	tokens  float64
	at      time.Time
}

func newExactBucket(account bhpolicy.Account) *exactBucket {
	return &exactBucket{account: account, tokens: account.Burst, at: time.Now()}
}

// take reports whether a request that is sent now is within the rate.
func (b *exactBucket) take() bool {
	b.tokens = min(b.account.Burst, b.tokens+b.account.Rate*time.Since(b.at).Seconds())
	b.at = time.Now()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sendUnevenly sends requests, most of them to the first gateways. It returns how many
// were within the rate, and how many of those got a token.
func (f *fleet) sendUnevenly(random *rand.Rand, exact *exactBucket, rate float64, duration time.Duration) (sent, granted int) {
	account := exact.account.Name
	var group sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !time.Now().Before(end) {
			break
		}
		g := f.gateways[min(random.IntN(len(f.gateways)), random.IntN(len(f.gateways)))]
		within := exact.take()
		if within {
			sent++
		}
		group.Go(func() {
			if g.takeToken(context.Background(), account) && within {
				mu.Lock()
				defer mu.Unlock()
				granted++
			}
		})
	}
	group.Wait()
	return sent, granted
}

// checkBounds checks the bound of all accounts.
func (f *fleet) checkBounds(accounts []bhpolicy.Account) {
	for i := range accounts {
		maxTaken, bound := f.maxTakenInWindow(&accounts[i])
		assert.LessOrEqual(f.t, float64(maxTaken), bound, "account %s", accounts[i].Name)
	}
}

func TestNoRequestWithinTheRateIsRefusedInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accounts := manyAccounts(76)
		f := newFleet(t, bhstand.NewStore(bhstand.StoreConfig{Latency: 4 * time.Millisecond}), accounts...)
		for range 31 {
			f.addGateway()
		}
		w := newWaves(f, accounts)
		time.Sleep(lead)
		sent, refused := w.send(32, 35*time.Second)
		assert.Zero(t, refused, "of %d", sent)
		f.checkBounds(accounts)
		f.close()
	})
}

// A third of the gateways can't reach the store for 9 s.
func TestAccountsWithinTheirRateWhileAThirdIsCutFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accounts := manyAccounts(76)
		f := newFleet(t, bhstand.NewStore(bhstand.StoreConfig{Latency: 4 * time.Millisecond}), accounts...)
		for range 31 {
			f.addGateway()
		}
		w := newWaves(f, accounts)
		time.Sleep(lead)
		w.send(33, 5*time.Second)
		for i, g := range f.gateways {
			g.mu.Lock()
			g.cutOff = i%3 == 0
			g.mu.Unlock()
		}
		sent, refused := w.send(34, 9*time.Second)
		assert.Zero(t, refused, "of %d", sent)
		f.checkBounds(accounts)
		f.close()
	})
}

// All gateways are killed at once and are back after a second.
func TestAccountsWithinTheirRateAfterAllGatewaysAreKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accounts := manyAccounts(76)
		f := newFleet(t, bhstand.NewStore(bhstand.StoreConfig{Latency: 4 * time.Millisecond}), accounts...)
		for range 31 {
			f.addGateway()
		}
		w := newWaves(f, accounts)
		time.Sleep(lead)
		w.send(35, 7*time.Second)
		killed := f.killAll()
		time.Sleep(time.Second)
		for _, g := range killed {
			f.startGateway(g.host)
		}
		sent, refused := w.send(36, 7*time.Second)
		assert.Zero(t, refused, "of %d", sent)
		f.checkBounds(accounts)
		f.close()
		f.gateways = killed
		f.close()
	})
}

// killAll kills all gateways and returns them.
func (f *fleet) killAll() []*gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	killed := f.gateways
	for _, g := range killed {
		g.mu.Lock()
		g.dead = true
		g.mu.Unlock()
	}
	f.gateways = nil
	return killed
}

// The first two gateways of the order are silent. The third one has half of the bucket and
// 0.15 of the rate for the others, which is more than is asked for.
func TestAccountGoesOnWhileTheFirstTwoGatewaysAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := bhpolicy.Account{Name: "zoo", Rate: 220, Burst: 220}
		f := newFleet(t, bhstand.NewStore(bhstand.StoreConfig{Latency: 4 * time.Millisecond}), account)
		for range 31 {
			f.addGateway()
		}
		all := f.gateways
		time.Sleep(lead)
		for _, g := range all[:2] {
			g.mu.Lock()
			g.frozenUntil = time.Now().Add(4 * time.Second)
			g.mu.Unlock()
		}
		f.gateways = all[2:]
		sent, granted := f.sendRequests(rand.New(rand.NewPCG(37, 37)), "zoo", 44, 4*time.Second)
		assert.Equal(t, sent, granted)
		f.gateways = all
		f.close()
	})
}

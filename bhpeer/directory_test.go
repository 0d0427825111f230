package bhpeer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7)
}

// fleet runs directories over one store.
type fleet struct {
	store       *bhstand.Store
	directories []*Directory
	cancels     []context.CancelFunc
	done        sync.WaitGroup
}

func newFleet(size int) *fleet {
	f := &fleet{store: bhstand.NewStore(bhstand.StoreConfig{})}
	for i := range size {
		d := NewDirectory(DirectoryConfig{
			Store: f.store, Host: fmt.Sprint("host", i), Address: addressOf(i), Clock: bhclock.NewRuntime(), Logger: bhlog.Nop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		f.directories, f.cancels = append(f.directories, d), append(f.cancels, cancel)
		f.done.Go(func() { _ = d.Run(ctx) })
	}
	return f
}

func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.done.Wait()
}

// order returns a directory's order for the key, with its own address put in.
func (f *fleet) order(number int, key string) []netip.AddrPort {
	order := f.directories[number].Order(key)
	for i := range order {
		if !order[i].IsValid() {
			order[i] = addressOf(number)
		}
	}
	return order
}

func TestGatewaysAgreeOnTheOrderOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.stop()
		time.Sleep(2 * lookInterval)
		first := make(map[netip.AddrPort]int)
		for i := range 60 {
			key := fmt.Sprint("account", i)
			want := f.order(0, key)
			assert.Len(t, want, 6)
			first[want[0]]++
			for number := range f.directories {
				assert.Equal(t, want, f.order(number, key))
			}
		}
		assert.Len(t, first, 6, "accounts are spread over all")
	})
}

func TestPeersThatStopArePassedOverAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		time.Sleep(2 * lookInterval)
		f.cancels[2]()
		time.Sleep(goneAfter - enterInterval - 2*lookInterval)
		assert.Len(t, f.order(0, "a"), 3)
		time.Sleep(enterInterval + 4*lookInterval)
		assert.ElementsMatch(t, []netip.AddrPort{addressOf(0), addressOf(1)}, f.order(0, "a"))
		time.Sleep(removeAfter)
		page, err := f.store.Scan(t.Context(), bhplatform.Range{Table: peerTable})
		require.NoError(t, err)
		assert.Len(t, page.Records, 2)
	})
}

func TestSilentPeersRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		time.Sleep(2 * lookInterval)
		f.directories[0].Rest(addressOf(1))
		assert.NotContains(t, f.order(0, "a"), addressOf(1))
		assert.Contains(t, f.order(2, "a"), addressOf(1))
		time.Sleep(restTime)
		assert.Contains(t, f.order(0, "a"), addressOf(1))
	})
}

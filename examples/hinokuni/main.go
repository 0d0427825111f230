// Command hinokuni prints the configuration of the Hinokuni cooperative's
// fleet: wedding musicians, on twenty assistant workers and three payment and
// booking workers in three data centres.
package main

import (
	"fmt"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

const (
	assistantWorkers = 20
	paymentWorkers   = 3
	assistantSlots   = 16
	paymentSlots     = 64
	centres          = 3
)

func main() { bhconf.Main(config()) }

func config() bhconf.Config {
	return bhconf.Config{
		Format:   bhconf.Format,
		Accounts: accounts(),
		Models: []bhconf.Model{
			{Name: "assistant", Version: "2026-10", Group: "assistant"},
			{Name: "setlist", Version: "7", Group: "assistant"},
		},
		Groups: []bhconf.Group{
			{Name: "assistant", Kind: bhconf.KindEngine},
			{Name: "payments", Kind: bhconf.KindPlain},
		},
		Upstreams: bhconf.Concat(bhconf.Repeat(assistantWorkers, assistant), bhconf.Repeat(paymentWorkers, payment)),
		Routes: []bhconf.Route{
			{Prefix: "/availability", Group: "payments", Open: true, Idempotent: []string{"GET", "HEAD"}, Timeout: bhconf.Duration(5 * time.Second)},
			{Prefix: "/bookings", Group: "payments", Idempotent: []string{"GET", "HEAD"}, Timeout: bhconf.Duration(10 * time.Second)},
			{Prefix: "/payments", Group: "payments", Timeout: bhconf.Duration(20 * time.Second)},
		},
	}
}

// accounts returns three large agencies and five small ones.
func accounts() []bhconf.Account {
	large := bhconf.Repeat(3, func(number int) bhconf.Account {
		return agency(fmt.Sprintf("agency-%d", number), 30, fmt.Sprintf("%064x", number))
	})
	small := bhconf.Repeat(5, func(number int) bhconf.Account {
		return agency(fmt.Sprintf("planner-%d", number), 4, fmt.Sprintf("%064x", 100+number))
	})
	return bhconf.Concat(large, small)
}

// agency returns an account with one key, given by the hexadecimal SHA-256.
func agency(name string, rate float64, sum string) bhconf.Account {
	return bhconf.Account{
		Name:  name,
		Rate:  rate,
		Burst: 4 * rate,
		Keys:  []bhconf.Key{{Name: "contract-2026", Digest: "sha256:" + sum}},
	}
}

func assistant(number int) bhconf.Upstream {
	return bhconf.Upstream{
		Name:    fmt.Sprintf("assistant-%02d", number),
		Group:   "assistant",
		Host:    fmt.Sprintf("worker-%02d", (number+1)/2),
		Address: fmt.Sprintf("10.2.%d.%d:8000", number%centres+1, number),
		Slots:   assistantSlots,
		State:   bhconf.StateServe,
	}
}

func payment(number int) bhconf.Upstream {
	return bhconf.Upstream{
		Name:    fmt.Sprintf("payments-%d", number),
		Group:   "payments",
		Host:    fmt.Sprintf("payments-%d", number),
		Address: fmt.Sprintf("10.2.%d.%d:9000", number%centres+1, 100+number),
		Slots:   paymentSlots,
		State:   bhconf.StateServe,
	}
}

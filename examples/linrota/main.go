// Command linrota prints the configuration of the Lin family's fleet: keeper
// rotas for zoos, on ten model workers and three web application workers in
// three data centres.
package main

import (
	"fmt"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

const (
	rotaWorkers   = 10
	rosterWorkers = 3
	rotaSlots     = 16
	rosterSlots   = 64
	centres       = 3
)

func main() { bhconf.Main(config()) }

func config() bhconf.Config {
	return bhconf.Config{
		Format:   bhconf.Format,
		Accounts: accounts(),
		Models:   []bhconf.Model{{Name: "rota", Version: "2026-11", Group: "rota"}},
		Groups: []bhconf.Group{
			{Name: "rota", Kind: bhconf.KindEngine},
			{Name: "roster", Kind: bhconf.KindPlain},
		},
		Upstreams: bhconf.Concat(bhconf.Repeat(rotaWorkers, rota), bhconf.Repeat(rosterWorkers, roster)),
		Routes: []bhconf.Route{
			{Prefix: "/rosters", Group: "roster", Idempotent: []string{"GET", "HEAD", "PUT"}, Timeout: bhconf.Duration(10 * time.Second)},
			{Prefix: "/swaps", Group: "roster", Idempotent: []string{"GET", "HEAD"}, Timeout: bhconf.Duration(10 * time.Second)},
			{Prefix: "/opening-hours", Group: "roster", Open: true, Idempotent: []string{"GET", "HEAD"}},
		},
	}
}

// accounts returns two large zoos and six small ones.
func accounts() []bhconf.Account {
	large := []bhconf.Account{
		zoo("taipei-zoo", 40, "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"),
		zoo("hsinchu-zoo", 30, "fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9"),
	}
	small := bhconf.Repeat(6, func(number int) bhconf.Account {
		return zoo(fmt.Sprintf("small-zoo-%d", number), 5, fmt.Sprintf("%064x", number))
	})
	return bhconf.Concat(large, small)
}

// zoo returns an account with one key, given by the hexadecimal SHA-256.
func zoo(name string, rate float64, sum string) bhconf.Account {
	return bhconf.Account{
		Name:  name,
		Rate:  rate,
		Burst: 3 * rate,
		Keys: []bhconf.Key{{
			Name:    "head-keeper",
			Digest:  "sha256:" + sum,
			Expires: time.Date(2027, time.December, 31, 0, 0, 0, 0, time.UTC),
		}},
	}
}

func rota(number int) bhconf.Upstream {
	return bhconf.Upstream{
		Name:    fmt.Sprintf("rota-%02d", number),
		Group:   "rota",
		Host:    fmt.Sprintf("worker-%02d", number),
		Address: fmt.Sprintf("10.1.%d.%d:8000", number%centres+1, number),
		Slots:   rotaSlots,
		Fenced:  number%2 == 0,
		State:   bhconf.StateServe,
	}
}

func roster(number int) bhconf.Upstream {
	return bhconf.Upstream{
		Name:    fmt.Sprintf("roster-%d", number),
		Group:   "roster",
		Host:    fmt.Sprintf("web-%d", number),
		Address: fmt.Sprintf("10.1.%d.%d:9000", number%centres+1, 100+number),
		Slots:   rosterSlots,
		State:   bhconf.StateServe,
	}
}

package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

// Ports of a scenario's fleet, on its own address.
const (
	portPlatform = 7000
	portEntry    = 7100
	portSidecar  = 7200
	portStep     = 10

	offsetLink   = 1
	offsetAdmin  = 2
	offsetEngine = 3
	offsetPlain  = 4
)

// Keys of the demo accounts zoo and band.
const (
	keyZoo  = "bh_test_key_of_zoo"
	keyBand = "bh_test_key_of_band"
)

const fleetUsage = "fleet [entries=N] [sidecars=N] [slots=N] [token=SPAN] [restart=SPAN] [rate=N] [drain=SPAN] [log=LEVEL]"

// plan is the fleet that a scenario asks for.
type plan struct {
	entries  int
	sidecars int
	slots    int
	rate     float64
	drain    time.Duration
	log      string
	engine   []string
}

// fleetCommand starts a platform, entries, and sidecars with an engine and a
// plain service each, and waits until all entries reach all upstreams.
func fleetCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, 8, fleetUsage)
	w := worldOf(ts)
	p, err := newPlan(parseOptions(ts, args, fleetUsage))
	ts.Check(err)
	ts.Check(w.launch(p))
	for i := range p.entries {
		ts.Setenv("URL"+strconv.Itoa(i+1), w.url(portEntry+portStep*i))
		ts.Setenv("ADMIN"+strconv.Itoa(i+1), w.url(portEntry+portStep*i+offsetAdmin))
	}
	for i := range p.sidecars {
		ts.Setenv("ENGINE"+strconv.Itoa(i+1), w.url(portSidecar+portStep*i+offsetEngine))
		ts.Setenv("PLAIN"+strconv.Itoa(i+1), w.url(portSidecar+portStep*i+offsetPlain))
	}
	ts.Setenv("PLATFORM", w.url(portPlatform))
	ts.Setenv("ZOO", keyZoo)
	ts.Setenv("BAND", keyBand)
}

// launch starts the plan's processes and waits until all entries are ready.
func (w *world) launch(p plan) error {
	for _, step := range []func(plan) error{w.outside, w.push, w.daemons} {
		if err := step(p); err != nil {
			return err
		}
	}
	for i := range p.entries {
		admin := w.url(portEntry + portStep*i + offsetAdmin)
		if !until(func() bool { return w.ok(admin+"/readyz") && w.ok(admin+"/coverz") }) {
			return errors.Errorf("entry-%d never became ready", i+1)
		}
	}
	return nil
}

func newPlan(options map[string]string) (plan, error) {
	p := plan{entries: 1, sidecars: 2, slots: 8, rate: 10_000, log: options["log"]}
	for name, target := range map[string]*int{"entries": &p.entries, "sidecars": &p.sidecars, "slots": &p.slots} {
		if text, ok := options[name]; ok {
			value, err := strconv.Atoi(text)
			if err != nil {
				return p, err
			}
			*target = value
		}
	}
	if text, ok := options["rate"]; ok {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return p, err
		}
		p.rate = rate
	}
	if text, ok := options["drain"]; ok {
		drain, err := time.ParseDuration(text)
		if err != nil {
			return p, err
		}
		p.drain = drain
	}
	for _, name := range []string{"token", "restart"} {
		if text, ok := options[name]; ok {
			p.engine = append(p.engine, "--"+name, text)
		}
	}
	return p, nil
}

func (w *world) address(port int) string { return net.JoinHostPort(w.ip, strconv.Itoa(port)) }

func (w *world) url(port int) string { return "http://" + w.address(port) }

// outside starts the systems outside the fleet and waits until they serve.
func (w *world) outside(p plan) error {
	if err := w.start("platform", "stand", "platform", "--listen", w.address(portPlatform)); err != nil {
		return err
	}
	for i := range p.sidecars {
		base := portSidecar + portStep*i
		args := append([]string{
			"stand", "engine", "--listen", w.address(base + offsetEngine),
			"--model", "rota=1", "--slots", strconv.Itoa(p.slots),
		}, p.engine...)
		if err := w.start(fmt.Sprintf("rota-%d", i+1), args...); err != nil {
			return err
		}
		args = []string{"stand", "plain", "--listen", w.address(base + offsetPlain)}
		if err := w.start(fmt.Sprintf("bookings-%d", i+1), args...); err != nil {
			return err
		}
	}
	if !until(func() bool { return w.ok(w.url(portPlatform) + "/counts") }) {
		return errors.New("the platform never served")
	}
	return nil
}

func (w *world) ok(url string) bool {
	response, err := w.http.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// push puts the configuration into the table.
func (w *world) push(p plan) error {
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: w.url(portPlatform)})
	defer client.Close()
	return bhsync.NewArchive(client.Platform()).PushFirst(context.Background(), w.config(p))
}

func (w *world) config(p plan) bhconf.Config {
	account := func(name, key string) bhconf.Account {
		digest := bhkey.Digest(key)
		return bhconf.Account{
			Name: name, Rate: p.rate, Burst: p.rate, Keys: []bhconf.Key{{Name: "test", Digest: digest}},
		}
	}
	config := bhconf.Config{
		Format:   bhconf.Format,
		Accounts: []bhconf.Account{account("zoo", keyZoo), account("band", keyBand)},
		Models:   []bhconf.Model{{Name: "rota", Version: "1", Group: "rota"}},
		Groups:   []bhconf.Group{{Name: "rota", Kind: bhconf.KindEngine}, {Name: "bookings", Kind: bhconf.KindPlain}},
		Routes: []bhconf.Route{
			{Prefix: "/bookings", Group: "bookings", Idempotent: []string{http.MethodGet}},
			{Prefix: "/public", Group: "bookings", Open: true, Idempotent: []string{http.MethodGet}},
		},
	}
	for i := range p.sidecars {
		base := portSidecar + portStep*i
		host := fmt.Sprintf("sidecar-%d", i+1)
		config.Upstreams = append(config.Upstreams,
			bhconf.Upstream{
				Name: fmt.Sprintf("rota-%d", i+1), Group: "rota", Host: host,
				Address: w.address(base + offsetEngine), Slots: p.slots, State: bhconf.StateServe,
			},
			bhconf.Upstream{
				Name: fmt.Sprintf("bookings-%d", i+1), Group: "bookings", Host: host,
				Address: w.address(base + offsetPlain), Slots: p.slots, State: bhconf.StateServe,
			},
		)
	}
	return config
}

// daemons starts the entries and sidecars.
func (w *world) daemons(p plan) error {
	for i := range p.entries {
		if err := w.daemon(p, bhconf.RoleEntry, i, portEntry); err != nil {
			return err
		}
	}
	for i := range p.sidecars {
		if err := w.daemon(p, bhconf.RoleSidecar, i, portSidecar); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) daemon(p plan, role bhconf.Role, i, first int) error {
	base := first + portStep*i
	settings := bhconf.Settings{
		Role:     role,
		Host:     fmt.Sprintf("%s-%d", role, i+1),
		Centre:   "north",
		Link:     w.address(base + offsetLink),
		Admin:    w.address(base + offsetAdmin),
		Platform: w.url(portPlatform),
		Secrets:  []string{"scenario-secret-of-the-test-fleet"},
		Log:      p.log,
		Drain:    bhconf.Duration(p.drain),
	}
	if role == bhconf.RoleEntry {
		settings.Listen = w.address(base)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, settings.Host+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	return w.start(settings.Host, string(role), "--settings", file)
}

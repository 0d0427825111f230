package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

// ports are all ports of all daemons that HTTP callers reach. Those for callers' requests are
// public.
var ports = []struct {
	name   string
	public bool
	link   bool
	start  func(t *testing.T, descriptors int) *victim
}{
	{"gateway front", true, false, func(t *testing.T, descriptors int) *victim {
		w := newCrowdWorld(t, descriptors)
		return w.gatewayVictim(w.processes[0].front)
	}},
	{"gateway readiness", false, false, func(t *testing.T, descriptors int) *victim {
		w := newCrowdWorld(t, descriptors)
		return w.gatewayVictim(w.processes[0].ready)
	}},
	{"gateway admin", false, false, func(t *testing.T, descriptors int) *victim {
		w := newCrowdWorld(t, descriptors)
		return w.gatewayVictim(w.processes[0].admin)
	}},
	{"runner admin", false, false, func(t *testing.T, descriptors int) *victim {
		w := newCrowdWorld(t, descriptors)
		v := w.gatewayVictim(w.find("runner").admin)
		v.process = w.find("runner")
		return v
	}},
	{"entry", true, false, func(t *testing.T, descriptors int) *victim {
		f := newCrowdFleet(t, descriptors)
		return f.victim(f.entry, f.entry.front)
	}},
	{"entry link", false, true, func(t *testing.T, descriptors int) *victim {
		f := newCrowdFleet(t, descriptors)
		return f.victim(f.entry, f.entry.peer)
	}},
	{"entry admin", false, false, func(t *testing.T, descriptors int) *victim {
		f := newCrowdFleet(t, descriptors)
		return f.victim(f.entry, f.entry.admin)
	}},
	{"sidecar link", false, true, func(t *testing.T, descriptors int) *victim {
		f := newCrowdFleet(t, descriptors)
		return f.victim(f.sidecar, f.sidecar.peer)
	}},
	{"sidecar admin", false, false, func(t *testing.T, descriptors int) *victim {
		f := newCrowdFleet(t, descriptors)
		return f.victim(f.sidecar, f.sidecar.admin)
	}},
}

// newCrowdWorld starts a gateway and a runner on small machines.
func newCrowdWorld(t *testing.T, descriptors int) *world {
	w := newOutside(t, 1, 1)
	w.limits, w.descriptors = crowdLimits(descriptors), descriptors
	w.callerLimits = map[string]any{"headerBytes": 64 << 10, "bodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	w.startAll(1)
	return w
}

// find returns the first process in the role.
func (w *world) find(role string) *process {
	for _, p := range w.processes {
		if p.role == role {
			return p
		}
	}
	return nil
}

// gatewayVictim returns the gateway as a victim at the address. Ordinary requests come from
// another account than those of the crowd.
func (w *world) gatewayVictim(address string) *victim {
	gateway := w.processes[0]
	v := &victim{process: gateway, address: address, descriptors: w.descriptors}
	switch address {
	case gateway.front:
		v.request = "POST /safe/crowd HTTP/1.1\r\nHost: svc.example\r\nAuthorization: Token zoo-0\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 4000\r\n"
	case gateway.ready:
		v.request = "GET /readiness HTTP/1.1\r\nHost: svc.example\r\n"
	default:
		v.request = "GET /metrics HTTP/1.1\r\nHost: svc.example\r\n"
	}
	v.ask = func() error {
		if address != gateway.front {
			path := "/metrics"
			if address == gateway.ready {
				path = "/readiness"
			}
			if err := askFor(http.MethodGet, "http://"+address+path, nil); err != nil {
				return err
			}
		}
		return askFor(http.MethodPost, "http://"+gateway.front+"/safe/ordinary", map[string]string{
			"Host": "svc.example", "Authorization": "Token small-0", "X-Request-Id": fmt.Sprint("ordinary-", time.Now().UnixNano()), "X-Deadline-Ms": "4000",
		})
	}
	return v
}

// askFor makes a call on a new connection and returns an error unless it is answered with 200.
func askFor(method, url string, header map[string]string) error {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return err
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	caller := http.Client{Timeout: crowdTurn, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := caller.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d, %s", method, url, response.StatusCode, bytes.TrimSpace(body))
	}
	return err
}

// crowdFleet is an entry and a sidecar with a plain upstream, on small machines.
type crowdFleet struct {
	entry, sidecar *process
}

func newCrowdFleet(t *testing.T, descriptors int) *crowdFleet {
	serve := func(handler http.Handler) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	upstream := http.NewServeMux()
	upstream.Handle("/", bhstand.NewPlain(bhstand.PlainConfig{Name: "bookings-1"}))
	upstream.HandleFunc("/public/large", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, crowdAnswer)) })
	platform := "http://" + serve(bhstand.NewPlatform(bhstand.PlatformConfig{}))
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: platform})
	t.Cleanup(func() { _ = client.Close() })
	require.NoError(t, bhsync.NewArchive(client.Platform()).PushFirst(t.Context(), bhconf.Config{
		Format: bhconf.Format,
		Groups: []bhconf.Group{{Name: "bookings", Kind: bhconf.KindPlain}},
		Routes: []bhconf.Route{{Prefix: "/public", Group: "bookings", Open: true, Idempotent: []string{http.MethodGet, http.MethodPost}}},
		Upstreams: []bhconf.Upstream{{
			Name: "bookings-1", Group: "bookings", Host: "sidecar-1", Address: serve(upstream),
			Slots: crowdSlots, State: bhconf.StateServe,
		}},
	}))
	f := &crowdFleet{}
	f.entry = startDaemon(t, bhconf.RoleEntry, platform, descriptors)
	f.sidecar = startDaemon(t, bhconf.RoleSidecar, platform, descriptors)
	return f
}

// startDaemon starts a daemon of the product's own interface. GOMEMLIMIT is what its heap may take
// of the machine's memory.
func startDaemon(t *testing.T, role bhconf.Role, platform string, descriptors int) *process {
	free := freePorts(t, portCount)
	address := func(i int) string { return net.JoinHostPort(hostIP("gateway", 0), fmt.Sprint(free[i])) }
	settings := bhconf.Settings{
		Role: role, Host: string(role) + "-1", Centre: "north", Link: address(1), Admin: address(2), Platform: platform,
		Secrets: []string{"secret-of-the-crowds-test-fleet"},
	}
	if role == bhconf.RoleEntry {
		settings.Listen = address(0)
	}
	data, err := json.Marshal(settings)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	p := &process{
		role: string(role), name: settings.Host, front: settings.Listen, peer: settings.Link, admin: settings.Admin,
		arguments: []string{"--settings", file}, environment: []string{fmt.Sprint("GOMEMLIMIT=", crowdMemory*7/10), "GOMAXPROCS=1"}, descriptors: descriptors,
	}
	p.run(t)
	return p
}

// victim returns the daemon as a victim at the address.
func (f *crowdFleet) victim(p *process, address string) *victim {
	v := &victim{process: p, address: address, descriptors: p.descriptors, request: "GET /metrics HTTP/1.1\r\nHost: entry.example\r\n"}
	if address == f.entry.front {
		v.request = "POST /public/crowd HTTP/1.1\r\nHost: entry.example\r\n"
	}
	v.ask = func() error {
		if address == p.admin {
			if err := askFor(http.MethodGet, "http://"+address+"/metrics", nil); err != nil {
				return err
			}
		}
		return askFor(http.MethodGet, "http://"+f.entry.front+"/public/ordinary", nil)
	}
	return v
}

package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhbeat"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	beatInterval     = 900 * time.Millisecond
	upstreamsPerHost = 2
	linkPort         = 7000
	targetAccounts   = 1400
)

// fleetConfig declares a fleet with so many client accounts and sidecars.
func fleetConfig(accounts, sidecars int, upstream func(n int) string) bhconf.Config {
	config := bhconf.Config{
		Format: bhconf.Format,
		Groups: []bhconf.Group{{Name: "svc", Kind: bhconf.KindPlain}},
		Routes: []bhconf.Route{{Prefix: "/svc", Group: "svc", Idempotent: []string{http.MethodGet}}},
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		config.Accounts = append(config.Accounts, bhconf.Account{
			Name: name, Rate: 1e5, Burst: 1e5, Keys: []bhconf.Key{{Name: "main", Digest: bhkey.Digest(keyOf(name))}},
		})
	}
	for i := range sidecars {
		for k := range upstreamsPerHost {
			config.Upstreams = append(config.Upstreams, bhconf.Upstream{
				Name: fmt.Sprintf("svc-%03d-%d", i, k), Group: "svc", Host: sidecarName(i),
				Address: upstream(upstreamsPerHost*i + k), Slots: 64, State: bhconf.StateServe,
			})
		}
	}
	return config
}

// nobody returns the n-th of many addresses where nothing listens.
func nobody(n int) string { return fmt.Sprintf("127.80.%d.%d:9", n/250, 1+n%250) }

func keyOf(account string) string { return "bh_key_of_" + account }

func sidecarName(i int) string { return fmt.Sprintf("sidecar-%03d", i) }

// startPlatform serves a stand-in of the platform with the configuration.
func startPlatform(b *testing.B, config bhconf.Config) (*bhstand.Platform, string) {
	platform := bhstand.NewPlatform(bhstand.PlatformConfig{})
	server := httptest.NewServer(platform)
	b.Cleanup(server.Close)
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: server.URL})
	require.NoError(b, pushConfig(context.Background(), client.Platform(), config))
	return platform, server.URL
}

// startFakeSidecars accepts links as so many sidecars would and beats on each
// with numbers that change every time.
func startFakeSidecars(b *testing.B, platform *bhstand.Platform, count int) {
	for i := range count {
		address := net.JoinHostPort(fmt.Sprintf("127.77.%d.%d", i/250, 1+i%250), fmt.Sprint(linkPort))
		listener, err := net.Listen("tcp", address)
		require.NoError(b, err)
		fake := &fakeSidecar{number: i}
		server := &http.Server{Handler: http.HandlerFunc(fake.accept), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(func() { _ = server.Close() })
		platform.SetHost(bhplatform.Host{
			Name: sidecarName(i), Role: string(bhconf.RoleSidecar), Link: address, State: bhplatform.HostLive,
		})
	}
}

type fakeSidecar struct {
	number int
}

func (f *fakeSidecar) accept(w http.ResponseWriter, r *http.Request) {
	self := bhwire.Hello{Host: sidecarName(f.number), Role: string(bhconf.RoleSidecar), Incarnation: 1}
	session, err := bhlink.Accept(w, r, bhlink.Config{Self: self, Secrets: []string{secret}})
	if err != nil {
		return
	}
	if session.Peer.Class == bhlink.ClassControl {
		go f.beat(session)
	}
	drain(session)
}

// drain takes frames until the session ends.
func drain(session *bhlink.Session) {
	for {
		if _, err := session.Receive(context.Background()); err != nil {
			return
		}
	}
}

func (f *fakeSidecar) beat(session *bhlink.Session) {
	var sender bhbeat.Sender
	for n := 0; ; n++ {
		state := bhbeat.State{Config: 1}
		for k := range upstreamsPerHost {
			state.Loads = append(state.Loads, bhwire.Load{
				Upstream: fmt.Sprintf("svc-%03d-%d", f.number, k), Group: "svc", Serving: true, Slots: 64,
				Running: 10 + n%7, Queued: n % 3, Work: int64(10_000 + n%1000),
			})
		}
		frame, err := sender.Next(state)
		if err != nil || session.Send(context.Background(), frame) != nil {
			return
		}
		select {
		case <-time.After(beatInterval):
		case <-session.Done():
			return
		}
	}
}

package bhentry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhentry"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhsidecar"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

const (
	testKey     = "bh_test_key"
	eventually  = 30 * time.Second
	pollingStep = 10 * time.Millisecond
)

// rig is an entry and a sidecar for each upstream handler, in one process.
type rig struct {
	t        *testing.T
	url      string
	admin    string
	platform *bhstand.Platform
}

// newRig serves each handler as an upstream of the group "svc" under the route
// /svc, behind a sidecar of its own.
func newRig(t *testing.T, handlers ...http.Handler) *rig {
	t.Helper()
	stand := bhstand.NewPlatform(bhstand.PlatformConfig{})
	platform := httptest.NewServer(stand)
	t.Cleanup(platform.Close)
	config := bhconf.Config{
		Format:   bhconf.Format,
		Accounts: []bhconf.Account{{Name: "zoo", Rate: 1e6, Burst: 1e6, Keys: []bhconf.Key{{Name: "k", Digest: bhkey.Digest(testKey)}}}},
		Groups:   []bhconf.Group{{Name: "svc", Kind: bhconf.KindPlain}},
		Routes:   []bhconf.Route{{Prefix: "/svc", Group: "svc", Idempotent: []string{http.MethodGet}}},
	}
	entry := settings(t, bhconf.RoleEntry, "entry-1", platform.URL)
	entry.Listen = address(t)
	var sidecars []bhconf.Settings
	for i, handler := range handlers {
		upstream := httptest.NewServer(handler)
		t.Cleanup(upstream.Close)
		sidecar := settings(t, bhconf.RoleSidecar, "sidecar-"+string(rune('a'+i)), platform.URL)
		sidecars = append(sidecars, sidecar)
		config.Upstreams = append(config.Upstreams, bhconf.Upstream{
			Name: "svc-" + string(rune('a'+i)), Group: "svc", Host: sidecar.Host, Slots: 16, State: bhconf.StateServe,
			Address: strings.TrimPrefix(upstream.URL, "http://"),
		})
	}
	push(t, platform.URL, config)
	for _, sidecar := range sidecars {
		run(t, func(ctx context.Context) error { return bhsidecar.New(sidecarConfig(t, sidecar)).Run(ctx) })
	}
	run(t, func(ctx context.Context) error { return bhentry.New(entryConfig(t, entry)).Run(ctx) })
	r := &rig{t: t, url: "http://" + entry.Listen, admin: "http://" + entry.Admin, platform: stand}
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + entry.Admin + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, eventually, pollingStep)
	return r
}

// open sends a request and returns the answer with its body unread.
func (r *rig) open(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, r.url+path, nil)
	require.NoError(r.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	return http.DefaultClient.Do(request)
}

// post sends a non-idempotent request under an idempotency key and returns the
// status and the whole body.
func (r *rig) post(ctx context.Context, key, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/svc/deposit", strings.NewReader(body))
	require.NoError(r.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// call sends a request and returns the status and the whole body.
func (r *rig) call(method, path string) (int, string, error) {
	response, err := r.open(r.t.Context(), method, path)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func settings(t *testing.T, role bhconf.Role, host, platform string) bhconf.Settings {
	return bhconf.Settings{
		Role: role, Host: host, Centre: "a", Link: address(t), Admin: address(t),
		Platform: platform, Secrets: []string{"a-fleet-secret-for-tests"}, Drain: bhconf.Duration(time.Second),
	}
}

func sidecarConfig(t *testing.T, settings bhconf.Settings) bhsidecar.Config {
	metrics, err := bhmetric.New(string(settings.Role), settings.Host)
	require.NoError(t, err)
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: settings.Platform})
	return bhsidecar.Config{Settings: settings, Logger: bhlog.Nop(), Metrics: metrics, Platform: client.Platform(), Incarnation: 1}
}

func entryConfig(t *testing.T, settings bhconf.Settings) bhentry.Config {
	metrics, err := bhmetric.New(string(settings.Role), settings.Host)
	require.NoError(t, err)
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: settings.Platform})
	return bhentry.Config{Settings: settings, Logger: bhlog.Nop(), Metrics: metrics, Platform: client.Platform(), Incarnation: 1}
}

// run runs a daemon until the test ends and waits for its end.
func run(t *testing.T, daemon func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

var addresses atomic.Int64

// address returns an address that nobody else uses: a loopback address of this
// process's own, and a port below those that the system gives out.
func address(t *testing.T) string {
	t.Helper()
	const span, ports, first = 250, 20_000, 7000
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.251", 1+pid/span%span, 1+pid%span)
	return net.JoinHostPort(ip, strconv.FormatInt(first+addresses.Add(1)%ports, 10))
}

func push(t *testing.T, url string, config bhconf.Config) {
	t.Helper()
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: url})
	require.NoError(t, bhsync.NewArchive(client.Platform()).Begin(t.Context(), config))
}

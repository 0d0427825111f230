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
	testAPIKey        = "bh_test_key"
	eventuallyTimeout = 30 * time.Second
	pollInterval      = 10 * time.Millisecond
)

// testCluster runs an entry and one sidecar per upstream handler in this
// process.
type testCluster struct {
	t        *testing.T
	url      string
	admin    string
	platform *bhstand.Platform
	// stopEntry and stopSidecars begin planned stops; the latter by the handler's number.
	stopEntry    func()
	stopSidecars []func()
	// tokens is added to the most tokens that a chat asks for.
	tokens int
}

// newTestCluster starts a cluster that serves each handler as an upstream of
// the group "svc" under the route /svc, behind a sidecar of its own.
func newTestCluster(t *testing.T, handlers ...http.Handler) *testCluster {
	t.Helper()
	return newChangedCluster(t, func(*bhconf.Config) {}, handlers...)
}

// newChangedCluster is newTestCluster with a changed configuration.
func newChangedCluster(t *testing.T, change func(config *bhconf.Config), handlers ...http.Handler) *testCluster {
	t.Helper()
	stub := bhstand.NewPlatform(bhstand.PlatformConfig{})
	platform := httptest.NewServer(stub)
	t.Cleanup(platform.Close)
	config := bhconf.Config{
		Format:   bhconf.Format,
		Accounts: []bhconf.Account{{Name: "zoo", Rate: 1e6, Burst: 1e6, Keys: []bhconf.Key{{Name: "k", Digest: bhkey.Digest(testAPIKey)}}}},
		Groups:   []bhconf.Group{{Name: "svc", Kind: bhconf.KindPlain}},
		Routes:   []bhconf.Route{{Prefix: "/svc", Group: "svc", Idempotent: []string{http.MethodGet}}},
	}
	entrySettings := newSettings(t, bhconf.RoleEntry, "entry-1", platform.URL)
	entrySettings.Listen = unusedAddress(t)
	var sidecarSettings []bhconf.Settings
	for i, handler := range handlers {
		upstream := httptest.NewServer(handler)
		t.Cleanup(upstream.Close)
		settings := newSettings(t, bhconf.RoleSidecar, "sidecar-"+string(rune('a'+i)), platform.URL)
		sidecarSettings = append(sidecarSettings, settings)
		config.Upstreams = append(config.Upstreams, bhconf.Upstream{
			Name: "svc-" + string(rune('a'+i)), Group: "svc", Host: settings.Host, Slots: 16, State: bhconf.StateServe,
			Address: strings.TrimPrefix(upstream.URL, "http://"),
		})
	}
	change(&config)
	storeConfig(t, platform.URL, config)
	cluster := &testCluster{t: t, url: "http://" + entrySettings.Listen, admin: "http://" + entrySettings.Admin, platform: stub}
	for _, sidecar := range sidecarSettings {
		cluster.stopSidecars = append(cluster.stopSidecars, startDaemon(t, func(ctx context.Context) error { return bhsidecar.New(sidecarConfig(t, sidecar)).Run(ctx) }))
	}
	cluster.stopEntry = startDaemon(t, func(ctx context.Context) error { return bhentry.New(entryConfig(t, entrySettings)).Run(ctx) })
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + entrySettings.Admin + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, eventuallyTimeout, pollInterval)
	return cluster
}

// send sends a request and returns the response with its body unread.
func (c *testCluster) send(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, nil)
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+testAPIKey)
	return http.DefaultClient.Do(request)
}

// postWithKey sends a non-idempotent request with an idempotency key and
// returns the status and the whole body.
func (c *testCluster) postWithKey(ctx context.Context, key, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/svc/deposit", strings.NewReader(body))
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+testAPIKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// fetch sends a request and returns the status and the whole body.
func (c *testCluster) fetch(method, path string) (int, string, error) {
	response, err := c.send(c.t.Context(), method, path)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func newSettings(t *testing.T, role bhconf.Role, host, platform string) bhconf.Settings {
	return bhconf.Settings{
		Role: role, Host: host, Centre: "a", Link: unusedAddress(t), Admin: unusedAddress(t),
		Platform: platform, Secrets: []string{"a-fleet-secret-for-tests"}, Drain: bhconf.Duration(testDrain),
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

// startDaemon runs a daemon until the test ends and requires that it returns no
// error. It returns a function that stops it earlier.
func startDaemon(t *testing.T, serve func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-result)
	})
	return cancel
}

var issuedAddresses atomic.Int64

// unusedAddress returns an address that no other test uses: its loopback IP is
// derived from the process ID, and its port is below the ephemeral port range.
func unusedAddress(t *testing.T) string {
	t.Helper()
	const span, ports, firstPort = 250, 20_000, 7000
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.251", 1+pid/span%span, 1+pid%span)
	return net.JoinHostPort(ip, strconv.FormatInt(firstPort+issuedAddresses.Add(1)%ports, 10))
}

func storeConfig(t *testing.T, url string, config bhconf.Config) {
	t.Helper()
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: url})
	require.NoError(t, bhsync.NewArchive(client.Platform()).PushFirst(t.Context(), config))
}

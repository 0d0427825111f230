package bhcmd

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// envDaemon has the test binary run the daemon of the settings file in envSettings.
const (
	envDaemon   = "BAOBAB_TEST_DAEMON"
	envSettings = "BAOBAB_TEST_SETTINGS"
)

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// TestDaemonServesOnAfterSIGHUP guards against a daemon that SIGHUP, which elsewhere has settings
// read again, ends without a stop: all its requests are cut.
func TestDaemonServesOnAfterSIGHUP(t *testing.T) {
	if role := os.Getenv(envDaemon); role != "" {
		os.Exit(Main(t.Context(), []string{"baobab", role, "--settings", os.Getenv(envSettings)}, SystemStreams()))
	}
	platform := httptest.NewServer(bhstand.NewPlatform(bhstand.PlatformConfig{}))
	defer platform.Close()
	for _, role := range []bhconf.Role{bhconf.RoleEntry, bhconf.RoleSidecar} {
		t.Run(string(role), func(t *testing.T) {
			settings := bhconf.Settings{
				Role: role, Host: "host-1", Centre: "a", Link: unusedAddress(t), Admin: unusedAddress(t), Platform: platform.URL,
				Secrets: []string{"a-fleet-secret-for-tests"}, Drain: bhconf.Duration(time.Second),
			}
			if role == bhconf.RoleEntry {
				settings.Listen = unusedAddress(t)
			}
			data, err := json.Marshal(settings)
			require.NoError(t, err)
			path := filepath.Join(t.TempDir(), "settings.json")
			require.NoError(t, os.WriteFile(path, data, 0o600))
			daemon := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^TestDaemonServesOnAfterSIGHUP$")
			daemon.Env = append(os.Environ(), envDaemon+"="+string(role), envSettings+"="+path)
			require.NoError(t, daemon.Start())
			ended := make(chan error, 1)
			go func() { ended <- daemon.Wait() }()
			require.Eventually(t, func() bool {
				response, err := http.Get("http://" + settings.Admin + "/metrics")
				return err == nil && response.Body.Close() == nil
			}, 30*time.Second, 20*time.Millisecond)
			for range 3 {
				require.NoError(t, daemon.Process.Signal(syscall.SIGHUP))
				select {
				case err := <-ended:
					t.Fatalf("the daemon ended: %v", err)
				case <-time.After(100 * time.Millisecond):
				}
			}
			require.NoError(t, daemon.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-ended)
		})
	}
}

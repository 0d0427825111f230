package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	drainTime = 4 * time.Second
	// stopLimit is above drainTime; a process that outlives it hangs.
	stopLimit = drainTime + 3*time.Second
)

// process is one of the real programs, with a proxy of its own to the store.
type process struct {
	role  string
	name  string
	front string
	// ready, admin and peer are its other addresses.
	ready, admin, peer string
	settings           string
	// arguments follow the role, and environment is added to that of the test.
	arguments   []string
	environment []string
	// descriptors is the limit of open files; zero leaves it as it is.
	descriptors int
	store       *proxy
	log         *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// expected reports that the soak has asked for the end.
	expected bool
}

// nextPort is below the range from which the system draws ports of its own.
var nextPort atomic.Int32

func init() { nextPort.Store(10_000 + rand.Int32N(10_000)) }

// hostIP returns the address of a host in the loopback's network. Each gateway has a host of its
// own, and each engine with its runner.
func hostIP(role string, number int) string {
	if role == "gateway" {
		return fmt.Sprintf("127.0.1.%d", number+1)
	}
	return fmt.Sprintf("127.0.2.%d", number+1)
}

// portCount is how many ports a process listens on. Those of a fleet have the same ones, each on
// its host, as they find each other by the host alone.
const portCount = 4

// freePorts returns consecutive ports that nobody listens on now, on the host of the first
// gateway. A process takes the port after its first internal one too, so that the ports of two
// fleets must not be mixed.
func freePorts(t *testing.T, count int) []int {
	t.Helper()
	for {
		last := int(nextPort.Add(int32(count)))
		var ports []int
		for port := last - count + 1; port <= last && isFree(port); port++ {
			ports = append(ports, port)
		}
		if len(ports) == count {
			return ports
		}
	}
}

// isFree reports whether nobody listens on the port, for connections or datagrams.
func isFree(port int) bool {
	address := fmt.Sprintf("%s:%d", hostIP("gateway", 0), port)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	defer socket.Close()
	return true
}

// newProcess starts the program in the role on its host. It serves the engine at the address app;
// gateways have none.
func (w *world) newProcess(role string, number int, app string) *process {
	t, ports, ip := w.t, w.ports, hostIP(role, number)
	name := fmt.Sprint(role, "-", number)
	p := &process{
		role:     role,
		name:     name,
		front:    fmt.Sprintf("%s:%d", ip, ports[0]),
		ready:    fmt.Sprintf("%s:%d", ip, ports[1]),
		peer:     fmt.Sprintf("%s:%d", ip, ports[2]),
		admin:    fmt.Sprintf("%s:%d", ip, ports[3]),
		settings: filepath.Join(t.TempDir(), "settings.toml"),
		store:    newProxy(t, "127.0.0.1", w.address),

		descriptors: w.descriptors,
	}
	p.environment = []string{"BAOBABHAVEN_BOOT=" + p.settings}
	text := fmt.Sprintf(`node = %q
ip = %q
zone = "z"
app = %q
internalPorts = [%d,%d]
[listen]
front = %q
readiness = %q
%s[bounds]
graceS = %g
configPropagationMs = 2000
revocationMs = %d
quotaWindowS = %g
quotaOver = %g
quotaSlack = %d
cancelMs = %d
statusS = 120
[platform]
address = %q
`, name, ip, app, ports[2], ports[3], p.front, p.ready, w.limits, drainTime.Seconds(), revocation.Milliseconds(),
		quotaWindow.Seconds(), quotaOver, int(quotaSlack), cancelBound.Milliseconds(), p.store.address())
	require.NoError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	p.run(t)
	return p
}

// run starts the process with a log of its own, and ends it after the test.
func (p *process) run(t *testing.T) {
	log, err := os.Create(filepath.Join(logDir(t), p.name+".log"))
	require.NoError(t, err)
	p.log = log
	p.start(t)
	t.Cleanup(func() {
		p.kill()
		log.Close()
	})
}

// logDir keeps the processes' logs if BAOBAB_SOAK_LOGS names a directory.
func logDir(t *testing.T) string {
	if dir := os.Getenv("BAOBAB_SOAK_LOGS"); dir != "" {
		dir = filepath.Join(dir, filepath.Base(t.Name()))
		require.NoError(t, os.MkdirAll(dir, 0o755))
		return dir
	}
	return t.TempDir()
}

func (p *process) start(t *testing.T) {
	command := exec.Command(program, append([]string{p.role}, p.arguments...)...)
	if p.descriptors > 0 {
		shell := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors)
		command = exec.Command("sh", append([]string{"-c", shell, program, p.role}, p.arguments...)...)
	}
	command.Env = append(os.Environ(), p.environment...)
	command.Stdout, command.Stderr = p.log, p.log
	require.NoError(t, command.Start())
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended, p.expected = command, ended, false
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		p.expected = true
	}
	// A process that has ended already is noticed by surprise.
	_ = p.command.Process.Signal(signal)
}

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// stop ends the process gracefully. It reports false if it doesn't end in time.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(stopLimit):
		return false
	}
}

// surprise reports whether the process has ended by itself.
func (p *process) surprise() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return !p.expected
	default:
		return false
	}
}

// tail returns the last lines of the process's log.
func (p *process) tail() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(data, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-15):], []byte("\n")))
}

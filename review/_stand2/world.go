// Command stand2 plays the cases of the second review: it stands in for the platform's store, the
// workers and the clients, starts the project's programs with the commands of the deploy file,
// and checks one rule by what the clients and the workers saw.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a case.
const timeLimit = 116 * time.Second

// cases are the cases by name. A case returns its exit code; with trouble, it has the disruption.
var cases = map[string]func(w *world, trouble bool) int{
	"cancel":  playCancel,
	"foreign": playForeign,
	"garble":  playGarble,
	"latin":   playLatin,
	"upgrade": playUpgrade,
}

// world is one run of a case.
type world struct {
	dir    string
	net    string // the first two numbers of the loopback addresses of this run
	port   int
	store  *store
	stop   chan struct{}
	record *os.File
	start  time.Time

	mu        sync.Mutex
	processes []*exec.Cmd
	servers   map[*engine]*http.Server
	arrivals  []arrival
}

// fail ends the case as one that could not run.
func (w *world) fail(format string, values ...any) {
	w.note("could not run: "+format, values...)
	w.close()
	os.Exit(exitNotRun)
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, values...))
}

// newWorld starts the store.
func newWorld(record string) *world {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w := &world{dir: dir, net: fmt.Sprintf("127.%d", 20+rand.IntN(200)), port: 11000 + rand.IntN(15000), store: newStore(), stop: make(chan struct{}), record: file, start: time.Now(), servers: map[*engine]*http.Server{}}
	w.serve(w.storeAddress(), w.store)
	return w
}

func (w *world) storeAddress() string { return fmt.Sprintf("%s.0.1:%d", w.net, w.port) }

// serve serves the handler at the address until the case ends.
func (w *world) serve(address string, handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		w.fail("%s", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server
}

// arrived records a request that reached a worker, and returns its number.
func (w *world) arrived(a arrival) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	return len(w.arrivals) - 1
}

// ended records that the worker doesn't work on the request any more, and whether it sent the whole answer.
func (w *world) ended(number int, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[number].Complete, w.arrivals[number].EndedAt = complete, time.Now()
}

// addEngine starts a worker and the runner beside it.
func (w *world) addEngine(number int, service string) *engine {
	ip := fmt.Sprintf("%s.2.%d", w.net, number)
	e := newEngine(fmt.Sprintf("i-%04d", number), service, fmt.Sprintf("%s:%d", ip, w.port), w.arrived, w.ended)
	server := w.serve(e.address, e)
	w.mu.Lock()
	w.servers[e] = server
	w.mu.Unlock()
	go e.checkIn(w.store, w.stop)
	w.run("runner", fmt.Sprintf("side-z-%d", number), ip, e.address)
	return e
}

// addGateway starts a gateway and returns its address.
func (w *world) addGateway(number int) string {
	ip := fmt.Sprintf("%s.1.%d", w.net, number)
	w.run("gateway", fmt.Sprintf("front-z-%d", number), ip, "")
	return fmt.Sprintf("%s:%d", ip, w.port)
}

// command returns the command of a role in the deploy file.
func command(role string) ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?s)\[roles\.` + role + `\].*?run = "([^"]*)"`).FindSubmatch(data)
	if match == nil {
		return nil, fmt.Errorf("deploy/system.toml has no role %q", role)
	}
	return strings.Fields(string(match[1])), nil
}

// run starts a process in the role, with the bounds of the sheets of the small installations.
func (w *world) run(role, name, ip, app string) *exec.Cmd {
	words, err := command(role)
	if err != nil {
		w.fail("%s", err)
	}
	path := filepath.Join(w.dir, name+".toml")
	listen := ""
	if role == "gateway" {
		listen = fmt.Sprintf("front = \"%s:%d\"\nreadiness = \"%s:%d\"\n", ip, w.port, ip, w.port+1)
	} else {
		listen = fmt.Sprintf("readiness = \"%s:%d\"\n", ip, w.port+1)
	}
	text := fmt.Sprintf(`node = %q
role = %q
ip = %q
zone = "z"
region = "r"
app = %q
internalPorts = [%d,%d]
bootstrap = true
heartbeatMs = 1200
[listen]
%s[limits]
cores = 1
memoryMb = 304
fileDescriptors = 4096
[bounds]
stabilityWindowMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 8
configPropagationMs = 2000
rollbackSlackMs = 250
strictRevocation = true
revocationMs = 5000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
[platform]
address = %q
form = "table"
writesPerS = %d
readsPerS = %d
transactionMs = 5.0
partitionWritesS = 200
rowBytes = 65536
`, name, role, ip, app, w.port+2, w.port+9, listen, w.storeAddress(), writesPerSecond, readsPerSecond)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.fail("%s", err)
	}
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C.UTF-8", "BAOBABHAVEN_BOOT=" + path}
	logFile, err := os.Create(filepath.Join(w.logDir(), name+".log"))
	if err != nil {
		w.fail("%s", err)
	}
	process.Stdout, process.Stderr = logFile, logFile
	// The kernel ends the process with the player, however that ends.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		w.fail("%s", err)
	}
	w.mu.Lock()
	w.processes = append(w.processes, process)
	w.mu.Unlock()
	return process
}

// logDir returns where the processes' logs are written: STAND2_LOGS, or a temporary folder.
func (w *world) logDir() string {
	if dir := os.Getenv("STAND2_LOGS"); dir != "" {
		_ = os.MkdirAll(dir, 0o755)
		return dir
	}
	return w.dir
}

// waitReady waits until the gateway says that it is ready.
func (w *world) waitReady(front string) {
	host, _, _ := net.SplitHostPort(front)
	address := fmt.Sprintf("http://%s:%d/readiness", host, w.port+1)
	for range 100 {
		response, err := http.Get(address)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.fail("%s is not ready after 10 s", front)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.processes = nil
	w.mu.Unlock()
	for _, process := range processes {
		_ = process.Process.Kill()
	}
	for _, process := range processes {
		_ = process.Wait()
	}
	_ = os.RemoveAll(w.dir)
}

// seen returns a copy of the arrivals so far.
func (w *world) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

func main() {
	// Processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	w := newWorld(os.Args[2])
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case got := <-stopped:
			w.fail("stopped by %s", got)
		case <-time.After(timeLimit):
			w.fail("not done after %s", timeLimit)
		}
	}()
	code := play(w, os.Getenv("TROUBLE") != "0")
	w.close()
	os.Exit(code)
}

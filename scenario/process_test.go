package scenario

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// Waits are on events; the limit only ends a scenario that can't succeed.
const (
	waitLimit    = 3 * time.Minute
	waitInterval = 20 * time.Millisecond
)

// Ports for dev, which serves on 127.0.0.1 only: below the ephemeral range and
// unlikely to be shared with another test run.
const (
	devPort  = 10_000
	devPorts = 50
	devRange = 20_000
)

type worldKey struct{}

// world is the state of one scenario: its processes and its address.
type world struct {
	dir  string
	ip   string
	http *http.Client

	mu    sync.Mutex
	procs map[string]*process
}

var worlds atomic.Int64

// setUp gives the scenario a world of its own.
func setUp(env *testscript.Env) error {
	w := newWorld(env.WorkDir)
	env.Values[worldKey{}] = w
	env.Defer(w.close)
	env.Setenv("DEVPORT", strconv.Itoa(devPort+os.Getpid()*devPorts%devRange))
	return nil
}

// newWorld returns a world with a loopback address of its own, so that
// scenarios and test runs that go on side by side don't share ports.
func newWorld(dir string) *world {
	const span = 250
	pid := os.Getpid()
	return &world{
		dir:   dir,
		ip:    fmt.Sprintf("127.%d.%d.%d", 1+pid/span%span, 1+pid%span, worlds.Add(1)),
		http:  &http.Client{Transport: &http.Transport{DisableCompression: true}},
		procs: make(map[string]*process),
	}
}

func worldOf(ts *testscript.TestScript) *world {
	w, ok := ts.Value(worldKey{}).(*world)
	if !ok {
		ts.Fatalf("no world")
	}
	return w
}

// close kills the processes that the scenario started.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.procs {
		_ = p.command.Process.Kill()
		<-p.done
	}
	w.http.CloseIdleConnections()
}

// process is one process of the program.
type process struct {
	command *exec.Cmd
	output  string
	done    chan struct{}
	code    int
}

// start runs the program with args. Its output goes to a file.
func (w *world) start(name string, args ...string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.procs[name]; old != nil {
		select {
		case <-old.done:
		default:
			return errors.Errorf("%s runs already", name)
		}
	}
	p := &process{output: filepath.Join(w.dir, name+".log"), done: make(chan struct{})}
	file, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	p.command = exec.Command("baobab", args...)
	p.command.Dir = w.dir
	p.command.Stdout, p.command.Stderr = file, file
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
		close(p.done)
	}()
	w.procs[name] = p
	return nil
}

func (w *world) process(ts *testscript.TestScript, name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[name]
	if p == nil {
		ts.Fatalf("no process %s", name)
	}
	return p
}

// matches counts the matches of pattern in the process's output.
func (p *process) matches(pattern *regexp.Regexp) (int, error) {
	text, err := os.ReadFile(p.output)
	if err != nil {
		return 0, err
	}
	return len(pattern.FindAll(text, -1)), nil
}

func (p *process) signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// until waits until the condition holds and reports whether it did.
func until(condition func() bool) bool {
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); {
		if condition() {
			return true
		}
		time.Sleep(waitInterval)
	}
	return condition()
}

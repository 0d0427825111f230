package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	program    = "target/baobab"
	deployFile = "deploy/system.toml"
	// storePort, frontPort, readyPort and workerPort are ports of their hosts.
	storePort  = 8408
	frontPort  = 8405
	readyPort  = 8406
	workerPort = 8080
	peerPort   = 7660
	// startTime is the lead of the traffic.
	startTime = 5 * time.Second
	graceTime = 8 * time.Second
)

// fleet is a small deployment: the hosts are loopback addresses.
type fleet struct {
	log       *record
	directory string
	network   string
	commands  map[string][]string
	store     *storeServer
	workers   []*worker
	processes []*process
	gateways  []string
	hosts     int
}

// process is one of the deployed programs.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func newFleet(log *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{log: log, directory: directory, commands: make(map[string][]string)}
	if err := f.readCommands(); err != nil {
		return nil, err
	}
	for range 20 {
		f.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", f.address(1, storePort))
		if err != nil {
			continue
		}
		f.hosts = 1
		f.store = newStoreServer(listener)
		return f, nil
	}
	return nil, errors.New("no free loopback network")
}

// readCommands reads the commands of the deploy file by role.
func (f *fleet) readCommands() error {
	var file struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile(deployFile, &file); err != nil {
		return err
	}
	for name, role := range file.Roles {
		f.commands[name] = strings.Fields(role.Run)
	}
	return nil
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.network, host, port) }

// configure writes a configuration as the operator does.
func (f *fleet) configure(config map[string]any) error {
	f.log.note("the operator writes version %v of the configuration", config["version"])
	return f.store.put("op", "config", config)
}

// addGateway starts a gateway.
func (f *fleet) addGateway() error {
	f.hosts++
	front := f.address(f.hosts, frontPort)
	f.gateways = append(f.gateways, front)
	return f.startProcess("gateway", f.hosts, fmt.Sprintf("[listen]\nfront = %q\nreadiness = %q\n", front, f.address(f.hosts, readyPort)), "")
}

// addWorker starts a worker, and a runner beside it if it is an engine.
func (f *fleet) addWorker(service string, slots, events int, gap time.Duration) (*worker, error) {
	f.hosts++
	listener, err := net.Listen("tcp", f.address(f.hosts, workerPort))
	if err != nil {
		return nil, err
	}
	w := newWorker(f, fmt.Sprintf("i-%08x", rand.Uint32()), service, listener, slots, events, gap)
	f.workers = append(f.workers, w)
	w.runner = runnerName(f.hosts)
	return w, f.startProcess("runner", f.hosts, "[listen]\n", w.address)
}

// processName returns the name of the host of a process, which is the node of its settings.
func processName(role string, host int) string { return fmt.Sprintf("%s-z-%d", role, host) }

func runnerName(host int) string { return processName("runner", host) }

// startProcess starts a program with settings like those of a small deployment.
func (f *fleet) startProcess(role string, host int, listen, app string) error {
	name := processName(role, host)
	text := fmt.Sprintf("node = %q\nrole = %q\nip = \"%s.%d\"\nzone = \"z\"\nregion = \"r\"\ninternalPorts = [%d,%d]\nbootstrap = true\ndiscovery = \"platform\"\nheartbeatMs = %d\n",
		name, role, f.network, host, peerPort, peerPort+15, heartbeat.Milliseconds())
	if app != "" {
		text += fmt.Sprintf("app = %q\n", app)
	}
	text += listen + `[limits]
cores = 1
memoryMb = 304
[bounds]
stabilityWindowMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 8
configPropagationMs = 2000
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
address = "` + f.address(1, storePort) + `"
form = "table"
`
	settings := filepath.Join(f.directory, name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.directory, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := f.commands[role]
	command := exec.Command(words[0], words[1:]...)
	command.Env = append(os.Environ(), "BAOBABHAVEN_BOOT="+settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	f.processes = append(f.processes, p)
	f.log.note("%s starts at %s.%d", name, f.network, host)
	return nil
}

// kill ends the program of the host at once, as the loss of its process does.
func (f *fleet) kill(role string, host int) error {
	name := processName(role, host)
	for i, p := range f.processes {
		if p.name == name {
			f.log.note("%s is killed", name)
			f.processes = append(f.processes[:i:i], f.processes[i+1:]...)
			err := p.command.Process.Kill()
			<-p.ended
			return err
		}
	}
	return fmt.Errorf("no process %s", name)
}

// unexpectedEnd returns an error if a process has ended by itself.
func (f *fleet) unexpectedEnd() error {
	for _, p := range f.processes {
		select {
		case <-p.ended:
			data, _ := os.ReadFile(filepath.Join(f.directory, p.name+".log"))
			return fmt.Errorf("%s ended by itself: %s", p.name, data[max(0, len(data)-500):])
		default:
		}
	}
	return nil
}

// close ends all processes, and keeps their logs if REVIEW_LOGS is set.
func (f *fleet) close() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(graceTime)
	for _, p := range f.processes {
		select {
		case <-p.ended:
		case <-deadline:
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	for _, w := range f.workers {
		w.close()
	}
	_ = f.store.server.Close()
	if os.Getenv("REVIEW_LOGS") == "" {
		_ = os.RemoveAll(f.directory)
		return
	}
	fmt.Println("logs:", f.directory)
}

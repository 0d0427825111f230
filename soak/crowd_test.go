package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The crowd and its bounds. A process must stay within the memory of its machine and leave
// descriptors for its own connections.
const (
	crowdMemory      = 112 << 20
	crowdDescriptors = 4096
	// fewDescriptors is the limit for crowds that take descriptors rather than memory.
	fewDescriptors = 400
	// reservedFiles is how many of the descriptors the platform reserves for files.
	reservedFiles = 200
	crowdSize     = 200
	// largeCrowd is for what costs little on each connection.
	largeCrowd = 1000
	// openCrowd is more than fewDescriptors.
	openCrowd = 600
	// crowdLog bounds what a process writes about a crowd, in bytes.
	crowdLog = crowdMemory / 8
	// crowdTime is how long clients that were ended come back.
	crowdTime = time.Second
	// crowdTurn bounds what a client does on one connection.
	crowdTurn = 10 * time.Second
	// crowdAnswer is the size of a large answer, and crowdSlots is how many requests the upstream of
	// an entry takes at once.
	crowdAnswer = 4 << 20
	crowdSlots  = 2 * largeCrowd
	// answerLimit ends the wait for an ordinary request's answer. It is no bound of the
	// answer's time.
	answerLimit = 60 * time.Second
)

// victim is a process under attack at one of its ports.
type victim struct {
	process     *process
	address     string
	descriptors int
	// request is the head of a sound request at the port without the empty line at its end.
	request string
	// ask sends an ordinary request and reports whether it was answered with success.
	ask func() error
}

// usage is what a process held at its peak.
type usage struct {
	memory  int64
	unread  int64
	sockets int
	open    int
}

// crowdLimits returns the settings of a small machine.
func crowdLimits(descriptors int) string {
	return fmt.Sprintf("[limits]\ncores = 1\nmemoryMb = %d\nfileDescriptors = %d\n", crowdMemory>>20, descriptors)
}

// TestCrowd has a crowd of clients send one thing at one port of a process, and come back when
// they are ended. The process must not end, must keep within the limits of its machine and
// must answer an ordinary request meanwhile and afterwards.
func TestCrowd(t *testing.T) {
	for _, port := range ports {
		t.Run(port.name, func(t *testing.T) {
			for _, attack := range attacks {
				if attack.public && !port.public || attack.link && !port.link {
					continue
				}
				t.Run(attack.name, func(t *testing.T) { press(t, port.start(t, attack.descriptors()), attack) })
			}
		})
	}
}

// press has the crowd attack the victim and checks what that holds.
func press(t *testing.T, v *victim, attack attack) {
	require.NoError(t, v.askUntil(answerLimit), "before")
	before, err := v.measure()
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var sampling sync.WaitGroup
	var peak usage
	sampling.Go(func() { peak = v.sample(ctx) })

	var crowd, first sync.WaitGroup
	until := time.Now().Add(crowdTime)
	for i := range attack.size() {
		first.Add(1)
		crowd.Go(func() {
			turned := sync.OnceFunc(first.Done)
			defer turned()
			for ctx.Err() == nil {
				attack.once(ctx, v, i, turned)
				turned()
				if time.Now().After(until) {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	first.Wait()
	time.Sleep(time.Until(until))
	during := v.askUntil(answerLimit)
	stop()
	crowd.Wait()
	sampling.Wait()

	log := v.process.text()
	require.False(t, v.process.surprise(), "the process ended by itself:\n%s", v.process.tail())
	t.Logf("before %+v, at the peak %+v, %d bytes of log", before, peak, len(log))
	assert.NoError(t, during, "an ordinary request while the crowd is there")
	assert.NoError(t, v.askUntil(answerLimit), "an ordinary request afterwards")
	assert.LessOrEqual(t, peak.memory, int64(crowdMemory), "memory of the process and bytes that wait for it")
	assert.Less(t, peak.open, v.descriptors, "descriptors")
	assert.LessOrEqual(t, peak.sockets, v.descriptors-reservedFiles, "sockets")
	assert.False(t, strings.Contains(log, "too many open files"), "descriptors ran out")
	assert.LessOrEqual(t, len(log), crowdLog, "bytes of log")
}

// askUntil sends ordinary requests until one is answered.
func (v *victim) askUntil(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		err := v.ask()
		if err == nil || time.Now().After(end) || v.process.surprise() {
			return err
		}
	}
}

// sample measures the process until ctx is done and returns its peak.
func (v *victim) sample(ctx context.Context) usage {
	var peak usage
	for ctx.Err() == nil {
		now, err := v.measure()
		if err != nil {
			return peak // it has ended
		}
		peak.memory, peak.unread = max(peak.memory, now.memory), max(peak.unread, now.unread)
		peak.sockets, peak.open = max(peak.sockets, now.sockets), max(peak.open, now.open)
		time.Sleep(20 * time.Millisecond)
	}
	return peak
}

// measure returns what the process holds now. Its memory includes what waits in its sockets.
func (v *victim) measure() (usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(v.process.pid()))
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return usage{}, err
	}
	var now usage
	now.memory = fieldOf(status, "VmRSS:")
	entries, err := os.ReadDir(filepath.Join(directory, "fd"))
	if err != nil {
		return usage{}, err
	}
	sockets := make(map[string]bool)
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(directory, "fd", entry.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		now.open++
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			now.sockets++
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
		if strings.HasPrefix(target, "pipe:") {
			now.sockets++
		}
	}
	table, err := os.ReadFile(filepath.Join(directory, "net", "tcp"))
	if err != nil {
		return usage{}, err
	}
	now.unread = unread(table, sockets)
	now.memory = max(now.memory+now.unread, fieldOf(status, "VmHWM:")) // the peak between two measures
	return now, nil
}

// fieldOf returns the field of a process's status in bytes.
func fieldOf(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, name); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unread returns the bytes that wait in the sockets with the inodes.
func unread(table []byte, inodes map[string]bool) int64 {
	var sum int64
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		const state, queues, inode = 3, 4, 9
		if len(fields) <= inode || !inodes[fields[inode]] || fields[state] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[queues], ":")
		if size, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += size
		}
	}
	return sum
}

// dial connects to the victim. The connection ends with ctx.
func (v *victim) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: crowdTurn}
	conn, err := dialer.DialContext(ctx, "tcp", v.address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(crowdTurn)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// pid returns the process's ID.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// text returns what the process has written.
func (p *process) text() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// TestCrowdDatagrams sends datagrams to the ports between processes: noise, and sound frames
// with bodies that nobody sent.
func TestCrowdDatagrams(t *testing.T) {
	for _, role := range []string{"gateway", "runner"} {
		t.Run(role, func(t *testing.T) {
			w := newCrowdWorld(t, crowdDescriptors)
			v := w.gatewayVictim(w.processes[0].front)
			v.process = w.find(role)
			press(t, v, attack{name: "datagrams", count: 8, turn: func(ctx context.Context, v *victim, _ net.Conn, number int) {
				sendDatagrams(ctx, v.process.peer, number)
			}, unconnected: true})
		})
	}
}

// TestCrowdReadsNothing has a crowd ask for large answers and read nothing of them. Those of a
// gateway are bounded by bhspool, which has tests of its own.
func TestCrowdReadsNothing(t *testing.T) {
	f := newCrowdFleet(t, crowdDescriptors)
	v := f.victim(f.entry, f.entry.front)
	press(t, v, attack{name: "large answers", count: largeCrowd, turn: send(func(*victim) []byte {
		return []byte("GET /public/large HTTP/1.1\r\nHost: entry.example\r\n\r\n")
	})})
}

// TestCrowdReload has a crowd press while the gateway reads its settings again.
func TestCrowdReload(t *testing.T) {
	w := newCrowdWorld(t, crowdDescriptors)
	v := w.gatewayVictim(w.processes[0].front)
	reload := attacks[0]
	turn := reload.turn
	reload.turn = func(ctx context.Context, v *victim, conn net.Conn, number int) {
		v.process.signal(syscall.SIGHUP)
		turn(ctx, v, conn, number)
	}
	press(t, v, reload)
}

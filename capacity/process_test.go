// Package capacity measures the slopes from which docs/CAPACITY.md is worked
// out. Its benchmarks run one daemon as a process of its own and fakes around
// it: go test ./capacity -run none -bench . -benchtime 1x -timeout 30m
package capacity

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcmd"
	"github.com/baobabhaven/baobabhaven/bhconf"
)

// programEnv makes the test binary act as the program itself.
const programEnv = "CAPACITY_PROGRAM"

const (
	clockTicks   = 100
	settleTime   = 12 * time.Second
	sampleTime   = 20 * time.Second
	readyTimeout = time.Minute
	secret       = "a-fleet-secret-for-measurements"
)

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(bhcmd.Main(context.Background(), os.Args, bhcmd.SystemStreams()))
	}
	os.Exit(m.Run())
}

// daemon is one process of the program.
type daemon struct {
	b       *testing.B
	command *exec.Cmd
}

// startDaemon runs the daemon that settings describe until the benchmark ends.
func startDaemon(b *testing.B, settings bhconf.Settings) *daemon {
	b.Helper()
	settings.Secrets = []string{secret}
	settings.Log = "warn"
	data, err := json.Marshal(settings)
	require.NoError(b, err)
	file := filepath.Join(b.TempDir(), "settings.json")
	require.NoError(b, os.WriteFile(file, data, 0o600))
	command := exec.Command(os.Args[0], string(settings.Role), "--settings", file)
	command.Env = append(os.Environ(), programEnv+"=1")
	command.Stderr = os.Stderr
	require.NoError(b, command.Start())
	b.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		_ = command.Wait()
	})
	return &daemon{b: b, command: command}
}

// usage is what a process has used so far.
type usage struct {
	cpu      time.Duration
	in, out  int64
	resident int64
	at       time.Time
}

func (d *daemon) usage() usage {
	u := usage{at: time.Now()}
	stat := strings.Fields(d.read("stat")[strings.LastIndex(d.read("stat"), ")")+1:])
	u.cpu = time.Duration(number(d.b, stat[11])+number(d.b, stat[12])) * time.Second / clockTicks
	for line := range strings.Lines(d.read("io")) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			u.in = number(d.b, value)
		case "wchar":
			u.out = number(d.b, value)
		}
	}
	for line := range strings.Lines(d.read("status")) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			u.resident = number(d.b, strings.TrimSuffix(strings.TrimSpace(value), " kB")) * 1024
		}
	}
	return u
}

func (d *daemon) read(name string) string {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(d.command.Process.Pid), name))
	require.NoError(d.b, err)
	return string(data)
}

func number(b *testing.B, text string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	require.NoError(b, err)
	return n
}

// report reports what the process used between two samples.
func report(b *testing.B, before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, "%core")
	b.ReportMetric(float64(after.in-before.in)/seconds/1000, "inKB/s")
	b.ReportMetric(float64(after.out-before.out)/seconds/1000, "outKB/s")
	b.ReportMetric(float64(after.resident)/1e6, "MB")
}

// awaitReady waits until the admin address reports that all upstreams can be
// reached.
func awaitReady(b *testing.B, admin string) {
	require.Eventually(b, func() bool {
		response, err := http.Get("http://" + admin + "/coverz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, readyTimeout, 100*time.Millisecond)
}

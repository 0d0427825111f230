package bhcmd

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/baobabhaven/baobabhaven/bhguard"
)

// processMachine returns what this process may use: its limit of open files, and the memory to
// which GOMEMLIMIT belongs as memoryShare, or else that of the machine.
func processMachine() bhguard.Machine {
	var machine bhguard.Machine
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		machine.Descriptors = int(min(files.Cur, math.MaxInt32))
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		machine.Memory = int64(float64(limit) / memoryShare)
		return machine
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		machine.Memory = int64(info.Totalram * uint64(info.Unit))
	}
	return machine
}

package bhhost

import (
	"strconv"
	"strings"
	"time"
)

// NewHolder returns the name under which this start of a process on the host
// holds leases and claims in the store: the host and the current time. Each
// start of the process gets another name.
func NewHolder(host string) string {
	return host + "." + strconv.FormatInt(time.Now().UnixNano(), 36)
}

// HostOf returns the host in the name of a holder. A host runs one process of
// each kind at a time, so of two holders of a kind with the same host one has
// ended. A name without a dot is returned unchanged.
func HostOf(holder string) string {
	if separator := strings.LastIndexByte(holder, '.'); separator >= 0 {
		return holder[:separator]
	}
	return holder
}

package bhhost

import (
	"strconv"
	"strings"
	"time"
)

// NewHolder names this start of a process on the host, for claims and shares
// that it holds in the store. The next start has another name.
func NewHolder(host string) string {
	return host + "." + strconv.FormatInt(time.Now().UnixNano(), 36)
}

// HostOf returns the host of a holder. One host runs one process of a kind, so
// that of two holders of a host one has ended.
func HostOf(holder string) string {
	if end := strings.LastIndexByte(holder, '.'); end >= 0 {
		return holder[:end]
	}
	return holder
}

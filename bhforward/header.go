package bhforward

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop fields (RFC 9110, section 7.6.1), which apply to
// a single connection, and fields that the sender of a request sets itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of the header without the hop-by-hop fields and the
// fields in drop.
func EndToEnd(header http.Header, drop ...string) http.Header {
	result := header.Clone()
	for _, names := range header["Connection"] {
		for _, name := range strings.Split(names, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		result.Del(name)
	}
	for _, name := range drop {
		result.Del(name)
	}
	return result
}

package bhforward

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of the header without the fields that concern one
// connection, and without the other fields named.
func EndToEnd(header http.Header, drop ...string) http.Header {
	result := header.Clone()
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
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

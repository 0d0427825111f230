package bhforward

import "net/http"

// Dialect names the header fields that clients, gateways and upstreams
// exchange. A gateway sets Deadline, Instance and Account itself, whatever a
// client sent.
type Dialect struct {
	// RequestID identifies one attempt of a client; upstreams echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender will wait.
	Deadline string
	// Instance names the only upstream that may run the request.
	Instance string
	// Account tells the upstream whose key the request had.
	Account string
	// NotRun marks an answer whose request the upstream did not run.
	NotRun string
	// LastEvent asks to resume a stream after the event with this id.
	LastEvent string
	// KeyHeader carries the caller's key; Key extracts it.
	KeyHeader string
	Key       func(header http.Header) string
}

// Refused reports whether the answer says that the upstream didn't run the request.
func (d *Dialect) Refused(answer *Answer) bool {
	return answer.Header.Get(d.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest
}

package bhforward

import "net/http"

// Dialect names the header fields that clients, gateways and upstreams
// exchange. A gateway sets Deadline, Instance and Account itself, in place of any
// values that a client sent.
type Dialect struct {
	// RequestID identifies one attempt of a client. Upstreams echo the value.
	RequestID string
	// Deadline holds the number of milliseconds that the sender will wait.
	Deadline string
	// Instance names the only upstream that may run the request.
	Instance string
	// Occupant names, in answers with status 421, the upstream that gave them.
	Occupant string
	// Account names the client account whose key the request carried.
	Account string
	// NotRun marks an answer to a request that the upstream did not run.
	NotRun string
	// Leaving marks the answers of an upstream that finishes its requests and ends.
	Leaving string
	// Limit names, in an upstream's answers, the requests a second that it takes from all
	// senders together.
	Limit string
	// LastEvent holds the ID of the event after which a stream resumes.
	LastEvent string
	// Resumes holds the request ID of the attempt that brought a client the first
	// event of the stream that it resumes.
	Resumes string
	// KeyHeader carries the caller's key. Key extracts the key from a header and
	// returns "" if there is none.
	KeyHeader string
	Key       func(header http.Header) string
	// Parts returns the IDs of the parts of a request's prompt, in their order. The
	// last one belongs to the request alone. Nil if requests don't name any.
	Parts func(header http.Header) []string
	// Prompt returns what names a request's model and whole prompt; empty if the request
	// names no prompt. Nil if none does.
	Prompt func(header http.Header) string
}

// WholePrompt returns what names the request's model and whole prompt, or "".
func (d *Dialect) WholePrompt(header http.Header) string {
	if d.Prompt == nil {
		return ""
	}
	return d.Prompt(header)
}

// SharedParts returns the IDs of the parts of a request's prompt that other requests
// may share.
func (d *Dialect) SharedParts(header http.Header) []string {
	if d.Parts == nil {
		return nil
	}
	parts := d.Parts(header)
	return parts[:max(0, len(parts)-1)]
}

// IsLeaving reports whether the answer states that its upstream is leaving and
// must get no new requests.
func (d *Dialect) IsLeaving(answer *Answer) bool {
	value := answer.Header.Get(d.Leaving)
	return value != "" && value != "0"
}

// Misdirected reports whether the answer to a request for the instance came from another one, and
// which one that is; "" if it doesn't say. An instance also answers 421 to what it can't run
// itself, such as a request for other weights.
func (d *Dialect) Misdirected(answer *Answer, instance string) (occupant string, misdirected bool) {
	if answer.Status != http.StatusMisdirectedRequest {
		return "", false
	}
	occupant = answer.Header.Get(d.Occupant)
	return occupant, occupant != instance
}

// Refused reports whether the answer states that the upstream did not run the
// request: by the NotRun field or by status 421.
func (d *Dialect) Refused(answer *Answer) bool {
	return answer.Header.Get(d.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest
}

// Package bhcode defines the numbered result codes and the errors that carry
// them. Every part of baobabhaven uses it to report results to callers, operators
// and other processes.
package bhcode

import "net/http"

// Code is a result number. Numbers are stable: clients rely on them.
// docs/CODES.md lists every code.
type Code int

// Result codes. 1xxx concern the caller's request, 2xxx the fleet, 3xxx the
// platform, 4xxx the configuration, 5xxx links and orders, 6xxx batches and
// 9xxx internal faults of baobabhaven.
const (
	OK Code = 0

	BadRequest     Code = 1001
	Unauthorized   Code = 1002
	Forbidden      Code = 1003
	NotFound       Code = 1004
	TooLarge       Code = 1005
	RateExceeded   Code = 1006
	BadMethod      Code = 1007
	KeyReused      Code = 1008
	KeyRevoked     Code = 1009
	TooManyBadKeys Code = 1010
	RateUnknown    Code = 1011
	HeadTooLarge   Code = 1012

	NoUpstream       Code = 2001
	Overloaded       Code = 2002
	QueueTimeout     Code = 2003
	RunTimeout       Code = 2004
	UpstreamFailed   Code = 2005
	UpstreamLost     Code = 2006
	Quarantined      Code = 2007
	Leaving          Code = 2008
	AnswerIncomplete Code = 2009
	Cancelled        Code = 2010
	StillRunning     Code = 2011
	OutcomeUnknown   Code = 2012
	BreakerOpen      Code = 2013
	NoConfiguration  Code = 2014
	VersionDiffers   Code = 2015
	Withheld         Code = 2016

	PlatformUnavailable Code = 3001
	PlatformConflict    Code = 3002
	PlatformUnknown     Code = 3003
	LeaseLost           Code = 3004

	ConfigInvalid  Code = 4001
	ConfigConflict Code = 4002
	ConfigStale    Code = 4003
	ConfigUnknown  Code = 4004

	LinkRefused  Code = 5001
	FrameInvalid Code = 5002
	LinkLost     Code = 5003
	FenceStale   Code = 5004
	OrderFailed  Code = 5005

	BatchInvalid   Code = 6001
	BatchConflict  Code = 6002
	BatchCancelled Code = 6003
	ItemFailed     Code = 6004
	ItemCrashed    Code = 6005

	Internal Code = 9001
)

// Info describes a code: its short name, the HTTP status of answers that carry
// it and the sentence shown to users.
type Info struct {
	Name   string
	Status int
	Text   string
}

var infos = map[Code]Info{
	OK:             {"ok", http.StatusOK, "The request succeeded."},
	BadRequest:     {"bad_request", http.StatusBadRequest, "The request is malformed."},
	Unauthorized:   {"unauthorized", http.StatusUnauthorized, "The key is missing, unknown, expired or revoked."},
	Forbidden:      {"forbidden", http.StatusForbidden, "The client account may not use this resource."},
	NotFound:       {"not_found", http.StatusNotFound, "No route or object has this name."},
	TooLarge:       {"too_large", http.StatusRequestEntityTooLarge, "The request exceeds a size limit."},
	RateExceeded:   {"rate_exceeded", http.StatusTooManyRequests, "The client account is over its rate and burst."},
	BadMethod:      {"bad_method", http.StatusMethodNotAllowed, "The route does not accept this method."},
	KeyReused:      {"key_reused", http.StatusUnprocessableEntity, "The idempotency key was used with another request."},
	KeyRevoked:     {"key_revoked", http.StatusUnauthorized, "The key was revoked while the request ran."},
	TooManyBadKeys: {"too_many_bad_keys", http.StatusTooManyRequests, "This source sent too many wrong keys."},
	HeadTooLarge:   {"head_too_large", http.StatusRequestHeaderFieldsTooLarge, "The request's head exceeds the size limit."},
	RateUnknown:    {"rate_unknown", http.StatusServiceUnavailable, "The client account's rate can't be checked now."},

	NoUpstream:       {"no_upstream", http.StatusServiceUnavailable, "No upstream can serve the request now."},
	Overloaded:       {"overloaded", http.StatusServiceUnavailable, "Every suitable upstream is full."},
	QueueTimeout:     {"queue_timeout", http.StatusServiceUnavailable, "The request could not start before its deadline."},
	RunTimeout:       {"run_timeout", http.StatusGatewayTimeout, "The request started and did not finish before its deadline."},
	UpstreamFailed:   {"upstream_failed", http.StatusBadGateway, "The upstream failed while it ran the request."},
	UpstreamLost:     {"upstream_lost", http.StatusBadGateway, "Contact with the upstream was lost."},
	Quarantined:      {"quarantined", http.StatusUnprocessableEntity, "The request crashed upstreams and is quarantined."},
	Leaving:          {"leaving", http.StatusServiceUnavailable, "The host is leaving and takes no new work."},
	AnswerIncomplete: {"answer_incomplete", http.StatusBadGateway, "The answer ended before it was complete."},
	Cancelled:        {"cancelled", 499, "The request was cancelled."},
	StillRunning:     {"still_running", http.StatusConflict, "A request with this idempotency key is still running."},
	OutcomeUnknown:   {"outcome_unknown", http.StatusConflict, "A request with this idempotency key may have run."},
	BreakerOpen:      {"breaker_open", http.StatusServiceUnavailable, "The upstream is failing and gets no requests."},
	NoConfiguration:  {"no_configuration", http.StatusServiceUnavailable, "This host has no configuration in force."},
	VersionDiffers:   {"version_differs", http.StatusBadGateway, "No engine of the version that began the answer continued it."},
	Withheld:         {"withheld", http.StatusServiceUnavailable, "Upstreams ended under such requests; the next trial is later."},

	PlatformUnavailable: {"platform_unavailable", http.StatusServiceUnavailable, "The platform's service did not take the operation."},
	PlatformConflict:    {"platform_conflict", http.StatusConflict, "A condition of the write did not hold."},
	PlatformUnknown:     {"platform_unknown", http.StatusServiceUnavailable, "The write may or may not have taken effect."},
	LeaseLost:           {"lease_lost", http.StatusConflict, "The lease is no longer held."},

	ConfigInvalid:  {"config_invalid", http.StatusBadRequest, "The configuration has errors."},
	ConfigConflict: {"config_conflict", http.StatusConflict, "The configuration changed since the version named."},
	ConfigStale:    {"config_stale", http.StatusServiceUnavailable, "The configuration in force is too old to trust."},
	ConfigUnknown:  {"config_unknown", http.StatusServiceUnavailable, "The push may or may not have been accepted."},

	LinkRefused:  {"link_refused", http.StatusForbidden, "The peer failed authentication."},
	FrameInvalid: {"frame_invalid", http.StatusBadRequest, "A frame was malformed or over its limit."},
	LinkLost:     {"link_lost", http.StatusBadGateway, "The link to the peer was lost."},
	FenceStale:   {"fence_stale", http.StatusConflict, "The fencing number is lower than one already seen."},
	OrderFailed:  {"order_failed", http.StatusBadGateway, "The upstream did not carry out the order."},

	BatchInvalid:   {"batch_invalid", http.StatusBadRequest, "The batch file has invalid lines."},
	BatchConflict:  {"batch_conflict", http.StatusConflict, "A batch with this id has other content."},
	BatchCancelled: {"batch_cancelled", http.StatusConflict, "The batch was cancelled."},
	ItemFailed:     {"item_failed", http.StatusUnprocessableEntity, "The item could not be completed."},
	ItemCrashed:    {"item_crashed", http.StatusUnprocessableEntity, "The item crashed upstreams."},

	Internal: {"internal", http.StatusInternalServerError, "baobabhaven failed."},
}

// Info returns the description of c, or that of Internal if c is unknown.
func (c Code) Info() Info {
	info, ok := infos[c]
	if !ok {
		return infos[Internal]
	}
	return info
}

// String returns the short name of c.
func (c Code) String() string { return c.Info().Name }

// All returns every code with its description. The map is a copy.
func All() map[Code]Info {
	all := make(map[Code]Info, len(infos))
	for c, info := range infos {
		all[c] = info
	}
	return all
}

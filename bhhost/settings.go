// Package bhhost holds the settings of a gateway or a runner and of its host,
// and reloads them when the settings file changes. Package bhcmd opens the file
// with a decoder from package platform; packages bhjob and bhquota use the names
// of lease and claim holders.
package bhhost

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// maxPollInterval bounds the time between polls whatever the settings say, so that
// a gateway's proof that keys are valid stays recent.
const maxPollInterval = time.Second

// Settings are the settings of one process and its host.
type Settings struct {
	// Host is the name of the host, Centre its data centre.
	Host   string
	Centre string
	// Front is the address for clients, Ready the one for the readiness checks of
	// the load balancer.
	Front string
	Ready string
	// Peer is the address for datagrams from other processes of the fleet. Its
	// port is the same on all hosts. Admin is the address that serves metrics.
	Peer  netip.AddrPort
	Admin string
	// Platform is the address of the platform's store.
	Platform string
	// Engine is the address of the upstream on the host of a runner.
	Engine string

	// Cores is the number of CPU cores, Memory the bytes of memory and Descriptors the number
	// of open files for the process. Zero means that no limit is set.
	Cores       int
	Memory      int64
	Descriptors int

	// Drain is the time between SIGTERM and SIGKILL, in which a stopping process
	// finishes its work.
	Drain time.Duration
	// Revocation is the age from which a policy no longer proves that an API key
	// is valid.
	Revocation time.Duration
	// Propagation is the time within which a change of the configuration must be in
	// force, and UpstreamDrain the time within which a draining upstream must get no
	// new requests. Zero means unknown.
	Propagation   time.Duration
	UpstreamDrain time.Duration
	// QuotaSlack and QuotaOver are how far an account may exceed its rate and
	// burst: by a number of requests, and by a share (0.1 is 10%).
	QuotaSlack float64
	QuotaOver  float64
	// QuotaWindow is the length of the windows in which that holds. Zero means unknown.
	QuotaWindow time.Duration
	// ColdSlack and ColdOver are how far an upstream's requests in a second may exceed the
	// rate that it takes while it is cold: by a number of requests, and as a multiple of
	// the rate (1.5 is half more). Zero means that no bound is set.
	ColdSlack float64
	ColdOver  float64
	// Evacuation is the time within which a data centre that is evacuated must get no
	// new requests; zero means unknown.
	Evacuation time.Duration
	// ResultRetention is how long the results of a job stay readable.
	ResultRetention time.Duration
}

// PollInterval returns the time between polls of the configuration and of the
// upstreams, for the given number of polls within the shortest of the bounds on
// changes. More polls only cost the platform more: with 88 gateways, whose bounds
// are 4 s, eight reads a second each were half of all calls. It returns zero if no
// bound is known.
func (s *Settings) PollInterval(polls int) time.Duration {
	bound := s.Propagation
	for _, other := range []time.Duration{s.UpstreamDrain, s.Evacuation} {
		if other > 0 && (bound == 0 || other < bound) {
			bound = other
		}
	}
	return min(maxPollInterval, bound/time.Duration(polls))
}

// Validate reports the first setting that is missing or out of range.
func (s *Settings) Validate() error {
	switch {
	case s.Host == "":
		return errors.New("the host's name is missing")
	case s.Platform == "":
		return errors.New("the platform's address is missing")
	case s.Revocation <= 0:
		return errors.Errorf("the revocation time %s is not positive", s.Revocation)
	case s.Drain <= 0:
		return errors.Errorf("the drain time %s is not positive", s.Drain)
	case s.Propagation < 0 || s.UpstreamDrain < 0:
		return errors.Errorf("a bound is negative: propagation %s, drain of upstreams %s", s.Propagation, s.UpstreamDrain)
	case s.ColdSlack < 0 || s.ColdOver < 0 || s.Evacuation < 0:
		return errors.Errorf("a bound is negative: cold upstreams %g times and %g more, evacuation %s", s.ColdOver, s.ColdSlack, s.Evacuation)
	case s.Memory < 0 || s.Cores < 0 || s.Descriptors < 0:
		return errors.Errorf("a resource is negative: memory %d, cores %d, file descriptors %d", s.Memory, s.Cores, s.Descriptors)
	}
	return nil
}

// Package bhhost holds what a gateway or a runner is told about the host it
// runs on, and follows changes of it.
package bhhost

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Settings describe one process and its host.
type Settings struct {
	// Host is the name of the host, Centre its data centre.
	Host   string
	Centre string
	// Front and Ready are the addresses for clients and for the balancer.
	Front string
	Ready string
	// Peer is the address for datagrams of other processes of the fleet, at the
	// same port on all hosts. Admin serves metrics.
	Peer  netip.AddrPort
	Admin string
	// Platform is the address of the platform's store.
	Platform string
	// Engine is the address of the upstream beside a runner.
	Engine string

	Cores  int
	Memory int64

	// Drain is the time between SIGTERM and SIGKILL.
	Drain time.Duration
	// Revocation is the age at which a policy no longer proves a key valid.
	Revocation time.Duration
	// QuotaSlack and QuotaOver are how many requests, and by which share, an
	// account may go beyond its rate and burst.
	QuotaSlack float64
	QuotaOver  float64
	// ResultRetention is how long results of a job stay readable.
	ResultRetention time.Duration
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
	case s.Memory < 0 || s.Cores < 0:
		return errors.Errorf("a resource is negative: memory %d, cores %d", s.Memory, s.Cores)
	}
	return nil
}

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

	// Cores is the number of CPU cores and Memory the bytes of memory for the
	// process. Zero means that no limit is set.
	Cores  int
	Memory int64

	// Drain is the time between SIGTERM and SIGKILL, in which a stopping process
	// finishes its work.
	Drain time.Duration
	// Revocation is the age from which a policy no longer proves that an API key
	// is valid.
	Revocation time.Duration
	// QuotaSlack and QuotaOver are how far an account may exceed its rate and
	// burst: by a number of requests, and by a share (0.1 is 10%).
	QuotaSlack float64
	QuotaOver  float64
	// ResultRetention is how long the results of a job stay readable.
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

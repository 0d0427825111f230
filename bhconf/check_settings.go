package bhconf

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
)

const (
	// MaxNameBytes is the length of the longest name.
	MaxNameBytes = 128
	// minSecretBytes is the length of the shortest fleet secret.
	minSecretBytes = 16
	// maxSecrets is the largest number of fleet secrets.
	maxSecrets = 8
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// Check returns every problem in the settings, or nil if they are valid.
func (s Settings) Check() Problems {
	var problems Problems
	if s.Role != RoleEntry && s.Role != RoleSidecar {
		problems.add("role", "must be entry or sidecar")
	}
	problems.checkName("host", s.Host)
	if s.Centre != "" {
		problems.checkName("centre", s.Centre)
	}
	s.checkAddresses(&problems)
	if parsed, err := url.Parse(s.Platform); err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		problems.add("platform", "must be a URL such as http://10.0.0.1:7000")
	}
	s.checkSecrets(&problems)
	s.checkOperators(&problems)
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.Log) {
		problems.add("log", "must be debug, info, warn or error")
	}
	if s.Drain < 0 {
		problems.add("drain", "must not be negative")
	}
	return problems
}

func (s Settings) checkAddresses(problems *Problems) {
	listeners := []struct{ path, address string }{{"link", s.Link}, {"admin", s.Admin}}
	switch {
	case s.Role == RoleEntry:
		listeners = append(listeners, struct{ path, address string }{"listen", s.Listen})
	case s.Listen != "":
		problems.add("listen", "is for entries only")
	}
	for i, listener := range listeners {
		if !problems.checkAddress(listener.path, listener.address) {
			continue
		}
		for _, earlier := range listeners[:i] {
			if listenersConflict(listener.address, earlier.address) {
				problems.add(listener.path, "clashes with "+earlier.path)
			}
		}
	}
}

func (s Settings) checkSecrets(problems *Problems) {
	if len(s.Secrets) == 0 || len(s.Secrets) > maxSecrets {
		problems.add("secrets", fmt.Sprintf("must name 1 to %d secrets", maxSecrets))
	}
	for i, secret := range s.Secrets {
		path := fmt.Sprintf("secrets[%d]", i)
		if len(secret) < minSecretBytes {
			problems.add(path, fmt.Sprintf("must have at least %d characters", minSecretBytes))
		}
		if slices.Contains(s.Secrets[:i], secret) {
			problems.add(path, "stands twice")
		}
	}
}

func (s Settings) checkOperators(problems *Problems) {
	names, digests := make(map[string]int), make(map[string]int)
	for i, operator := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		problems.checkName(path+".name", operator.Name)
		problems.checkUnique(path+".name", "operators", operator.Name, i, names)
		problems.checkDigest(path+".digest", operator.Digest)
		problems.checkUnique(path+".digest", "operators", operator.Digest, i, digests)
	}
}

func (p *Problems) checkName(path, name string) {
	switch {
	case name == "":
		p.add(path, "must not be empty")
	case len(name) > MaxNameBytes:
		p.add(path, fmt.Sprintf("must have at most %d characters", MaxNameBytes))
	case !namePattern.MatchString(name):
		p.add(path, "must have letters, digits, '.', '_' and '-' only, and begin with a letter or digit")
	}
}

// checkUnique requires that no earlier element of the list has the value, and
// records its index in firstIndexes. Empty values are ignored.
func (p *Problems) checkUnique(path, list, value string, index int, firstIndexes map[string]int) {
	if value == "" {
		return
	}
	if first, ok := firstIndexes[value]; ok {
		p.add(path, fmt.Sprintf("is the same as that of %s[%d]", list, first))
		return
	}
	firstIndexes[value] = index
}

func (p *Problems) checkDigest(path, digest string) {
	if !digestPattern.MatchString(digest) {
		p.add(path, `must be "sha256:" and 64 hexadecimal digits in lower case`)
	}
}

// checkAddress requires an IP address with a port other than 0 and reports
// whether address is one.
func (p *Problems) checkAddress(path, address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		p.add(path, "must be an IP number with a port, such as 10.0.0.1:8080")
		return false
	}
	return true
}

// listenersConflict reports whether one process can't listen on both addresses:
// they have the same port, and the same host or a wildcard as one of the hosts.
func listenersConflict(a, b string) bool {
	hostA, portA, errA := net.SplitHostPort(a)
	hostB, portB, errB := net.SplitHostPort(b)
	if errA != nil || errB != nil || portA != portB {
		return false
	}
	return hostA == hostB || isWildcardHost(hostA) || isWildcardHost(hostB)
}

func isWildcardHost(host string) bool { return host == "0.0.0.0" || host == "::" }

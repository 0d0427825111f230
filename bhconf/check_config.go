package bhconf

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Limits of a configuration. Those without a comment are lengths of lists;
// MaxKeys applies to each account.
const (
	MaxAccounts  = 20000
	MaxKeys      = 1000
	MaxModels    = 1000
	MaxGroups    = 1000
	MaxUpstreams = 20000
	MaxRoutes    = 1000
	// MaxRate is the highest rate in requests per second, and the largest burst
	// in requests.
	MaxRate = 1e6
	// MaxWeight is the largest weight of an account.
	MaxWeight = 1000
	// MaxSlots is the largest number of requests that an upstream may run at
	// once.
	MaxSlots = 10000
	// MaxRouteTimeout is the longest timeout of a route.
	MaxRouteTimeout = time.Hour

	// maxPrefixBytes is the longest path prefix of a route.
	maxPrefixBytes = 256
)

// reservedPrefix is the path prefix of the APIs that entries serve themselves.
// Routes can't use it.
const reservedPrefix = "/v1"

var routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Check returns every problem in the configuration, or nil if it is valid.
func (c Config) Check() Problems {
	checker := &checker{config: c, groupKinds: make(map[string]Kind)}
	if c.Format != Format {
		checker.add("format", fmt.Sprintf("must be %d", Format))
	}
	for _, group := range c.Groups {
		if _, ok := checker.groupKinds[group.Name]; !ok {
			checker.groupKinds[group.Name] = group.Kind
		}
	}
	checker.checkSizes()
	checker.checkAccounts()
	checker.checkGroups()
	checker.checkModels()
	checker.checkUpstreams()
	checker.checkRoutes()
	return checker.Problems
}

// checker collects the problems of one configuration.
type checker struct {
	Problems
	config Config
	// groupKinds holds the kinds of the groups by name. Of groups with the same
	// name, the first one counts.
	groupKinds map[string]Kind
}

func (c *checker) checkSizes() {
	sizes := []struct {
		path      string
		size, max int
	}{
		{"accounts", len(c.config.Accounts), MaxAccounts},
		{"models", len(c.config.Models), MaxModels},
		{"groups", len(c.config.Groups), MaxGroups},
		{"upstreams", len(c.config.Upstreams), MaxUpstreams},
		{"routes", len(c.config.Routes), MaxRoutes},
	}
	for _, list := range sizes {
		if list.size > list.max {
			c.add(list.path, fmt.Sprintf("has %d elements, at most %d are allowed", list.size, list.max))
		}
	}
}

func (c *checker) checkAccounts() {
	names, digests := make(map[string]int), make(map[string]int)
	for i, account := range c.config.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		c.checkName(path+".name", account.Name)
		c.checkUnique(path+".name", "accounts", account.Name, i, names)
		c.checkNumber(path+".rate", account.Rate, 0, MaxRate)
		c.checkNumber(path+".burst", account.Burst, 1, MaxRate)
		if account.Weight != 0 {
			c.checkNumber(path+".weight", account.Weight, 0, MaxWeight)
		}
		if len(account.Keys) > MaxKeys {
			c.add(path+".keys", fmt.Sprintf("has %d elements, at most %d are allowed", len(account.Keys), MaxKeys))
		}
		c.checkKeys(path, i, account.Keys, digests)
	}
}

func (c *checker) checkKeys(accountPath string, accountIndex int, keys []Key, digests map[string]int) {
	names := make(map[string]int)
	for i, key := range keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", accountPath, i)
		c.checkName(keyPath+".name", key.Name)
		c.checkUnique(keyPath+".name", accountPath+".keys", key.Name, i, names)
		if plaintextKeyPattern.MatchString(key.Digest) {
			c.add(keyPath+".digest", "holds a key in clear text; write its digest")
			continue
		}
		c.checkDigest(keyPath+".digest", key.Digest)
		c.checkUnique(keyPath+".digest", "a key of accounts", key.Digest, accountIndex, digests)
	}
}

// checkNumber requires that value is at least minimum, or above 0 if minimum is
// 0, and at most maximum.
func (c *checker) checkNumber(path string, value, minimum, maximum float64) {
	switch {
	case math.IsNaN(value) || value < minimum || value == 0:
		if minimum == 0 {
			c.add(path, "must be above 0")
			return
		}
		c.add(path, fmt.Sprintf("must be at least %g", minimum))
	case value > maximum:
		c.add(path, fmt.Sprintf("must be at most %g", maximum))
	}
}

func (c *checker) checkGroups() {
	names := make(map[string]int)
	for i, group := range c.config.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		c.checkName(path+".name", group.Name)
		c.checkUnique(path+".name", "groups", group.Name, i, names)
		if group.Kind != KindEngine && group.Kind != KindPlain {
			c.add(path+".kind", "must be engine or plain")
		}
		if !(group.Rise >= 0 && group.Rise <= 1) {
			c.add(path+".rise", "must be from 0 to 1")
		}
	}
}

func (c *checker) checkModels() {
	names := make(map[string]int)
	for i, model := range c.config.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.checkName(path+".name", model.Name)
		c.checkUnique(path+".name", "models", model.Name, i, names)
		c.checkName(path+".version", model.Version)
		c.checkGroup(path+".group", model.Group, KindEngine)
	}
}

// checkGroup requires that the named group exists and, if kind isn't empty, is of
// that kind.
func (c *checker) checkGroup(path, name string, kind Kind) {
	declared, ok := c.groupKinds[name]
	switch {
	case !ok:
		c.add(path, fmt.Sprintf("names the unknown group %q", name))
	case kind != "" && declared != kind:
		c.add(path, fmt.Sprintf("must be a group of the kind %s", kind))
	}
}

func (c *checker) checkUpstreams() {
	names, addresses := make(map[string]int), make(map[string]int)
	for i, upstream := range c.config.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.checkName(path+".name", upstream.Name)
		c.checkUnique(path+".name", "upstreams", upstream.Name, i, names)
		c.checkGroup(path+".group", upstream.Group, "")
		c.checkName(path+".host", upstream.Host)
		if c.checkAddress(path+".address", upstream.Address) {
			c.checkUnique(path+".address", "upstreams", addressKey(upstream), i, addresses)
		}
		if upstream.Slots < 1 || upstream.Slots > MaxSlots {
			c.add(path+".slots", fmt.Sprintf("must be 1 to %d", MaxSlots))
		}
		if !slices.Contains([]State{"", StateServe, StateLeave}, upstream.State) {
			c.add(path+".state", "must be serve or leave")
		}
	}
}

// addressKey returns the key by which duplicate addresses are found. It contains
// the host for a loopback address, because each host has its own loopback.
func addressKey(upstream Upstream) string {
	address, err := netip.ParseAddrPort(upstream.Address)
	if err == nil && address.Addr().IsLoopback() {
		return upstream.Host + " " + upstream.Address
	}
	return upstream.Address
}

func (c *checker) checkRoutes() {
	prefixes := make(map[string]int)
	for i, route := range c.config.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.checkPrefix(path+".prefix", route.Prefix)
		c.checkUnique(path+".prefix", "routes", route.Prefix, i, prefixes)
		c.checkGroup(path+".group", route.Group, KindPlain)
		for j, method := range route.Idempotent {
			methodPath := fmt.Sprintf("%s.idempotent[%d]", path, j)
			if !slices.Contains(routeMethods, method) {
				c.add(methodPath, "must be one of "+strings.Join(routeMethods, ", "))
			}
			if slices.Contains(route.Idempotent[:j], method) {
				c.add(methodPath, "stands twice")
			}
		}
		if timeout := time.Duration(route.Timeout); timeout < 0 || timeout > MaxRouteTimeout {
			c.add(path+".timeout", fmt.Sprintf("must be 0 to %s", MaxRouteTimeout))
		}
	}
}

func (c *checker) checkPrefix(path, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/") || strings.ContainsAny(prefix, "?#% \t\r\n\\") || strings.Contains(prefix, "//"):
		c.add(path, "must be a path such as /bookings")
	case len(prefix) > maxPrefixBytes:
		c.add(path, fmt.Sprintf("must have at most %d characters", maxPrefixBytes))
	case prefix == reservedPrefix || strings.HasPrefix(prefix, reservedPrefix+"/"):
		c.add(path, "is kept for the entry itself")
	}
}

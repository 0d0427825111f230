package bhpolicy

import (
	"net"
	"slices"
	"strings"
)

// Index finds the routes, services and accounts of one Policy. It is immutable
// and safe for concurrent use.
type Index struct {
	Policy *Policy
	// routesByHost holds the routes of each lower-case host, longest prefix
	// first.
	routesByHost   map[string][]*Route
	routesByName   map[string]*Route
	accountsByKey  map[string]*Account
	accountsByName map[string]*Account
	servicesByName map[string]*Service
	// named holds the services that the policy lists or that a route leads to.
	named map[string]bool
}

// NewIndex returns the index of a policy, which must not change afterwards.
func NewIndex(policy *Policy) *Index {
	index := &Index{
		Policy:         policy,
		routesByHost:   make(map[string][]*Route),
		routesByName:   make(map[string]*Route),
		accountsByKey:  make(map[string]*Account),
		accountsByName: make(map[string]*Account),
		servicesByName: make(map[string]*Service),
		named:          make(map[string]bool),
	}
	for i := range policy.Services {
		index.servicesByName[policy.Services[i].Name] = &policy.Services[i]
		index.named[policy.Services[i].Name] = true
	}
	for i := range policy.Routes {
		route := &policy.Routes[i]
		index.routesByName[route.Name] = route
		for _, backend := range route.Backends {
			index.named[backend.Service] = true
		}
		host := hostWithoutPort(route.Host)
		index.routesByHost[host] = append(index.routesByHost[host], route)
	}
	for _, routes := range index.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range policy.Accounts {
		account := &policy.Accounts[i]
		index.accountsByName[account.Name] = account
		for _, key := range account.Keys {
			index.accountsByKey[key] = account
		}
	}
	return index
}

// Route returns the route for requests to the host and target, or nil. If several
// prefixes match, the longest one wins. The host may have a port, which is
// ignored, and is compared without regard to case. The target is a request's path
// with or without a query; prefixes are compared with the path as it was sent.
func (i *Index) Route(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, route := range i.routesByHost[hostWithoutPort(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RouteNamed returns the route with the given name, or nil.
func (i *Index) RouteNamed(name string) *Route { return i.routesByName[name] }

// ServiceNamed returns the service with the given name, or nil.
func (i *Index) ServiceNamed(name string) *Service { return i.servicesByName[name] }

// Names reports whether the policy lists the service or has a route that leads to it.
func (i *Index) Names(service string) bool { return i.named[service] }

// IsEngineService reports whether the service's upstreams are engines.
func (i *Index) IsEngineService(service string) bool {
	known := i.servicesByName[service]
	return known != nil && known.Slots > 0
}

// RequiresKeys reports whether requests to routes that aren't public need a key:
// they do if the policy has accounts.
func (i *Index) RequiresKeys() bool { return len(i.Policy.Accounts) > 0 }

// AccountByKey returns the account with the given key, or nil.
func (i *Index) AccountByKey(key string) *Account {
	if key == "" {
		return nil
	}
	return i.accountsByKey[key]
}

// AccountNamed returns the account with the given name, or nil.
func (i *Index) AccountNamed(name string) *Account { return i.accountsByName[name] }

// hostWithoutPort returns the host in lower case and without its port.
func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

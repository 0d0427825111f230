package bhpolicy

import (
	"net"
	"slices"
	"strings"
)

// Index answers questions about one Policy. It is not changed after NewIndex.
type Index struct {
	Policy   *Policy
	routes   map[string][]*Route
	names    map[string]*Route
	keys     map[string]*Account
	accounts map[string]*Account
	engines  map[string]bool
}

// NewIndex returns the index of a policy.
func NewIndex(policy *Policy) *Index {
	index := &Index{
		Policy:   policy,
		routes:   make(map[string][]*Route),
		names:    make(map[string]*Route),
		keys:     make(map[string]*Account),
		accounts: make(map[string]*Account),
		engines:  make(map[string]bool),
	}
	for _, service := range policy.Services {
		index.engines[service.Name] = service.Slots > 0
	}
	for i := range policy.Routes {
		route := &policy.Routes[i]
		index.names[route.Name] = route
		host := hostOnly(route.Host)
		index.routes[host] = append(index.routes[host], route)
	}
	for _, routes := range index.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range policy.Accounts {
		account := &policy.Accounts[i]
		index.accounts[account.Name] = account
		for _, key := range account.Keys {
			index.keys[key] = account
		}
	}
	return index
}

// Route returns the route of the host with the longest prefix of the target,
// or nil. The target is a request's path with or without a query.
func (i *Index) Route(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, route := range i.routes[hostOnly(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RouteNamed returns the route with the name, or nil.
func (i *Index) RouteNamed(name string) *Route { return i.names[name] }

// Engine reports whether the service's upstreams are engines.
func (i *Index) Engine(service string) bool { return i.engines[service] }

// Keyed reports whether requests need keys at all.
func (i *Index) Keyed() bool { return len(i.Policy.Accounts) > 0 }

// Account returns the account that holds the key, or nil.
func (i *Index) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return i.keys[key]
}

// AccountNamed returns the account with the name, or nil.
func (i *Index) AccountNamed(name string) *Account { return i.accounts[name] }

// hostOnly returns the lower-case host without a port.
func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

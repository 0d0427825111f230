package bhwatch

import (
	"slices"
	"strings"
	"time"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// RoutePlace is what the requests of a route have in common.
type RoutePlace struct{ Host, Prefix string }

// placeOf returns the place of the route.
func placeOf(route *bhpolicy.Route) RoutePlace {
	return RoutePlace{Host: strings.ToLower(route.Host), Prefix: route.Prefix}
}

// overlaps reports whether a path may belong to both places.
func (p RoutePlace) overlaps(other RoutePlace) bool {
	return p.Host == other.Host && (strings.HasPrefix(p.Prefix, other.Prefix) || strings.HasPrefix(other.Prefix, p.Prefix))
}

// RouteTimes holds since when the paths of each route lead to the services that they lead to
// now. It isn't changed once it is part of a View. Times are of the watcher's clock.
type RouteTimes map[RoutePlace]time.Duration

// Unchanged reports whether the paths of the route have led to the same services for the window
// before now, as far as this is known.
func (t RouteTimes) Unchanged(route *bhpolicy.Route, now, window time.Duration) bool {
	since, ok := t[placeOf(route)]
	return ok && since <= now-window
}

// update returns the times after a policy was replaced by another one at the given time. The
// earlier policy is nil if it isn't known.
func (t RouteTimes) update(earlier, policy *bhpolicy.Policy, now time.Duration) RouteTimes {
	before, after := servicesByPlace(earlier), servicesByPlace(policy)
	var changed []RoutePlace
	for place, services := range before {
		if remaining, ok := after[place]; !ok || !slices.Equal(services, remaining) {
			changed = append(changed, place)
		}
	}
	for place := range after {
		if _, ok := before[place]; !ok {
			changed = append(changed, place)
		}
	}
	updated := make(RouteTimes, len(after))
	for place := range after {
		since, ok := t[place]
		if !ok || slices.ContainsFunc(changed, place.overlaps) {
			since = now
		}
		updated[place] = since
	}
	return updated
}

// servicesByPlace returns the services of each route in order. Weights don't matter: a service
// without one may have begun streams before.
func servicesByPlace(policy *bhpolicy.Policy) map[RoutePlace][]string {
	byPlace := make(map[RoutePlace][]string)
	if policy == nil {
		return byPlace
	}
	for i := range policy.Routes {
		route := &policy.Routes[i]
		var services []string
		for _, backend := range route.Backends {
			services = append(services, backend.Service)
		}
		slices.Sort(services)
		byPlace[placeOf(route)] = services
	}
	return byPlace
}

package bhwatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// View is a snapshot of the policy and the upstreams that a Watcher has read.
type View struct {
	// Index is the indexed policy; nil if none has been read yet.
	Index *bhpolicy.Index
	// ProvenAt is the latest time of Config.Clock at which Index was certainly in
	// force: when the latest successful read of the policy was sent.
	ProvenAt time.Duration
	// Fleet holds the upstreams by service; nil if none have been read yet.
	Fleet map[string][]Instance
	// Contested holds the addresses at which several upstreams are listed, and no process has said
	// which one it is.
	Contested map[string]bool
	// Versions holds the software versions of the services' upstreams.
	Versions Versions
	// Evacuated holds the data centres whose upstreams must get no new requests.
	Evacuated map[string]bool
	// Routes tells since when the routes lead to their services.
	Routes RouteTimes
}

// Available returns the upstreams of the service outside the evacuated data centres.
func (v *View) Available(service string) []Instance {
	listed := v.Fleet[service]
	if len(v.Evacuated) == 0 {
		return listed
	}
	return slices.DeleteFunc(slices.Clone(listed), func(instance Instance) bool { return v.Evacuated[instance.Zone] })
}

// At returns the upstream at the address, of a service that the policy names, or false if
// none is listed. If several are, it returns a ready one if there is one, and of these the
// one that started last.
func (v *View) At(address string) (Instance, bool) {
	var found []Instance
	for service, instances := range v.Fleet {
		if v.Index != nil && !v.Index.Names(service) {
			continue
		}
		for _, instance := range instances {
			if instance.Address == address {
				found = append(found, instance)
			}
		}
	}
	if len(found) == 0 {
		return Instance{}, false
	}
	return slices.MinFunc(found, func(a, b Instance) int {
		if a.Draining != b.Draining {
			if a.Draining {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.Born, a.Born), cmp.Compare(a.ID, b.ID))
	}), true
}

// Serves reports whether the view lists this start of the instance as ready.
func (v *View) Serves(instance Instance) bool {
	for _, listed := range v.Fleet[instance.Service] {
		if listed.ID == instance.ID && listed.Born == instance.Born {
			return !listed.Draining
		}
	}
	return false
}

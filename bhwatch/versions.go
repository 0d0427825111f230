package bhwatch

import (
	"maps"
	"time"
)

// versionMemory is how long a version of a service is remembered that isn't listed any
// more. It exceeds the time within which clients come back for a stream.
const versionMemory = 2 * time.Minute

// Versions holds the software versions of each service that were listed lately. It
// isn't changed once it is part of a View. Times are of the watcher's clock.
type Versions struct {
	// Since is when the first list was read of those without an outage between them, and
	// ReadAt when the read of the newest one was sent. Both are zero before.
	Since  time.Duration
	ReadAt time.Duration
	// LastListed is when a version of a service was last listed, by service and
	// version.
	LastListed map[string]map[string]time.Duration
}

// Only returns the version of a service if it is the only one that was listed since
// the given time, as far as this is known.
func (v Versions) Only(service string, since time.Duration) (string, bool) {
	only, count := "", 0
	for version, listed := range v.LastListed[service] {
		if listed >= since {
			only = version
			count++
		}
	}
	return only, count == 1
}

// Cover reports whether the lists of the window before now are known: the first one
// was read before it, and the newest one is no older than an outage.
func (v Versions) Cover(now, window time.Duration) bool {
	return v.Since > 0 && v.Since <= now-window && now-v.ReadAt <= DefaultInterval+outageThreshold
}

// update returns the versions after a list whose read was sent at the given time.
func (v Versions) update(instances map[string]Instance, sent time.Duration) Versions {
	updated := Versions{Since: v.Since, ReadAt: sent, LastListed: make(map[string]map[string]time.Duration)}
	if updated.Since == 0 || sent-v.ReadAt > DefaultInterval+outageThreshold {
		updated.Since = sent
	}
	for service, versions := range v.LastListed {
		kept := maps.Clone(versions)
		maps.DeleteFunc(kept, func(_ string, listed time.Duration) bool { return listed < sent-versionMemory })
		updated.LastListed[service] = kept
	}
	for _, instance := range instances {
		if updated.LastListed[instance.Service] == nil {
			updated.LastListed[instance.Service] = make(map[string]time.Duration)
		}
		updated.LastListed[instance.Service][instance.Version] = sent
	}
	return updated
}

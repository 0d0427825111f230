package bhwatch

import (
	"maps"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// Directives are what the operator has written to the platform: the policy and the
// evacuations.
type Directives struct {
	// Version is the newest version in the platform's store at the time of the read.
	Version bhplatform.Version
	// Policy is nil if it can't be used, or if its record is the known one. PolicyVersion is
	// the version of its record, and PolicyErr says why it can't be used.
	Policy        *bhpolicy.Policy
	PolicyVersion bhplatform.Version
	PolicyErr     error
	// Evacuated holds the data centres whose upstreams must get no new requests.
	Evacuated map[string]bool
}

// evacuations are the evacuated data centres by the newest directives. They hold while the
// platform can't be read.
type evacuations struct {
	version bhplatform.Version
	// centres isn't changed, since views hold it.
	centres map[string]bool
}

// update adopts the directives unless newer ones are known, and logs what changes.
func (e *evacuations) update(directives Directives, logger bhlog.Logger) {
	if directives.Version < e.version {
		return
	}
	e.version = directives.Version
	if maps.Equal(e.centres, directives.Evacuated) {
		return
	}
	for centre := range directives.Evacuated {
		if !e.centres[centre] {
			bhlog.Event(logger, "centre.evacuated", "centre", centre, "store_version", e.version)
		}
	}
	for centre := range e.centres {
		if !directives.Evacuated[centre] {
			bhlog.Event(logger, "centre.restored", "centre", centre, "store_version", e.version)
		}
	}
	e.centres = directives.Evacuated
}

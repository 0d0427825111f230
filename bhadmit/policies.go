package bhadmit

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhshare"
)

// Names of the policies, for settings.
const (
	NameObjective = "objective"
	NameDeadline  = "deadline"
	NameAlways    = "always"
)

// Names lists the names of the policies, the default first.
func Names() []string { return []string{NameObjective, NameDeadline, NameAlways} }

// Decider is an Admission of any policy.
type Decider interface {
	Decide(request Request, best Engine, times Times) Decision
}

// ByName returns the admission of the policy with the name.
func ByName(name string) (Decider, error) {
	switch name {
	case NameObjective:
		return &Admission[Ordered[ByObjective]]{}, nil
	case NameDeadline:
		return &Admission[Ordered[ByDeadline]]{}, nil
	case NameAlways:
		return &Admission[Always]{}, nil
	}
	return nil, errors.Errorf("admission policy %q is none of %q", name, Names())
}

// Ordered admits like P, but only requests that don't yield to other callers may wait
// for a slot. Those that yield run where a slot is free.
type Ordered[P Policy] struct{ Policy P }

// MaxWait implements Policy.
func (o Ordered[P]) MaxWait(request Request, times Times) time.Duration {
	if request.Standing.Yields() != bhshare.None {
		return 0
	}
	return o.Policy.MaxWait(request, times)
}

// Always admits every request: engines queue them in order of arrival.
type Always struct{}

// MaxWait implements Policy.
func (Always) MaxWait(Request, Times) time.Duration { return math.MaxInt64 }

// ByDeadline admits what can be served before its deadline.
type ByDeadline struct{}

// MaxWait implements Policy.
func (ByDeadline) MaxWait(request Request, times Times) time.Duration {
	return request.Deadline - times.Whole
}

// ByObjective admits what gets its first token in time. Where there is no
// objective, or it is over already, it admits what can be served before the
// deadline.
//
// Clients that return after a refusal aren't preferred: while a burst lasts they
// would take all slots, and each client would have to be refused once.
type ByObjective struct{}

// certainShare is the part of the time left to the objective that an expected wait
// may take. The wait is an average.
const certainShare = 0.7

// MaxWait implements Policy.
func (ByObjective) MaxWait(request Request, times Times) time.Duration {
	latest := request.Deadline - times.Whole
	if request.Objective <= 0 {
		return latest
	}
	return min(time.Duration(certainShare*float64(request.Objective-times.First)), latest)
}

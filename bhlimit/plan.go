package bhlimit

import (
	"slices"
	"strings"
	"time"
)

// plan returns the next epoch if this host should propose one now. One host
// proposes at a time, the next in order a second later. A host that hears too
// few members to close the current epoch proposes nothing.
func (f *fence) plan(now time.Time) (Epoch, bool) {
	members := f.desired(now)
	paused := now.Sub(f.planned) > f.terms.Silence/2
	f.planned = now
	if slices.Equal(members, f.epoch.Members) || len(members) == 0 {
		f.wanted = time.Time{}
		return Epoch{}, false
	}
	if f.wanted.IsZero() || paused {
		f.wanted = now
	}
	wait := f.terms.Silence/4 + time.Duration(f.rank(members))*time.Second
	ready := f.closed || f.epoch.Number == 0
	if !ready || !f.enough(now) || now.Sub(f.wanted) < wait {
		return Epoch{}, false
	}
	return f.epoch.next(members), true
}

// enough reports whether the host hears enough hosts of the current epoch to
// be certain later that nobody acts on it.
func (f *fence) enough(now time.Time) bool {
	heard := 0
	for _, m := range f.epoch.Members {
		if m.Host == f.self.Host || f.alive(now, m.Host) {
			heard++
		}
	}
	size := len(f.epoch.Members)
	return heard >= size-size/2
}

// desired returns the members that the next epoch should have, in order of
// host. A member that only some members hear stays.
func (f *fence) desired(now time.Time) []Member {
	var members []Member
	if !f.leaving {
		members = append(members, f.self)
	}
	for host, p := range f.peers {
		if f.alive(now, host) && !p.leaving {
			members = append(members, p.member)
		}
	}
	for i, m := range f.epoch.Members {
		p := f.peers[m.Host]
		unheard := m.Host != f.self.Host && !f.alive(now, m.Host)
		if unheard && f.reported(now, i) && (p == nil || !p.leaving) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return members
}

// reported reports whether a peer that is heard hears the member.
func (f *fence) reported(now time.Time, index int) bool {
	for host, p := range f.peers {
		same := p.epoch == f.epoch.Number && f.alive(now, host)
		if same && p.seen&bit(index) != 0 {
			return true
		}
	}
	return false
}

// rank returns the host's place among the members that may propose.
func (f *fence) rank(members []Member) int {
	rank := 0
	for _, m := range members {
		if m.Host < f.self.Host {
			rank++
		}
	}
	return rank
}

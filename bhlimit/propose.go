package bhlimit

import (
	"slices"
	"strings"
	"time"
)

// proposeEpoch returns the next epoch if this host should propose one now.
// The members propose in order of host, each a second after the one before,
// so that usually only one of them writes. A host that hears too few members
// to close the current epoch later proposes nothing.
func (ms *membership) proposeEpoch(now time.Time) (Epoch, bool) {
	members := ms.desiredMembers(now)
	paused := now.Sub(ms.lastProposalCheck) > ms.timings.PeerTimeout/2
	ms.lastProposalCheck = now
	if slices.Equal(members, ms.epoch.Members) || len(members) == 0 {
		ms.changeWantedSince = time.Time{}
		return Epoch{}, false
	}
	if ms.changeWantedSince.IsZero() || paused {
		ms.changeWantedSince = now
	}
	wait := ms.timings.PeerTimeout/4 + time.Duration(ms.proposerRank(members))*time.Second
	ready := ms.previousClosed || ms.epoch.Number == 0
	if !ready || !ms.hearsEnoughToClose(now) || now.Sub(ms.changeWantedSince) < wait {
		return Epoch{}, false
	}
	return ms.epoch.successor(members), true
}

// hearsEnoughToClose reports whether this host hears enough members of the
// current epoch to close it later: once they have left it, the other members
// are no majority and can't confirm it.
func (ms *membership) hearsEnoughToClose(now time.Time) bool {
	heard := 0
	for _, m := range ms.epoch.Members {
		if m.Host == ms.self.Host || ms.alive(now, m.Host) {
			heard++
		}
	}
	size := len(ms.epoch.Members)
	return heard >= size-size/2
}

// desiredMembers returns the members that the next epoch should have, in
// order of host. A member that this host doesn't hear stays if another peer
// hears it.
func (ms *membership) desiredMembers(now time.Time) []Member {
	var members []Member
	if !ms.leaving {
		members = append(members, ms.self)
	}
	for host, p := range ms.peers {
		if ms.alive(now, host) && !p.leaving {
			members = append(members, p.member)
		}
	}
	for i, m := range ms.epoch.Members {
		p := ms.peers[m.Host]
		unheard := m.Host != ms.self.Host && !ms.alive(now, m.Host)
		if unheard && ms.heardByPeer(now, i) && (p == nil || !p.leaving) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return members
}

// heardByPeer reports whether a live peer in the current epoch hears the
// member with the index.
func (ms *membership) heardByPeer(now time.Time, memberIndex int) bool {
	for host, p := range ms.peers {
		sameEpoch := p.epoch == ms.epoch.Number && ms.alive(now, host)
		if sameEpoch && p.heardMembers&bit(memberIndex) != 0 {
			return true
		}
	}
	return false
}

// proposerRank returns how many of the members come before this host in the
// order of proposers.
func (ms *membership) proposerRank(members []Member) int {
	rank := 0
	for _, m := range members {
		if m.Host < ms.self.Host {
			rank++
		}
	}
	return rank
}

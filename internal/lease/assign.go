package lease

import (
	"cmp"
	"slices"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// chooseMembers chooses the members of the next roster from the eligible instances.
// It spreads them over the failure domains, keeps current members where possible, and
// grows only to odd sizes, because one member more tolerates no more failures.
func chooseMembers(current, eligible []Member, limit int) []Member {
	kept := keepEligible(current, eligible)
	size := max(largestOdd(min(len(eligible), limit)), min(len(kept), limit))
	isCurrent := instanceSet(current)
	domains := groupByDomain(eligible, isCurrent)
	var chosen []Member
	for round := 0; len(chosen) < size; round++ {
		for _, d := range domains {
			if round < len(d) && len(chosen) < size {
				chosen = append(chosen, d[round])
			}
		}
	}
	slices.SortFunc(chosen, compareMembers)
	return chosen
}

func largestOdd(n int) int {
	if n%2 == 0 {
		return max(n-1, 0)
	}
	return n
}

func keepEligible(current, eligible []Member) []Member {
	isEligible := instanceSet(eligible)
	return slices.DeleteFunc(slices.Clone(current), func(m Member) bool { return !isEligible[m.Instance] })
}

func instanceSet(members []Member) map[ident.Instance]bool {
	set := make(map[ident.Instance]bool, len(members))
	for _, m := range members {
		set[m.Instance] = true
	}
	return set
}

// groupByDomain groups by failure domain, with current members first in each group and
// the groups with the most current members first.
func groupByDomain(eligible []Member, current map[ident.Instance]bool) [][]Member {
	groups := map[ident.Place][]Member{}
	for _, m := range eligible {
		groups[m.Place] = append(groups[m.Place], m)
	}
	count := map[ident.Place]int{}
	var places []ident.Place
	for place, members := range groups {
		slices.SortFunc(members, func(a, b Member) int {
			return cmp.Or(-compareBool(current[a.Instance], current[b.Instance]), compareMembers(a, b))
		})
		for _, m := range members {
			if current[m.Instance] {
				count[place]++
			}
		}
		places = append(places, place)
	}
	slices.SortFunc(places, func(a, b ident.Place) int {
		return cmp.Or(cmp.Compare(count[b], count[a]),
			cmp.Compare(a.Region, b.Region), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	var out [][]Member
	for _, place := range places {
		out = append(out, groups[place])
	}
	return out
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

func compareMembers(a, b Member) int {
	return compareInstances(a.Instance, b.Instance)
}

func compareInstances(a, b ident.Instance) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// nextRoster returns the successor of r with the given members. Slots are spread
// evenly. Only those of removed members, and those above a member's quota, move.
func nextRoster(r Roster, members []Member) Roster {
	next := Roster{
		Version: r.Version + 1,
		Members: members,
		Prev:    slices.Clone(r.Members),
		Slots:   make([]Slot, len(r.Slots)),
	}
	load := make([]int, len(members))
	quota := quotas(r, members)
	var unassigned []int
	for i, s := range r.Slots {
		holder := next.Index(r.Members[s.Holder].Instance)
		if holder == noIndex || load[holder] >= quota[holder] {
			unassigned = append(unassigned, i)
			continue
		}
		load[holder]++
		next.Slots[i] = Slot{Holder: holder, Epoch: s.Epoch, PrevHolder: noIndex}
	}
	for _, i := range unassigned {
		holder := leastLoaded(load, quota)
		load[holder]++
		next.Slots[i] = Slot{Holder: holder, Epoch: next.Version, PrevHolder: r.Slots[i].Holder}
	}
	return next
}

// quotas returns each member's even share of the slots. The remainder goes to the members
// that hold most in r, so that few slots move.
func quotas(r Roster, members []Member) []int {
	held := make([]int, len(members))
	next := Roster{Members: members}
	for _, s := range r.Slots {
		if i := next.Index(r.Members[s.Holder].Instance); i != noIndex {
			held[i]++
		}
	}
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(held[b], held[a]) })
	quota := make([]int, len(members))
	for rank, i := range order {
		quota[i] = len(r.Slots) / len(members)
		if rank < len(r.Slots)%len(members) {
			quota[i]++
		}
	}
	return quota
}

func leastLoaded(load, quota []int) int {
	best := 0
	for i := range load {
		if load[i]-quota[i] < load[best]-quota[best] {
			best = i
		}
	}
	return best
}

// firstRoster returns version 1, which has no former members.
func firstRoster(members []Member, slots int) Roster {
	r := Roster{Version: 1, Members: members, Slots: make([]Slot, slots)}
	for i := range r.Slots {
		r.Slots[i] = Slot{Holder: i % len(members), Epoch: 1, PrevHolder: noIndex}
	}
	return r
}

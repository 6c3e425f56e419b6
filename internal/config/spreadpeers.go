package config

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// updateReady makes this VM ready once SeekDomains failure domains have reported no newer
// version or SeekTimeout has passed.
func (s *Spread) updateReady(now time.Duration) {
	if s.ready || !s.hasAdopted {
		return
	}
	if len(s.answeredDomains) >= s.cfg.SeekDomains || now-s.firstAdoptedAt >= s.cfg.SeekTimeout {
		s.ready = true
	}
}

// recordAnswer adds the failure domain of a peer to answeredDomains if the peer's version
// is not newer than the one held here.
func (s *Spread) recordAnswer(from ident.VM, version uint64) {
	if s.ready || version == 0 || version > s.Version() {
		return
	}
	for _, member := range s.members {
		if member.VM == from && member.Domain != s.cfg.Domain {
			s.answeredDomains[member.Domain] = true
		}
	}
}

// seek asks one peer in each failure domain for its version while this VM is not ready.
func (s *Spread) seek(now time.Duration) []SpreadAction {
	if s.ready || now < s.nextSeek {
		return nil
	}
	s.nextSeek = now + s.cfg.PullTimeout
	byDomain := map[ident.FailureDomain][]ident.VM{}
	for _, member := range s.members {
		if member.VM != s.cfg.Self {
			byDomain[member.Domain] = append(byDomain[member.Domain], member.VM)
		}
	}
	var actions []SpreadAction
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		vms := byDomain[domain]
		actions = append(actions, SendVersion{To: vms[s.rng.IntN(len(vms))], WantsReply: true})
	}
	return actions
}

// report sends this VM's version to the collectors.
func (s *Spread) report(now time.Duration) []SpreadAction {
	s.reports[s.cfg.Self] = VersionReport{Version: s.Version(), At: now}
	return s.sendVersion(s.collectors)
}

func (s *Spread) sendVersion(peers []ident.VM) []SpreadAction {
	var actions []SpreadAction
	for _, peer := range peers {
		if peer != s.cfg.Self {
			actions = append(actions, SendVersion{To: peer, Version: s.Version()})
		}
	}
	return actions
}

// pickPeers returns up to n other members at random.
func (s *Spread) pickPeers(n int) []ident.VM {
	var peers []ident.VM
	for _, i := range s.rng.Perm(len(s.members)) {
		if len(peers) == n {
			break
		}
		if s.members[i].VM != s.cfg.Self {
			peers = append(peers, s.members[i].VM)
		}
	}
	return peers
}

func (s *Spread) handlePeerVersion(now time.Duration, ev PeerVersion) []SpreadAction {
	s.reports[ev.From] = VersionReport{Version: ev.Version, At: now}
	s.recordAnswer(ev.From, ev.Version)
	s.updateReady(now)
	if ev.WantsReply || ev.Version < s.Version() {
		if s.Version() == 0 {
			return nil
		}
		return []SpreadAction{SendVersion{To: ev.From, Version: s.Version()}}
	}
	if ev.Version > s.Version() {
		return s.pull(now, ev.From)
	}
	return nil
}

// pull requests the newer version of a peer, from one peer at a time.
func (s *Spread) pull(now time.Duration, from ident.VM) []SpreadAction {
	if s.pullFrom != "" && now-s.pullStarted < s.cfg.PullTimeout {
		return nil
	}
	s.pullFrom, s.pullStarted = from, now
	return []SpreadAction{SendPull{To: from, HeldVersion: s.Version(), HeldParts: s.held.Head.Parts}}
}

func (s *Spread) handlePeerPull(ev PeerPull) []SpreadAction {
	if ev.HeldVersion >= s.Version() {
		return nil
	}
	heldByPeer := map[PartHash]string{}
	for _, hash := range ev.HeldParts {
		heldByPeer[hash] = ""
	}
	texts := s.held.Texts()
	maps.DeleteFunc(texts, func(hash PartHash, _ string) bool {
		_, ok := heldByPeer[hash]
		return ok
	})
	return []SpreadAction{SendParts{To: ev.From, Head: s.held.Head, Texts: texts}}
}

func (s *Spread) handlePeerParts(now time.Duration, ev PeerParts) []SpreadAction {
	if ev.From == s.pullFrom {
		s.pullFrom = ""
	}
	s.reports[ev.From] = VersionReport{Version: ev.Head.Version, At: now}
	if ev.Head.Version <= s.Version() {
		return nil
	}
	texts := s.held.Texts()
	maps.Copy(texts, ev.Texts)
	actions := s.assemble(now, ev.Head, texts)
	s.recordAnswer(ev.From, ev.Head.Version)
	s.updateReady(now)
	return actions
}

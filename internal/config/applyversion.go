package config

import "slices"

// newVersion is the snapshot that accepts next over the present head.
func (a *Apply) newVersion(next State) Snapshot {
	head := Head{
		Version: a.head.Version + 1, Day: max(a.head.Day, a.sheet.Day),
		SheetHash: a.sheet.Hash, Operator: a.operator, Parts: next.Hashes(),
	}
	head.Recent = append([]AcceptedSheet{{SheetHash: a.sheet.Hash, Version: head.Version, Operator: a.operator}}, a.head.Recent...)
	head.Recent = head.Recent[:min(len(head.Recent), a.cfg.RecentSheets)]
	head.Retired = a.retired(head)
	return newSnapshot(head, next)
}

// retired lists the parts that left force within the last RetiredVersions.
func (a *Apply) retired(head Head) []RetiredPart {
	var retired []RetiredPart
	for _, part := range a.head.Retired {
		if part.Version+a.cfg.RetiredVersions >= head.Version && !slices.Contains(head.Parts, part.Hash) {
			retired = append(retired, part)
		}
	}
	for _, hash := range a.head.Parts {
		if hash != "" && !slices.Contains(head.Parts, hash) {
			retired = append(retired, RetiredPart{Hash: hash, Version: head.Version})
		}
	}
	return retired
}

func (a *Apply) storeParts() []ApplyAction {
	fresh := map[PartHash]string{}
	for hash, text := range a.next.Texts() {
		if !slices.Contains(a.head.Parts, hash) {
			fresh[hash] = text
		}
	}
	a.phase = phaseStore
	if len(fresh) == 0 {
		return a.partsStored()
	}
	return []ApplyAction{StoreParts{Texts: fresh}}
}

// expired lists the parts that the new head no longer keeps for slow readers.
func (a *Apply) expired() []PartHash {
	var expired []PartHash
	for _, part := range a.head.Retired {
		kept := slices.ContainsFunc(a.next.Head.Retired, func(r RetiredPart) bool { return r.Hash == part.Hash })
		if !kept && !slices.Contains(a.next.Head.Parts, part.Hash) {
			expired = append(expired, part.Hash)
		}
	}
	return expired
}

func findAccepted(head Head, sheetHash string) (AcceptedSheet, bool) {
	for _, accepted := range head.Recent {
		if accepted.SheetHash == sheetHash {
			return accepted, true
		}
	}
	return AcceptedSheet{}, false
}

package config

import "slices"

// newVersion returns the snapshot that puts next in force after the current head.
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

// retired lists the parts that were in force within the last RetiredVersions versions but
// are not in head.
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
	newParts := map[PartHash]string{}
	for hash, text := range a.next.Texts() {
		if !slices.Contains(a.head.Parts, hash) {
			newParts[hash] = text
		}
	}
	a.phase = phaseStoreParts
	if len(newParts) == 0 {
		return a.partsStored()
	}
	return []ApplyAction{StoreParts{Texts: newParts}}
}

// expired lists the retired parts that the new head no longer keeps.
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

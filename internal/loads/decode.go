package loads

import (
	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/wire"
)

// scopeUnknown marks messages whose loads can't be used. Receive ignores the loads of all scopes
// that it does not know.
const scopeUnknown Scope = 255

// Decode decodes a message of any build. It returns the keys of the fields that were left out
// because they have another type. The loads are left out too if they, their scope or its
// domain are missing: they would be taken for those of another set of VMs, or for no work.
func Decode(body []byte) (m Message, invalid []int, err error) {
	m.Scope = scopeUnknown
	if invalid, err = wire.Decode(body, &m); err != nil {
		return Message{}, nil, err
	}
	if m.From == "" {
		return Message{}, nil, errors.New("message without a sender")
	}
	if m.Loads == nil && m.Scope <= ScopeAll || m.Scope == ScopeDomain && m.Domain == "" {
		m.Scope = scopeUnknown
	}
	return m, invalid, nil
}

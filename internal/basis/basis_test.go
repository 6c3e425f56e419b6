package basis

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is run by an older configuration than the VM that passes it on
// knows, and against one that is refused although the receiver knows enough.
func TestDecide(t *testing.T) {
	at := func(version int64, era uint64) State { return State{Known: true, Version: version, Era: era} }
	act, refuse, late := Action{Act: true}, Action{CatchUp: true}, Action{Act: true, CatchUp: true}
	for _, c := range []struct {
		name              string
		known, message    State
		request, response Action
	}{
		{"same", at(7, 0), at(7, 0), act, act},
		{"receiver newer", at(8, 0), at(7, 0), act, act},
		{"receiver older", at(7, 0), at(8, 0), refuse, late},
		{"receiver knows nothing", State{}, at(0, 0), refuse, late},
		{"a build that does not say", at(7, 0), State{}, act, act},
		{"both know nothing", State{}, State{}, act, act},
		{"newer version of an earlier era", at(7, 1), at(8, 0), refuse, late},
		{"older version of a later era", at(8, 0), at(7, 1), act, act},
		{"same version of a later era", at(7, 0), at(7, 1), act, act},
		{"negative version", at(-2, 0), at(-1, 0), refuse, late},
	} {
		require.Equal(t, c.request, Decide(Request, c.known, c.message), c.name)
		require.Equal(t, c.response, Decide(Response, c.known, c.message), c.name)
	}
}

package settings

import (
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

type sample struct {
	addr  string
	wait  time.Duration
	level string
	peers []string
}

func declareSample(v *sample) (*cobra.Command, *Set) {
	cmd := &cobra.Command{}
	set := ForCommand(cmd)
	set.String(&v.addr, "kv-addr", "", "service", Required, Addr)
	set.Duration(&v.wait, "wait", time.Second, "wait", Positive)
	set.String(&v.level, "log-level", "info", "level", OneOf("debug", "info"))
	set.Strings(&v.peers, "peers", nil, "peers", Addrs)
	return cmd, set
}

func lookupIn(pairs map[string]string) Lookup {
	return func(name string) (string, bool) {
		v, ok := pairs[name]
		return v, ok
	}
}

func TestFlagOverridesEnvironment(t *testing.T) {
	var v sample
	cmd, set := declareSample(&v)
	require.NoError(t, cmd.ParseFlags([]string{"--kv-addr=127.0.0.1:1"}))
	err := set.Resolve(lookupIn(map[string]string{"CATKIN_KV_ADDR": "127.0.0.2:2", "CATKIN_WAIT": "3s",
		"CATKIN_PEERS": "127.0.0.1:5,127.0.0.2:5"}))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:1", v.addr)
	require.Equal(t, 3*time.Second, v.wait)
	require.Equal(t, []string{"127.0.0.1:5", "127.0.0.2:5"}, v.peers)
}

func TestResolveReportsEveryProblem(t *testing.T) {
	var v sample
	cmd, set := declareSample(&v)
	require.NoError(t, cmd.ParseFlags([]string{"--wait=-1s", "--log-level=loud", "--peers=here"}))
	err := set.Resolve(lookupIn(map[string]string{"CATKIN_KV_ADDR": "localhost"}))
	require.Error(t, err)
	for _, want := range []string{"--kv-addr", "localhost", "--wait", "-1s", "--log-level", "loud", "one of debug, info", "--peers", "here"} {
		require.ErrorContains(t, err, want)
	}
}

func TestResolveRejectsWrongType(t *testing.T) {
	var v sample
	_, set := declareSample(&v)
	err := set.Resolve(lookupIn(map[string]string{"CATKIN_KV_ADDR": "127.0.0.1:1", "CATKIN_WAIT": "soon"}))
	require.ErrorContains(t, err, "soon")
}

func FuzzResolve(f *testing.F) {
	f.Add("127.0.0.1:1", "3s", "info", "127.0.0.1:5,127.0.0.2:5")
	f.Add("localhost", "-1s", "loud", "here,\"")
	f.Fuzz(func(t *testing.T, addr, wait, level, peers string) {
		var v sample
		_, set := declareSample(&v)
		err := set.Resolve(lookupIn(map[string]string{"CATKIN_KV_ADDR": addr, "CATKIN_WAIT": wait,
			"CATKIN_LOG_LEVEL": level, "CATKIN_PEERS": peers}))
		if err == nil {
			require.NoError(t, Addr(v.addr))
			require.Positive(t, v.wait)
		}
	})
}

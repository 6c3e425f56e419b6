package ctl

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
)

const operatorKey = "0123456789abcdef"

// fakeController returns the apply outcome that a test sets and fixed data otherwise.
type fakeController struct {
	outcome config.Outcome
	err     error
}

func (f *fakeController) Config(context.Context) (config.Snapshot, error) {
	key := config.LimitKey{Team: "clubs", Service: "skrivar", Unit: config.UnitTokens}
	state := config.NewState(map[config.LimitKey]config.Limit{key: {Value: 40}})
	return config.Snapshot{Head: config.Head{Version: 3, Day: "2026-12-04"}, State: state}, nil
}

func (f *fakeController) Apply(context.Context, config.Sheet, string) (config.Outcome, error) {
	return f.outcome, f.err
}

func (f *fakeController) ConfigStatus(context.Context) (adminapi.ConfigStatus, error) {
	vms := []adminapi.VMVersion{{VM: "bergen-a-1", Version: 3, AgeMS: 1200}, {VM: "bergen-b-1", Version: 2, AgeMS: -1}}
	return adminapi.ConfigStatus{Newest: 3, VMs: vms}, nil
}

func (f *fakeController) VMs(context.Context) ([]adminapi.VM, error) {
	return []adminapi.VM{{VM: "bergen-a-1", State: "alive"}}, nil
}

func (f *fakeController) BackendServers(context.Context) ([]adminapi.BackendServer, error) {
	return nil, nil
}
func (f *fakeController) Orders(context.Context) ([]adminapi.Order, error)   { return nil, nil }
func (f *fakeController) MarkGone(context.Context, []ident.VM, string) error { return nil }
func (f *fakeController) Drain(context.Context, ident.VM, string) error      { return nil }

func (f *fakeController) Audit(context.Context, time.Time, int) ([]audit.Record, error) {
	return []audit.Record{{Who: "kari", What: "sheet.apply", SheetHash: "0123456789abcdef"}}, nil
}

// startAPI serves the API on loopback and returns its address.
func startAPI(t *testing.T, controller *fakeController) string {
	keys, err := adminapi.NewKeys(map[string]string{"kari": operatorKey})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: adminapi.Handler(controller, keys)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// closedAddr returns a loopback address without a listener.
func closedAddr(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func runCommand(args ...string) (int, string) {
	var out bytes.Buffer
	cmd := Command()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err != nil {
		out.WriteString(err.Error())
	}
	return ExitCode(err), out.String()
}

func writeSheet(t *testing.T, rows ...string) string {
	file := filepath.Join(t.TempDir(), "monday.csv")
	text := "day,team,service,limit,unit\n" + strings.Join(rows, "\n")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestExitCodes(t *testing.T) {
	valid := writeSheet(t, "2026-12-04,clubs,skrivar,60,tokens/s")
	lower := writeSheet(t, "2026-12-04,clubs,skrivar,30,tokens/s")
	invalid := writeSheet(t, "2026-12-04,clubs,skrivar,many,tokens/s")
	controller := &fakeController{}
	addr, closedAddress := startAPI(t, controller), closedAddr(t)
	withAPI := func(args ...string) []string {
		return append(args, "--addr", closedAddress+","+addr, "--key", operatorKey)
	}
	for _, c := range []struct {
		args    []string
		outcome config.OutcomeKind
		err     error
		code    int
		output  string
	}{
		{args: []string{"sheet", "check", valid}, code: ExitOK, output: "1 rows for 2026-12-04"},
		{args: []string{"sheet", "check", invalid}, code: ExitRefused, output: "monday.csv:2, column limit"},
		{args: withAPI("sheet", "diff", valid), code: ExitOK, output: "40      60"},
		{args: withAPI("sheet", "diff", lower), code: ExitRefused, output: "lowered from 40 to 30"},
		{args: withAPI("sheet", "apply", valid), outcome: config.OutcomeAccepted, code: ExitOK, output: "accepted"},
		{args: withAPI("sheet", "apply", valid), outcome: config.OutcomeRefused, code: ExitRefused, output: "refused"},
		{args: withAPI("sheet", "apply", valid), outcome: config.OutcomeUnavailable, code: ExitUnavailable},
		{args: withAPI("sheet", "apply", valid), outcome: config.OutcomeUnknown, code: ExitUnknown},
		{args: withAPI("sheet", "apply", valid), err: errors.New("too slow"), code: ExitUnknown, output: "too slow"},
		{args: withAPI("sheet", "apply", valid, "--wait", "1ms"), outcome: config.OutcomeAccepted, code: ExitRefused, output: "lag after"},
		{args: withAPI("config", "status"), code: ExitRefused, output: "lags by 1"},
		{args: withAPI("limits", "-o", "json"), code: ExitOK, output: `"value": 40`},
		{args: withAPI("nodes"), code: ExitOK, output: "bergen-a-1"},
		{args: withAPI("audit"), code: ExitOK, output: "0123456789ab "},
		{args: withAPI("drain", "bergen-a-1"), code: ExitOK, output: "bergen-a-1"},
		{args: withAPI("orders"), code: ExitOK, output: "ORDER"},
		{args: withAPI("backends"), code: ExitOK, output: "BACKEND SERVER"},
		{args: []string{"vms", "--addr", addr, "--key", "fedcba9876543210"}, code: ExitUnauthorized},
		{args: []string{"vms", "--addr", closedAddress, "--key", operatorKey}, code: ExitUnavailable, output: closedAddress},
		{args: []string{"sheet", "apply", valid, "--addr", closedAddress, "--key", operatorKey}, code: ExitUnavailable},
		{args: []string{"vms", "--addr", "nowhere"}, code: ExitUsage, output: "CATKIN_KEY"},
		{args: withAPI("vms", "-o", "xml"), code: ExitUsage, output: "table or json"},
		{args: []string{"trace", "replay", valid}, code: ExitUsage, output: "trace line 1"},
		{args: []string{"nothing"}, code: ExitUsage},
	} {
		controller.outcome, controller.err = config.Outcome{Kind: c.outcome, Version: 3}, c.err
		code, out := runCommand(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.output, "%v", c.args)
	}
}

func TestExplainAndJournalReadFiles(t *testing.T) {
	dir := t.TempDir()
	log := filepath.Join(dir, "vm.log")
	require.NoError(t, os.WriteFile(log, []byte(`{"vm":"a1","request":"r1","cause":"no-room","time":5,"message":"refused"}`+"\n"), 0o600))
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := Command()
		cmd.SetOut(&out)
		cmd.SetArgs(args)
		err := cmd.Execute()
		return out.String(), err
	}
	text, err := run("explain", "r1", log)
	require.NoError(t, err)
	require.Contains(t, text, "outcome: refused cause=no-room")
	_, err = run("explain", "r2", log)
	require.ErrorContains(t, err, "no line of request r2")
	_, err = run("explain", "r1", filepath.Join(dir, "none.log"))
	require.ErrorContains(t, err, "none.log")
	_, err = run("journal", dir)
	require.ErrorContains(t, err, "holds no entries")
	entry := `{"at":["2026-12-04T04:51:27Z"],"cmd":"score","head":"0de6ded8a1","site":"s","score":0.9,"days":[{"name":"quiet-1","G":0.915,"prices":[["calls",3,0.01]]}]}`
	require.NoError(t, os.WriteFile(filepath.Join(dir, "1.json"), []byte(entry), 0o600))
	text, err = run("journal", dir)
	require.NoError(t, err)
	require.Regexp(t, `0de6ded8 +s +score +0.900 +quiet-1 +0.915.*calls 0.010`, text)
}

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

// backend is a control process whose outcome each test chooses.
type backend struct {
	outcome config.Outcome
	err     error
}

func (b *backend) Config(context.Context) (config.Snapshot, error) {
	key := config.LimitKey{Team: "clubs", Service: "skrivar", Unit: config.UnitTokens}
	state := config.NewState(map[config.LimitKey]config.Limit{key: {Value: 40}})
	return config.Snapshot{Head: config.Head{Version: 3, Day: "2026-12-04"}, State: state}, nil
}

func (b *backend) Apply(context.Context, config.Sheet, string) (config.Outcome, error) {
	return b.outcome, b.err
}

func (b *backend) ConfigStatus(context.Context) (adminapi.ConfigStatus, error) {
	vms := []adminapi.VMVersion{{VM: "bergen-a-1", Version: 3, AgeMS: 1200}, {VM: "bergen-b-1", Version: 2, AgeMS: -1}}
	return adminapi.ConfigStatus{Newest: 3, VMs: vms}, nil
}

func (b *backend) VMs(context.Context) ([]adminapi.VM, error) {
	return []adminapi.VM{{VM: "bergen-a-1", State: "alive"}}, nil
}

func (b *backend) BackendServers(context.Context) ([]adminapi.BackendServer, error) { return nil, nil }
func (b *backend) Orders(context.Context) ([]adminapi.Order, error)                 { return nil, nil }
func (b *backend) MarkGone(context.Context, []ident.VM, string) error               { return nil }
func (b *backend) Drain(context.Context, ident.VM, string) error                    { return nil }

func (b *backend) Audit(context.Context, time.Time, int) ([]audit.Record, error) {
	return []audit.Record{{Who: "kari", What: "sheet.apply", SheetHash: "0123456789abcdef"}}, nil
}

// serve runs the API on loopback and returns its address.
func serve(t *testing.T, b *backend) string {
	keys, err := adminapi.NewKeys(map[string]string{"kari": operatorKey})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: adminapi.Handler(b, keys)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// closedAddr is a loopback address where nobody listens.
func closedAddr(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func run(args ...string) (int, string) {
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

func sheetFile(t *testing.T, rows ...string) string {
	file := filepath.Join(t.TempDir(), "monday.csv")
	text := "day,team,service,limit,unit\n" + strings.Join(rows, "\n")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestExitCodes(t *testing.T) {
	good := sheetFile(t, "2026-12-04,clubs,skrivar,60,tokens/s")
	lower := sheetFile(t, "2026-12-04,clubs,skrivar,30,tokens/s")
	faulty := sheetFile(t, "2026-12-04,clubs,skrivar,many,tokens/s")
	b := &backend{}
	addr, closed := serve(t, b), closedAddr(t)
	with := func(args ...string) []string { return append(args, "--addr", closed+","+addr, "--key", operatorKey) }
	for _, c := range []struct {
		args    []string
		outcome config.OutcomeKind
		err     error
		code    int
		says    string
	}{
		{args: []string{"sheet", "check", good}, code: ExitOK, says: "1 rows for 2026-12-04"},
		{args: []string{"sheet", "check", faulty}, code: ExitRefused, says: "monday.csv:2, column limit"},
		{args: with("sheet", "diff", good), code: ExitOK, says: "40      60"},
		{args: with("sheet", "diff", lower), code: ExitRefused, says: "lowered from 40 to 30"},
		{args: with("sheet", "apply", good), outcome: config.OutcomeAccepted, code: ExitOK, says: "accepted"},
		{args: with("sheet", "apply", good), outcome: config.OutcomeRefused, code: ExitRefused, says: "refused"},
		{args: with("sheet", "apply", good), outcome: config.OutcomeUnavailable, code: ExitUnavailable},
		{args: with("sheet", "apply", good), outcome: config.OutcomeUnknown, code: ExitUnknown},
		{args: with("sheet", "apply", good), err: errors.New("too slow"), code: ExitUnknown, says: "too slow"},
		{args: with("sheet", "apply", good, "--wait", "1ms"), outcome: config.OutcomeAccepted, code: ExitRefused, says: "lag after"},
		{args: with("config", "status"), code: ExitRefused, says: "lags by 1"},
		{args: with("limits", "-o", "json"), code: ExitOK, says: `"value": 40`},
		{args: with("nodes"), code: ExitOK, says: "bergen-a-1"},
		{args: with("audit"), code: ExitOK, says: "0123456789ab "},
		{args: with("drain", "bergen-a-1"), code: ExitOK, says: "bergen-a-1"},
		{args: with("orders"), code: ExitOK, says: "ORDER"},
		{args: with("backends"), code: ExitOK, says: "BACKEND SERVER"},
		{args: []string{"vms", "--addr", addr, "--key", "fedcba9876543210"}, code: ExitUnauthorized},
		{args: []string{"vms", "--addr", closed, "--key", operatorKey}, code: ExitUnavailable, says: closed},
		{args: []string{"sheet", "apply", good, "--addr", closed, "--key", operatorKey}, code: ExitUnavailable},
		{args: []string{"vms", "--addr", "nowhere"}, code: ExitUsage, says: "CATKIN_KEY"},
		{args: with("vms", "-o", "xml"), code: ExitUsage, says: "table or json"},
		{args: []string{"trace", "replay", good}, code: ExitUsage, says: "trace line 1"},
		{args: []string{"nothing"}, code: ExitUsage},
	} {
		b.outcome, b.err = config.Outcome{Kind: c.outcome, Version: 3}, c.err
		code, out := run(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.says, "%v", c.args)
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

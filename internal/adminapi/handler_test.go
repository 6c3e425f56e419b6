package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
)

const sheetText = "day,team,service,limit,unit\n2026-12-04,clubs,skrivar,40,tokens/s\n"

type fakeController struct{ calls []string }

func (f *fakeController) Config(context.Context) (config.Snapshot, error) {
	f.calls = append(f.calls, "config")
	return config.Snapshot{Head: config.Head{Version: 3}}, nil
}

func (f *fakeController) Apply(_ context.Context, sheet config.Sheet, operator string) (config.Outcome, error) {
	f.calls = append(f.calls, "apply by "+operator+" of "+sheet.File)
	return config.Outcome{Kind: config.OutcomeAccepted, Version: 4}, nil
}

func (f *fakeController) ConfigStatus(context.Context) (ConfigStatus, error) {
	return ConfigStatus{}, errors.New("no peers")
}

func (f *fakeController) VMs(context.Context) ([]VM, error)                       { return nil, nil }
func (f *fakeController) BackendServers(context.Context) ([]BackendServer, error) { return nil, nil }
func (f *fakeController) Orders(context.Context) ([]Order, error)                 { return nil, nil }

func (f *fakeController) MarkGone(_ context.Context, vms []ident.VM, operator string) error {
	f.calls = append(f.calls, fmt.Sprintf("gone %v by %s", vms, operator))
	return nil
}

func (f *fakeController) Drain(_ context.Context, vm ident.VM, operator string) error {
	f.calls = append(f.calls, "drain of "+string(vm)+" by "+operator)
	return nil
}

func (f *fakeController) Audit(context.Context, time.Time, int) ([]audit.Record, error) {
	return nil, nil
}

func callAPI(t *testing.T, controller Controller, method, path, key, body string) (int, string) {
	keys, err := ParseKeys("kari=0123456789abcdef, ola=fedcba9876543210")
	require.NoError(t, err)
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	if key != "" {
		ctx.Request.Header.Set("Authorization", "Bearer "+key)
	}
	Handler(controller, keys)(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestEveryPathRequiresKey(t *testing.T) {
	controller := &fakeController{}
	for _, key := range []string{"", "0123456789abcdeg", "0123456789abcde", "kari=0123456789abcdef"} {
		for path, r := range routes {
			status, _ := callAPI(t, controller, r.method, PathPrefix+path, key, sheetText)
			require.Equal(t, 401, status, path)
		}
		status, _ := callAPI(t, controller, "GET", "/nowhere", key, "")
		require.Equal(t, 401, status)
	}
	require.Empty(t, controller.calls)
}

func TestKeyIdentifiesOperator(t *testing.T) {
	controller := &fakeController{}
	status, body := callAPI(t, controller, "POST", "/admin/v1/sheet/apply?file=monday.csv", "fedcba9876543210", sheetText)
	require.Equal(t, 200, status, body)
	callAPI(t, controller, "POST", "/admin/v1/drain", "0123456789abcdef", `{"vm":"bergen-a-1"}`)
	require.Equal(t, []string{"apply by ola of monday.csv", "drain of bergen-a-1 by kari"}, controller.calls)
}

func TestDiffReportsFaultsAndChanges(t *testing.T) {
	status, body := callAPI(t, &fakeController{}, "POST", "/admin/v1/sheet/diff", "0123456789abcdef", sheetText)
	require.Equal(t, 200, status)
	var result SheetResponse
	require.NoError(t, json.Unmarshal([]byte(body), &result))
	require.Equal(t, uint64(3), result.Version)
	require.Equal(t, uint64(40), result.Changes[0].After)
	_, body = callAPI(t, &fakeController{}, "POST", "/admin/v1/sheet/diff", "0123456789abcdef", "day\n")
	require.Contains(t, body, "want")
}

func TestErrorStatus(t *testing.T) {
	for path, want := range map[string]int{"nothing": 404, "drain": 405, "config/status": 503, "audit?since=yesterday": 400, "audit?max=0": 400} {
		status, body := callAPI(t, &fakeController{}, "GET", PathPrefix+path, "0123456789abcdef", "")
		require.Equal(t, want, status, path)
		require.Contains(t, body, "message")
	}
}

func TestNewKeysReportsEveryInvalidKey(t *testing.T) {
	_, err := NewKeys(map[string]string{"": "0123456789abcdef", "ola": "short"})
	require.ErrorContains(t, err, "name")
	require.ErrorContains(t, err, "at least 16")
}

func TestGonePassesVMsToController(t *testing.T) {
	controller := &fakeController{}
	status, _ := callAPI(t, controller, "POST", "/admin/v1/gone", "0123456789abcdef", `{"vms":["bergen-a-1","stord-1"]}`)
	require.Equal(t, 200, status)
	require.Equal(t, []string{"gone [bergen-a-1 stord-1] by kari"}, controller.calls)
	status, text := callAPI(t, controller, "POST", "/admin/v1/gone", "0123456789abcdef", `{}`)
	require.Equal(t, 400, status)
	require.Contains(t, text, "want a body such as")
}

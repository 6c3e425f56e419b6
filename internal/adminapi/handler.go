package adminapi

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// PathPrefix starts every path of the API.
const PathPrefix = "/admin/v1/"

const (
	// callTimeout bounds one call to the Backend.
	callTimeout = 30 * time.Second
	// maxAuditRecords bounds one answer of the audit trail.
	maxAuditRecords = 1000
)

// call is one authorised request.
type call struct {
	ctx      context.Context
	http     *fasthttp.RequestCtx
	backend  Controller
	operator string
}

type route struct {
	method string
	serve  func(call)
}

var routes = map[string]route{
	"sheet/check":   {fasthttp.MethodPost, checkSheet},
	"sheet/diff":    {fasthttp.MethodPost, diffSheet},
	"sheet/apply":   {fasthttp.MethodPost, applySheet},
	"limits":        {fasthttp.MethodGet, limits},
	"config/status": {fasthttp.MethodGet, configStatus},
	"vms":           {fasthttp.MethodGet, vms},
	"backends":      {fasthttp.MethodGet, backends},
	"drain":         {fasthttp.MethodPost, drain},
	"gone":          {fasthttp.MethodPost, gone},
	"orders":        {fasthttp.MethodGet, orders},
	"audit":         {fasthttp.MethodGet, auditTrail},
}

// Handler serves the API. A request without a valid key is refused whatever it
// asks for.
func Handler(backend Controller, keys Keys) fasthttp.RequestHandler {
	return func(http *fasthttp.RequestCtx) {
		operator, ok := keys.fromHeader(string(http.Request.Header.Peek(fasthttp.HeaderAuthorization)))
		if !ok {
			fail(http, fasthttp.StatusUnauthorized, CodeUnauthorized, "want Authorization: Bearer KEY with an operator's key")
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		dispatch(call{ctx: ctx, http: http, backend: backend, operator: operator})
	}
}

func dispatch(c call) {
	path := string(c.http.Path())
	if len(path) < len(PathPrefix) || path[:len(PathPrefix)] != PathPrefix {
		fail(c.http, fasthttp.StatusNotFound, CodeNotFound, "want a path under "+PathPrefix)
		return
	}
	r, ok := routes[path[len(PathPrefix):]]
	if !ok {
		fail(c.http, fasthttp.StatusNotFound, CodeNotFound, "no such path")
		return
	}
	if string(c.http.Method()) != r.method {
		c.http.Response.Header.Set(fasthttp.HeaderAllow, r.method)
		fail(c.http, fasthttp.StatusMethodNotAllowed, CodeBadRequest, "want "+r.method)
		return
	}
	r.serve(c)
}

func checkSheet(c call) {
	sheet, faults := c.sheet()
	answer(c.http, SheetResponse{Day: sheet.Day, Rows: len(sheet.Rows), Faults: faults})
}

func diffSheet(c call) {
	sheet, faults := c.sheet()
	if len(faults) > 0 {
		answer(c.http, SheetResponse{Faults: faults})
		return
	}
	snapshot, err := c.backend.Config(c.ctx)
	if err != nil {
		c.unavailable(err)
		return
	}
	next, faults := config.Evaluate(snapshot.State, snapshot.Head.Day, sheet)
	result := SheetResponse{Version: snapshot.Head.Version, Day: sheet.Day, Rows: len(sheet.Rows), Faults: faults}
	if len(faults) == 0 {
		result.Changes = config.Diff(snapshot.State, next)
	}
	answer(c.http, result)
}

func applySheet(c call) {
	sheet, faults := c.sheet()
	if len(faults) > 0 {
		answer(c.http, config.Outcome{Kind: config.OutcomeRefused, Faults: faults})
		return
	}
	outcome, err := c.backend.Apply(c.ctx, sheet, c.operator)
	c.reply(outcome, err)
}

func (c call) sheet() (config.Sheet, []config.Fault) {
	file := string(c.http.QueryArgs().Peek("file"))
	if file == "" {
		file = "sheet"
	}
	return config.ParseSheet(file, c.http.PostBody())
}

func limits(c call) {
	snapshot, err := c.backend.Config(c.ctx)
	if err != nil {
		c.unavailable(err)
		return
	}
	team := ident.Team(c.http.QueryArgs().Peek("team"))
	service := ident.Service(c.http.QueryArgs().Peek("service"))
	result := LimitsResponse{Version: snapshot.Head.Version, Limits: []Limit{}}
	for _, key := range snapshot.State.Keys() {
		if (team != "" && key.Team != team) || (service != "" && key.Service != service) {
			continue
		}
		limit, _ := snapshot.State.Get(key)
		result.Limits = append(result.Limits, Limit{LimitKey: key, Limit: limit})
	}
	answer(c.http, result)
}

func configStatus(c call) {
	status, err := c.backend.ConfigStatus(c.ctx)
	c.reply(status, err)
}

func vms(c call) {
	list, err := c.backend.VMs(c.ctx)
	c.reply(list, err)
}

func backends(c call) {
	list, err := c.backend.BackendServers(c.ctx)
	if err != nil {
		c.unavailable(err)
		return
	}
	service := ident.Service(c.http.QueryArgs().Peek("service"))
	chosen := []BackendServer{}
	for _, server := range list {
		if service == "" || server.Service == service {
			chosen = append(chosen, server)
		}
	}
	answer(c.http, chosen)
}

func drain(c call) {
	var request DrainRequest
	if err := json.Unmarshal(c.http.PostBody(), &request); err != nil || request.VM == "" {
		fail(c.http, fasthttp.StatusBadRequest, CodeBadRequest, `want a body such as {"vm":"bergen-a-1"}`)
		return
	}
	err := c.backend.Drain(c.ctx, request.VM, c.operator)
	c.reply(request, err)
}

func gone(c call) {
	var request GoneRequest
	if err := json.Unmarshal(c.http.PostBody(), &request); err != nil || len(request.VMs) == 0 {
		fail(c.http, fasthttp.StatusBadRequest, CodeBadRequest, `want a body such as {"vms":["bergen-a-1"]}`)
		return
	}
	err := c.backend.MarkGone(c.ctx, request.VMs, c.operator)
	c.reply(request, err)
}

func orders(c call) {
	list, err := c.backend.Orders(c.ctx)
	c.reply(list, err)
}

func auditTrail(c call) {
	since, limit := time.Time{}, maxAuditRecords
	if text := string(c.http.QueryArgs().Peek("since")); text != "" {
		parsed, err := time.Parse(time.RFC3339, text)
		if err != nil {
			fail(c.http, fasthttp.StatusBadRequest, CodeBadRequest, "since: want a time such as 2026-12-04T06:00:00Z")
			return
		}
		since = parsed
	}
	if text := string(c.http.QueryArgs().Peek("max")); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxAuditRecords {
			fail(c.http, fasthttp.StatusBadRequest, CodeBadRequest, "max: want a number from 1 to "+strconv.Itoa(maxAuditRecords))
			return
		}
		limit = parsed
	}
	records, err := c.backend.Audit(c.ctx, since, limit)
	c.reply(records, err)
}

func (c call) reply(value any, err error) {
	if err != nil {
		c.unavailable(err)
		return
	}
	answer(c.http, value)
}

func (c call) unavailable(err error) {
	c.http.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	fail(c.http, fasthttp.StatusServiceUnavailable, CodeUnavailable, err.Error())
}

func answer(http *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		fail(http, fasthttp.StatusInternalServerError, CodeUnavailable, "the answer can't be written: "+err.Error())
		return
	}
	http.SetContentType("application/json")
	http.SetBody(body)
}

func fail(http *fasthttp.RequestCtx, status int, code, message string) {
	answer(http, Error{Error: ErrorBody{Code: code, Message: message}})
	http.SetStatusCode(status)
}

package adminapi

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/ingress"
)

// PathPrefix starts every path of the API.
const PathPrefix = "/admin/v1/"

const (
	// callTimeout bounds one call to the Controller.
	callTimeout = 30 * time.Second
	// maxAuditRecords bounds the records in one audit response.
	maxAuditRecords = 1000
)

// call is one authorized request.
type call struct {
	ctx        context.Context
	http       *fasthttp.RequestCtx
	controller Controller
	operator   string
}

type route struct {
	method string
	handle func(call)
}

var routes = map[string]route{
	"sheet/check":   {fasthttp.MethodPost, checkSheet},
	"sheet/diff":    {fasthttp.MethodPost, diffSheet},
	"sheet/apply":   {fasthttp.MethodPost, applySheet},
	"limits":        {fasthttp.MethodGet, listLimits},
	"config/status": {fasthttp.MethodGet, getConfigStatus},
	"vms":           {fasthttp.MethodGet, listVMs},
	"backends":      {fasthttp.MethodGet, listBackendServers},
	"drain":         {fasthttp.MethodPost, drainVM},
	"gone":          {fasthttp.MethodPost, markGone},
	"orders":        {fasthttp.MethodGet, listOrders},
	"audit":         {fasthttp.MethodGet, listAuditRecords},
}

// Handler returns the handler of the API. A request without a valid key gets 401 for any
// path.
func Handler(controller Controller, keys Keys) fasthttp.RequestHandler {
	return func(http *fasthttp.RequestCtx) {
		operator, ok := keys.operatorFromHeader(string(http.Request.Header.Peek(fasthttp.HeaderAuthorization)))
		if !ok {
			writeError(http, fasthttp.StatusUnauthorized, CodeUnauthorized, "want Authorization: Bearer KEY with an operator's key")
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		dispatch(call{ctx: ctx, http: http, controller: controller, operator: operator})
	}
}

func dispatch(c call) {
	path := string(c.http.Path())
	if len(path) < len(PathPrefix) || path[:len(PathPrefix)] != PathPrefix {
		writeError(c.http, fasthttp.StatusNotFound, CodeNotFound, "want a path under "+PathPrefix)
		return
	}
	r, ok := routes[path[len(PathPrefix):]]
	if !ok {
		writeError(c.http, fasthttp.StatusNotFound, CodeNotFound, "no such path")
		return
	}
	if string(c.http.Method()) != r.method {
		c.http.Response.Header.Set(fasthttp.HeaderAllow, r.method)
		writeError(c.http, fasthttp.StatusMethodNotAllowed, CodeBadRequest, "want "+r.method)
		return
	}
	r.handle(c)
}

func checkSheet(c call) {
	sheet, faults := c.parseSheet()
	writeJSON(c.http, SheetResponse{Day: sheet.Day, Rows: len(sheet.Rows), Faults: faults})
}

func diffSheet(c call) {
	sheet, faults := c.parseSheet()
	if len(faults) > 0 {
		writeJSON(c.http, SheetResponse{Faults: faults})
		return
	}
	snapshot, err := c.controller.Config(c.ctx)
	if err != nil {
		c.respondUnavailable(err)
		return
	}
	next, faults := config.Evaluate(snapshot.State, snapshot.Head.Day, sheet)
	result := SheetResponse{Version: snapshot.Head.Version, Day: sheet.Day, Rows: len(sheet.Rows), Faults: faults}
	if len(faults) == 0 {
		result.Changes = config.Diff(snapshot.State, next)
	}
	writeJSON(c.http, result)
}

func applySheet(c call) {
	sheet, faults := c.parseSheet()
	if len(faults) > 0 {
		writeJSON(c.http, config.Outcome{Kind: config.OutcomeRefused, Faults: faults})
		return
	}
	outcome, err := c.controller.Apply(c.ctx, sheet, c.operator)
	c.respond(outcome, err)
}

func (c call) parseSheet() (config.Sheet, []config.Fault) {
	file := string(c.http.QueryArgs().Peek("file"))
	if file == "" {
		file = "sheet"
	}
	return config.ParseSheet(file, c.http.PostBody())
}

func listLimits(c call) {
	snapshot, err := c.controller.Config(c.ctx)
	if err != nil {
		c.respondUnavailable(err)
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
	writeJSON(c.http, result)
}

func getConfigStatus(c call) {
	status, err := c.controller.ConfigStatus(c.ctx)
	c.respond(status, err)
}

func listVMs(c call) {
	list, err := c.controller.VMs(c.ctx)
	c.respond(list, err)
}

func listBackendServers(c call) {
	list, err := c.controller.BackendServers(c.ctx)
	if err != nil {
		c.respondUnavailable(err)
		return
	}
	service := ident.Service(c.http.QueryArgs().Peek("service"))
	matching := []BackendServer{}
	for _, server := range list {
		if service == "" || server.Service == service {
			matching = append(matching, server)
		}
	}
	writeJSON(c.http, matching)
}

func drainVM(c call) {
	var request DrainRequest
	if err := json.Unmarshal(c.http.PostBody(), &request); err != nil || request.VM == "" {
		writeError(c.http, fasthttp.StatusBadRequest, CodeBadRequest, `want a body such as {"vm":"bergen-a-1"}`)
		return
	}
	err := c.controller.Drain(c.ctx, request.VM, c.operator)
	c.respond(request, err)
}

func markGone(c call) {
	var request GoneRequest
	if err := json.Unmarshal(c.http.PostBody(), &request); err != nil || len(request.VMs) == 0 {
		writeError(c.http, fasthttp.StatusBadRequest, CodeBadRequest, `want a body such as {"vms":["bergen-a-1"]}`)
		return
	}
	err := c.controller.MarkGone(c.ctx, request.VMs, c.operator)
	c.respond(request, err)
}

func listOrders(c call) {
	list, err := c.controller.Orders(c.ctx)
	c.respond(list, err)
}

func listAuditRecords(c call) {
	since, limit := time.Time{}, maxAuditRecords
	if text := string(c.http.QueryArgs().Peek("since")); text != "" {
		parsed, err := time.Parse(time.RFC3339, text)
		if err != nil {
			writeError(c.http, fasthttp.StatusBadRequest, CodeBadRequest, "since: want a time such as 2026-12-04T06:00:00Z")
			return
		}
		since = parsed
	}
	if text := string(c.http.QueryArgs().Peek("max")); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxAuditRecords {
			writeError(c.http, fasthttp.StatusBadRequest, CodeBadRequest, "max: want a number from 1 to "+strconv.Itoa(maxAuditRecords))
			return
		}
		limit = parsed
	}
	records, err := c.controller.Audit(c.ctx, since, limit)
	c.respond(records, err)
}

func (c call) respond(value any, err error) {
	if err != nil {
		c.respondUnavailable(err)
		return
	}
	writeJSON(c.http, value)
}

func (c call) respondUnavailable(err error) {
	c.http.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	writeError(c.http, fasthttp.StatusServiceUnavailable, CodeUnavailable, err.Error())
}

func writeJSON(http *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(http, fasthttp.StatusInternalServerError, CodeUnavailable, "the response can't be encoded: "+err.Error())
		return
	}
	http.SetContentType("application/json")
	http.SetBody(body)
}

func writeError(http *fasthttp.RequestCtx, status int, code, message string) {
	writeJSON(http, Error{Error: ErrorBody{Code: code, Message: message}})
	http.SetStatusCode(status)
}

// RefuseUnread responds to a call that the limits of the server refuse (ingress.Refuse).
func RefuseUnread(ctx *fasthttp.RequestCtx, err error, ran bool) {
	status, code := fasthttp.StatusBadRequest, CodeBadRequest
	switch {
	case ran:
		status, code = fasthttp.StatusBadGateway, CodeUnavailable
	case errors.Is(err, ingress.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, ingress.ErrBodyTooSlow):
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, ingress.ErrNoMemory):
		status, code = fasthttp.StatusServiceUnavailable, CodeUnavailable
	}
	writeError(ctx, status, code, err.Error())
}

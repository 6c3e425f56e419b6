package router

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/obs"
)

// vmsURI is the path on the metrics port that lists the known VMs with their builds.
const vmsURI = "/vms"

// maxBuildBytes bounds the name of a build in another VM's message; obs.Version is shorter.
const maxBuildBytes = 128

// maxFeatureLevel bounds the feature level in another VM's message.
const maxFeatureLevel = 1 << 16

// registerBuildInfo registers the metric whose label names the build.
func registerBuildInfo() {
	metrics.GetOrCreateGauge(fmt.Sprintf("catkin_router_build_info{build=%q}", obs.Version()), func() float64 { return 1 })
}

// vmBuild is a VM in the operators' list.
type vmBuild struct {
	VM           string `json:"vm"`
	Domain       string `json:"domain"`
	Build        string `json:"build"` // "" for builds that do not tell
	FeatureLevel int    `json:"feature_level"`
}

// handleVMs serves the list of known VMs as JSON.
func (r *Router) handleVMs(ctx *fasthttp.RequestCtx) {
	list := []vmBuild{}
	r.locked(func() {
		for name, m := range r.members {
			list = append(list, vmBuild{VM: name, Domain: m.Domain, Build: m.Build, FeatureLevel: m.FeatureLevel})
		}
	})
	slices.SortFunc(list, func(a, b vmBuild) int { return strings.Compare(a.VM, b.VM) })
	body, err := json.Marshal(list)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// noteBuild takes over what a message says of its sender's build. That differs from the VM's record
// after the VM was replaced while the store is down. Only messages with a VM's own work name the
// build; a level that differs makes the build unknown. Of other messages some builds leave the level
// out, so those that name none say nothing. The caller holds mu.
func (r *Router) noteBuild(m loads.Message) {
	if !validBuild(m.Build, m.FeatureLevel) {
		r.metrics.invalidMessages.Inc()
		r.log.Warn().Str("from", m.From).Int("featureLevel", m.FeatureLevel).Int("bytes", len(m.Build)).Msg("loads: invalid build or feature level, ignored")
		return
	}
	known, ok := r.members[m.From]
	if saysNothing := m.FeatureLevel == 0 && m.Scope != loads.ScopeVM; !ok || saysNothing {
		return
	}
	if m.FeatureLevel == known.FeatureLevel && (m.Build == "" || m.Build == known.Build) {
		return
	}
	r.log.Info().Str("of", m.From).Str("was", known.Build).Str("build", m.Build).Int("featureLevel", m.FeatureLevel).Msg("VM runs another build than its record says")
	known.Build, known.FeatureLevel = m.Build, m.FeatureLevel
	r.members[m.From] = known
}

// withoutInvalidBuild returns a VM's record without its build and feature level if these are out of
// bounds, as the record of a build that names none. The caller holds mu.
func (r *Router) withoutInvalidBuild(key string, m member) member {
	if validBuild(m.Build, m.FeatureLevel) {
		return m
	}
	r.metrics.invalidRecords.Inc()
	r.log.Warn().Str("key", key).Int("featureLevel", m.FeatureLevel).Int("bytes", len(m.Build)).Msg("VM record: invalid build or feature level, ignored")
	m.Build, m.FeatureLevel = "", 0
	return m
}

// validBuild reports whether a build and a feature level are within bounds.
func validBuild(build string, level int) bool {
	return level >= 0 && level <= maxFeatureLevel && len(build) <= maxBuildBytes && !strings.ContainsFunc(build, unicode.IsControl)
}

package router

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/obs"
)

// vmsURI is the path on the metrics port that lists the known VMs with their builds.
const vmsURI = "/vms"

// maxBuildBytes bounds the name of a build in another VM's message; obs.Version is shorter.
const maxBuildBytes = 128

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

// noteBuild takes over the feature level of a message's sender, and its build if the message
// names it. They differ from those in the VM's record after the VM was replaced while the store
// is down. The caller holds mu.
func (r *Router) noteBuild(m loads.Message) {
	known, ok := r.members[m.From]
	sameBuild := m.Build == "" || m.Build == known.Build
	if !ok || len(m.Build) > maxBuildBytes || (sameBuild && known.FeatureLevel == m.FeatureLevel) {
		return
	}
	r.log.Info().Str("vm", m.From).Str("was", known.Build).Str("build", m.Build).Int("featureLevel", m.FeatureLevel).Msg("VM runs another build than its record says")
	known.Build, known.FeatureLevel = m.Build, m.FeatureLevel
	r.members[m.From] = known
}

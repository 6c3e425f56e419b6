package orders

import (
	"cmp"
	"math"
	"slices"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// replicaCounts divides n engines among the models in proportion to demand by the largest
// remainder method. Each model with demand gets at least one engine; if there are fewer
// engines than models, those with the most demand get one.
func replicaCounts(demands []ModelDemand, n int) map[Model]int {
	wanted := slices.DeleteFunc(slices.Clone(demands), func(d ModelDemand) bool { return d.Demand <= 0 })
	slices.SortFunc(wanted, compareDemands)
	wanted = wanted[:min(len(wanted), n)]
	counts := map[Model]int{}
	total := 0.0
	for _, d := range wanted {
		counts[d.Model] = 1
		total += d.Demand
	}
	for range n - len(wanted) {
		if len(wanted) == 0 {
			break
		}
		counts[mostUnderProvisioned(wanted, counts, total, n)]++
	}
	return counts
}

// mostUnderProvisioned returns the model whose count is furthest below its exact share.
func mostUnderProvisioned(wanted []ModelDemand, counts map[Model]int, total float64, n int) Model {
	best := wanted[0].Model
	maxDeficit := math.Inf(-1)
	for _, d := range wanted {
		if deficit := d.Demand/total*float64(n) - float64(counts[d.Model]); deficit > maxDeficit {
			best, maxDeficit = d.Model, deficit
		}
	}
	return best
}

func compareDemands(a, b ModelDemand) int {
	return cmp.Or(cmp.Compare(b.Demand, a.Demand), compareModels(a.Model, b.Model))
}

func compareModels(a, b Model) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}

// assign returns the model that each server should have. Servers keep their loaded model
// as far as its count allows.
func assign(servers []ident.BackendServer, loaded map[ident.BackendServer]Model, counts map[Model]int) map[ident.BackendServer]Model {
	remaining := map[Model]int{}
	for m, n := range counts {
		remaining[m] = n
	}
	out := map[ident.BackendServer]Model{}
	var unassigned []ident.BackendServer
	for _, s := range servers {
		m := loaded[s]
		if remaining[m] == 0 {
			unassigned = append(unassigned, s)
			continue
		}
		remaining[m]--
		out[s] = m
	}
	models := make([]Model, 0, len(remaining))
	for m := range remaining {
		models = append(models, m)
	}
	slices.SortFunc(models, compareModels)
	for _, m := range models {
		for ; remaining[m] > 0 && len(unassigned) > 0; remaining[m]-- {
			out[unassigned[0]] = m
			unassigned = unassigned[1:]
		}
	}
	return out
}

package orders

import (
	"cmp"
	"math"
	"slices"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// replicaCounts divides n engines among the models by their demand, by the
// largest remainder, with at least one for each model that is wanted while the
// engines last; the models with the most demand go first.
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
		counts[mostBehind(wanted, counts, total, n)]++
	}
	return counts
}

// mostBehind is the model whose count is furthest below its exact share.
func mostBehind(wanted []ModelDemand, counts map[Model]int, total float64, n int) Model {
	best := wanted[0].Model
	behind := math.Inf(-1)
	for _, d := range wanted {
		if gap := d.Demand/total*float64(n) - float64(counts[d.Model]); gap > behind {
			best, behind = d.Model, gap
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

// assign says which engine should have which model. Engines keep what they
// have while its count allows.
func assign(servers []ident.BackendServer, loaded map[ident.BackendServer]Model, counts map[Model]int) map[ident.BackendServer]Model {
	left := map[Model]int{}
	for m, n := range counts {
		left[m] = n
	}
	out := map[ident.BackendServer]Model{}
	var free []ident.BackendServer
	for _, s := range servers {
		m := loaded[s]
		if left[m] == 0 {
			free = append(free, s)
			continue
		}
		left[m]--
		out[s] = m
	}
	models := make([]Model, 0, len(left))
	for m := range left {
		models = append(models, m)
	}
	slices.SortFunc(models, compareModels)
	for _, m := range models {
		for ; left[m] > 0 && len(free) > 0; left[m]-- {
			out[free[0]] = m
			free = free[1:]
		}
	}
	return out
}

package ctl

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/ident"
)

func limitsCommand() *cobra.Command {
	var team, service string
	cmd := &cobra.Command{Use: "limits", Short: "Show the limits in force", Args: cobra.NoArgs}
	remoteCommand(cmd, func(s *session, _ []string) error {
		var response adminapi.LimitsResponse
		if err := s.get("limits", map[string]string{"team": team, "service": service}, &response); err != nil {
			return err
		}
		return s.render(response, func(t *table) {
			t.header = []string{"TEAM", "SERVICE", "LIMIT", "UNIT", "RAISED ON"}
			for _, l := range response.Limits {
				t.add(l.Team, l.Service, l.Value, l.Unit, dashIfEmpty(string(l.RaisedOn)))
			}
		})
	})
	cmd.Flags().StringVar(&team, "team", "", "only this team")
	cmd.Flags().StringVar(&service, "service", "", "only this service")
	return cmd
}

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show the configuration versions of the VMs"}
	status := &cobra.Command{Use: "status", Short: "Show the configuration version of each VM; exit 1 if one lags", Args: cobra.NoArgs}
	cmd.AddCommand(remoteCommand(status, (*session).configStatus))
	return cmd
}

func (s *session) configStatus([]string) error {
	var response adminapi.ConfigStatus
	if err := s.get("config/status", nil, &response); err != nil {
		return err
	}
	err := s.render(response, func(t *table) {
		t.header = []string{"VM", "VERSION", "TOLD", "STATE"}
		for _, vm := range response.VMs {
			t.add(vm.VM, vm.Version, formatAge(vm.AgeMS), formatLag(vm.Version, response.Newest))
		}
	})
	if err != nil {
		return err
	}
	if lagging := response.Lagging(); lagging > 0 {
		return exitErrorf(ExitRefused, "%d of %d VMs lag behind version %d", lagging, len(response.VMs), response.Newest)
	}
	s.cmd.PrintErrf("version %d of %s, applied by %s, is in force on %d VMs\n", response.Newest, response.Day, response.Operator, len(response.VMs))
	return nil
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func formatLag(version, newest uint64) string {
	if version < newest {
		return "lags by " + strconv.FormatUint(newest-version, 10)
	}
	return "in force"
}

func vmsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "vms", Aliases: []string{"nodes"}, Short: "Show the entry VMs", Args: cobra.NoArgs}
	return remoteCommand(cmd, func(s *session, _ []string) error {
		var response []adminapi.VM
		if err := s.get("vms", nil, &response); err != nil {
			return err
		}
		return s.render(response, func(t *table) {
			t.header = []string{"VM", "FAILURE DOMAIN", "STATE", "ADDRESS", "INCARNATION"}
			for _, vm := range response {
				t.add(vm.VM, vm.FailureDomain, vm.State, vm.Addr, vm.Incarnation)
			}
		})
	})
}

func backendsCommand() *cobra.Command {
	var service string
	cmd := &cobra.Command{Use: "backends", Short: "Show the backend servers", Args: cobra.NoArgs}
	remoteCommand(cmd, func(s *session, _ []string) error {
		var response []adminapi.BackendServer
		if err := s.get("backends", map[string]string{"service": service}, &response); err != nil {
			return err
		}
		return s.render(response, func(t *table) {
			t.header = []string{"BACKEND SERVER", "KIND", "SERVICE", "LAYERS", "FAILURE DOMAIN", "STATE", "ADDRESS"}
			for _, b := range response {
				t.add(b.ID, b.Kind, b.Service, formatLayers(b), b.FailureDomain, b.State, b.Addr)
			}
		})
	})
	cmd.Flags().StringVar(&service, "service", "", "only this service")
	return cmd
}

func formatLayers(b adminapi.BackendServer) string {
	if b.LayerTo == 0 {
		return "-"
	}
	return strconv.Itoa(b.LayerFrom) + "-" + strconv.Itoa(b.LayerTo)
}

func drainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "drain VM", Short: "Start the planned stop of a VM", Args: cobra.ExactArgs(1),
		Long: "Start the planned stop of a VM: it is removed from the addresses at once, serves until every\naddress handed out has expired, finishes its last stream, and stops.",
	}
	return remoteCommand(cmd, func(s *session, args []string) error {
		body, err := json.Marshal(adminapi.DrainRequest{VM: ident.VM(args[0])})
		if err != nil {
			return exitErrorf(ExitUsage, "%v", err)
		}
		var response adminapi.DrainRequest
		if err := s.post("drain", nil, body, &response); err != nil {
			return err
		}
		return s.render(response, func(t *table) {
			t.header = []string{"DRAINING"}
			t.add(response.VM)
		})
	})
}

func goneCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "gone VM...", Short: "Declare VMs permanently stopped", Args: cobra.MinimumNArgs(1),
		Long: "Declare that VMs stopped permanently and will never run again. This is needed only when so many VMs that\n" +
			"held slots stopped at once that no majority of them is left; `catkinctl vms` shows those VMs as lost.\n" +
			"Declaring a VM gone while it still runs may let two VMs lend the same limit.",
	}
	return remoteCommand(cmd, func(s *session, args []string) error {
		request := adminapi.GoneRequest{}
		for _, vm := range args {
			request.VMs = append(request.VMs, ident.VM(vm))
		}
		body, err := json.Marshal(request)
		if err != nil {
			return exitErrorf(ExitUsage, "%v", err)
		}
		var response adminapi.GoneRequest
		if err := s.post("gone", nil, body, &response); err != nil {
			return err
		}
		return s.render(response, func(t *table) {
			t.header = []string{"GONE"}
			for _, vm := range response.VMs {
				t.add(vm)
			}
		})
	})
}

func ordersCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "orders", Short: "Show the latest orders to engines", Args: cobra.NoArgs}
	return remoteCommand(cmd, func(s *session, _ []string) error {
		var response []adminapi.Order
		if err := s.get("orders", nil, &response); err != nil {
			return err
		}
		return s.render(response, func(t *table) {
			t.header = []string{"ORDER", "FENCE", "BACKEND SERVER", "KIND", "SERVICE", "VERSION", "ROLE", "STATE"}
			for _, o := range response {
				t.add(o.ID, o.Fence, o.Server, o.Kind, o.Service, dashIfEmpty(o.Version), dashIfEmpty(o.Role), o.State)
			}
		})
	})
}

func auditCommand() *cobra.Command {
	var since time.Duration
	limit := 100
	cmd := &cobra.Command{Use: "audit", Short: "Show who changed what", Args: cobra.NoArgs}
	remoteCommand(cmd, func(s *session, _ []string) error {
		query := map[string]string{"max": strconv.Itoa(limit), "since": time.Now().Add(-since).UTC().Format(time.RFC3339)}
		var response []audit.Record
		if err := s.get("audit", query, &response); err != nil {
			return err
		}
		return s.render(response, func(t *table) {
			t.header = []string{"WHEN", "WHO", "WHAT", "OBJECT", "BEFORE", "AFTER", "VERDICT", "SHEET", "DETAIL"}
			for _, r := range response {
				t.add(r.When.Format(time.RFC3339), r.Who, r.What, dashIfEmpty(r.Object), dashIfEmpty(r.Before), dashIfEmpty(r.After), r.Verdict, dashIfEmpty(shortHash(r.SheetHash)), r.Detail)
			}
		})
	})
	cmd.Flags().DurationVar(&since, "since", 24*time.Hour, "maximum age of the records to show")
	cmd.Flags().IntVar(&limit, "max", limit, "maximum number of records")
	return cmd
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// shortHash returns the first 12 characters of a hash, enough to tell sheets apart.
func shortHash(hash string) string { return hash[:min(len(hash), 12)] }

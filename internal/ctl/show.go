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
	remote(cmd, func(s *session, _ []string) error {
		var answer adminapi.LimitsResponse
		if err := s.get("limits", map[string]string{"team": team, "service": service}, &answer); err != nil {
			return err
		}
		return s.show(answer, func(t *table) {
			t.header = []string{"TEAM", "SERVICE", "LIMIT", "UNIT", "RAISED ON"}
			for _, l := range answer.Limits {
				t.add(l.Team, l.Service, l.Value, l.Unit, dash(string(l.RaisedOn)))
			}
		})
	})
	cmd.Flags().StringVar(&team, "team", "", "only this team")
	cmd.Flags().StringVar(&service, "service", "", "only this service")
	return cmd
}

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show which version is in force where"}
	status := &cobra.Command{Use: "status", Short: "Show which VM has which version; exit 1 if one lags", Args: cobra.NoArgs}
	cmd.AddCommand(remote(status, (*session).configStatus))
	return cmd
}

func (s *session) configStatus([]string) error {
	var answer adminapi.ConfigStatus
	if err := s.get("config/status", nil, &answer); err != nil {
		return err
	}
	err := s.show(answer, func(t *table) {
		t.header = []string{"VM", "VERSION", "TOLD", "STATE"}
		for _, vm := range answer.VMs {
			t.add(vm.VM, vm.Version, age(vm.AgeMS), lag(vm.Version, answer.Newest))
		}
	})
	if err != nil {
		return err
	}
	if lagging := answer.Lagging(); lagging > 0 {
		return exit(ExitRefused, "%d of %d VMs lag behind version %d", lagging, len(answer.VMs), answer.Newest)
	}
	s.cmd.PrintErrf("version %d of %s, applied by %s, is in force on %d VMs\n", answer.Newest, answer.Day, answer.Operator, len(answer.VMs))
	return nil
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func lag(version, newest uint64) string {
	if version < newest {
		return "lags by " + strconv.FormatUint(newest-version, 10)
	}
	return "in force"
}

func vmsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "vms", Aliases: []string{"nodes"}, Short: "Show the entry VMs", Args: cobra.NoArgs}
	return remote(cmd, func(s *session, _ []string) error {
		var answer []adminapi.VM
		if err := s.get("vms", nil, &answer); err != nil {
			return err
		}
		return s.show(answer, func(t *table) {
			t.header = []string{"VM", "FAILURE DOMAIN", "STATE", "ADDRESS", "INCARNATION"}
			for _, vm := range answer {
				t.add(vm.VM, vm.FailureDomain, vm.State, vm.Addr, vm.Incarnation)
			}
		})
	})
}

func backendsCommand() *cobra.Command {
	var service string
	cmd := &cobra.Command{Use: "backends", Short: "Show the backend servers", Args: cobra.NoArgs}
	remote(cmd, func(s *session, _ []string) error {
		var answer []adminapi.BackendServer
		if err := s.get("backends", map[string]string{"service": service}, &answer); err != nil {
			return err
		}
		return s.show(answer, func(t *table) {
			t.header = []string{"BACKEND SERVER", "KIND", "SERVICE", "LAYERS", "FAILURE DOMAIN", "STATE", "ADDRESS"}
			for _, b := range answer {
				t.add(b.ID, b.Kind, b.Service, layers(b), b.FailureDomain, b.State, b.Addr)
			}
		})
	})
	cmd.Flags().StringVar(&service, "service", "", "only this service")
	return cmd
}

func layers(b adminapi.BackendServer) string {
	if b.LayerTo == 0 {
		return "-"
	}
	return strconv.Itoa(b.LayerFrom) + "-" + strconv.Itoa(b.LayerTo)
}

func drainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "drain VM", Short: "Begin the planned stop of a VM", Args: cobra.ExactArgs(1),
		Long: "Begin the planned stop of a VM: it vanishes from the addresses at once, serves until every\naddress given out has expired, ends its last stream, and stops.",
	}
	return remote(cmd, func(s *session, args []string) error {
		body, err := json.Marshal(adminapi.DrainRequest{VM: ident.VM(args[0])})
		if err != nil {
			return exit(ExitUsage, "%v", err)
		}
		var answer adminapi.DrainRequest
		if err := s.post("drain", nil, body, &answer); err != nil {
			return err
		}
		return s.show(answer, func(t *table) {
			t.header = []string{"DRAINING"}
			t.add(answer.VM)
		})
	})
}

func goneCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "gone VM...", Short: "Tell that VMs ended for good", Args: cobra.MinimumNArgs(1),
		Long: "Tell that VMs ended for good and will never run again. It is needed only when so many VMs that held\n" +
			"slots ended at once that no majority of them is left to be asked; `catkinctl vms` shows those as lost.\n" +
			"Saying it of a VM that still runs somewhere may let two VMs lend the same limit.",
	}
	return remote(cmd, func(s *session, args []string) error {
		request := adminapi.GoneRequest{}
		for _, vm := range args {
			request.VMs = append(request.VMs, ident.VM(vm))
		}
		body, err := json.Marshal(request)
		if err != nil {
			return exit(ExitUsage, "%v", err)
		}
		var answer adminapi.GoneRequest
		if err := s.post("gone", nil, body, &answer); err != nil {
			return err
		}
		return s.show(answer, func(t *table) {
			t.header = []string{"GONE"}
			for _, vm := range answer.VMs {
				t.add(vm)
			}
		})
	})
}

func ordersCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "orders", Short: "Show the last orders to engines", Args: cobra.NoArgs}
	return remote(cmd, func(s *session, _ []string) error {
		var answer []adminapi.Order
		if err := s.get("orders", nil, &answer); err != nil {
			return err
		}
		return s.show(answer, func(t *table) {
			t.header = []string{"ORDER", "FENCE", "BACKEND SERVER", "KIND", "SERVICE", "VERSION", "ROLE", "STATE"}
			for _, o := range answer {
				t.add(o.ID, o.Fence, o.Server, o.Kind, o.Service, dash(o.Version), dash(o.Role), o.State)
			}
		})
	})
}

func auditCommand() *cobra.Command {
	var since time.Duration
	limit := 100
	cmd := &cobra.Command{Use: "audit", Short: "Show who changed what", Args: cobra.NoArgs}
	remote(cmd, func(s *session, _ []string) error {
		query := map[string]string{"max": strconv.Itoa(limit), "since": time.Now().Add(-since).UTC().Format(time.RFC3339)}
		var answer []audit.Record
		if err := s.get("audit", query, &answer); err != nil {
			return err
		}
		return s.show(answer, func(t *table) {
			t.header = []string{"WHEN", "WHO", "WHAT", "OBJECT", "BEFORE", "AFTER", "VERDICT", "SHEET", "DETAIL"}
			for _, r := range answer {
				t.add(r.When.Format(time.RFC3339), r.Who, r.What, dash(r.Object), dash(r.Before), dash(r.After), r.Verdict, dash(short(r.SheetHash)), r.Detail)
			}
		})
	})
	cmd.Flags().DurationVar(&since, "since", 24*time.Hour, "how far back to look")
	cmd.Flags().IntVar(&limit, "max", limit, "largest number of records")
	return cmd
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// short is the start of a hash, enough to tell sheets apart.
func short(hash string) string { return hash[:min(len(hash), 12)] }

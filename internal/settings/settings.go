// Package settings reads a program's settings from flags and environment
// variables and checks them all before anything starts. A flag goes before its
// environment variable, which goes before the default. Every faulty setting is
// reported at once, with its name, its value and what would be right.
package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "CATKIN_"

// ExitCode is a program's exit code when a setting is faulty.
const ExitCode = 2

// Check says what is wrong with a value, or nil. Its message says what would
// be right.
type Check func(value string) error

// Lookup finds an environment variable; os.LookupEnv is one.
type Lookup func(name string) (string, bool)

// Set holds the settings of one command.
type Set struct {
	flags   *pflag.FlagSet
	entries []entry
}

type entry struct {
	name   string
	checks []Check
}

// On returns the settings of cmd.
func ForCommand(cmd *cobra.Command) *Set {
	return &Set{flags: cmd.Flags()}
}

// String declares a text setting.
func (s *Set) String(p *string, name, def, usage string, checks ...Check) {
	s.flags.StringVar(p, name, def, withEnv(usage, name))
	s.add(name, checks)
}

// Strings declares a comma-separated list.
func (s *Set) Strings(p *[]string, name string, def []string, usage string, checks ...Check) {
	s.flags.StringSliceVar(p, name, def, withEnv(usage, name))
	s.add(name, checks)
}

// Int declares a whole-number setting.
func (s *Set) Int(p *int, name string, def int, usage string, checks ...Check) {
	s.flags.IntVar(p, name, def, withEnv(usage, name))
	s.add(name, checks)
}

// Float declares a number setting.
func (s *Set) Float(p *float64, name string, def float64, usage string, checks ...Check) {
	s.flags.Float64Var(p, name, def, withEnv(usage, name))
	s.add(name, checks)
}

// Bool declares a switch.
func (s *Set) Bool(p *bool, name string, def bool, usage string) {
	s.flags.BoolVar(p, name, def, withEnv(usage, name))
	s.add(name, nil)
}

// Duration declares a span of time such as "1.5s".
func (s *Set) Duration(p *time.Duration, name string, def time.Duration, usage string, checks ...Check) {
	s.flags.DurationVar(p, name, def, withEnv(usage, name))
	s.add(name, checks)
}

func (s *Set) add(name string, checks []Check) {
	s.entries = append(s.entries, entry{name: name, checks: checks})
}

// Resolve fills settings without a flag from the environment, then checks every
// setting. The error is a Faults that names each faulty one.
func (s *Set) Resolve(lookup Lookup) error {
	var faults Faults
	for _, e := range s.entries {
		faults = append(faults, s.resolve(e, lookup)...)
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.WithStack(faults)
}

func (s *Set) resolve(e entry, lookup Lookup) Faults {
	flag := s.flags.Lookup(e.name)
	if value, ok := lookup(EnvName(e.name)); ok && !flag.Changed {
		if err := s.flags.Set(e.name, value); err != nil {
			return Faults{{Name: e.name, Value: value, Reason: "not a " + flag.Value.Type()}}
		}
	}
	var faults Faults
	value := flagText(flag)
	for _, check := range e.checks {
		if err := check(value); err != nil {
			faults = append(faults, Fault{Name: e.name, Value: value, Reason: err.Error()})
		}
	}
	return faults
}

// flagText is the value as a person writes it: a list without its brackets.
func flagText(flag *pflag.Flag) string {
	if list, ok := flag.Value.(pflag.SliceValue); ok {
		return strings.Join(list.GetSlice(), ",")
	}
	return flag.Value.String()
}

// EnvName is the environment variable of a setting: "kv-addr" is
// CATKIN_KV_ADDR.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func withEnv(usage, name string) string {
	return fmt.Sprintf("%s [$%s]", usage, EnvName(name))
}

// Fault is one faulty setting.
type Fault struct {
	Name   string
	Value  string
	Reason string
}

// Faults are all faulty settings of a program.
type Faults []Fault

// Error implements error, a line a fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("setting --%s (or $%s) is %q: %s",
			fault.Name, EnvName(fault.Name), fault.Value, fault.Reason))
	}
	return strings.Join(lines, "\n")
}

// Required refuses an empty value.
func Required(value string) error {
	if value == "" {
		return errors.New("must be set")
	}
	return nil
}

// Addr wants an IP number and a port, or nothing.
func Addr(value string) error {
	if value == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.New("want an IP number and a port, such as 127.0.0.1:8080")
	}
	return nil
}

// Addrs wants a comma-separated list of IP numbers with ports, or nothing.
func Addrs(value string) error {
	if value == "" {
		return nil
	}
	for _, item := range strings.Split(value, ",") {
		if err := Addr(item); err != nil {
			return errors.Newf("%q: %s", item, err.Error())
		}
	}
	return nil
}

// Positive wants a number or a span of time above zero.
func Positive(value string) error {
	if d, err := time.ParseDuration(value); err == nil && d > 0 {
		return nil
	}
	var number float64
	if _, err := fmt.Sscanf(value, "%g", &number); err == nil && number > 0 {
		return nil
	}
	return errors.New("want a value above zero")
}

// OneOf wants one of the given words.
func OneOf(words ...string) Check {
	return func(value string) error {
		for _, w := range words {
			if value == w {
				return nil
			}
		}
		return errors.Newf("want one of %s", strings.Join(words, ", "))
	}
}

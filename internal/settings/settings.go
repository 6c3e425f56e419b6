// Package settings reads a program's settings from flags and environment variables and
// validates them before the program starts. A flag takes precedence over its environment
// variable, which takes precedence over the default. One error reports all invalid
// settings, with their names, values and the expected values.
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

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "CATKIN_"

// ExitCode is a program's exit code if a setting is invalid.
const ExitCode = 2

// Check returns an error that states the expected value if value is invalid.
type Check func(value string) error

// Lookup looks up an environment variable, like os.LookupEnv.
type Lookup func(name string) (string, bool)

// Set holds the settings of one command.
type Set struct {
	flags    *pflag.FlagSet
	settings []setting
}

type setting struct {
	name   string
	checks []Check
}

// ForCommand returns an empty set whose settings become flags of cmd.
func ForCommand(cmd *cobra.Command) *Set {
	return &Set{flags: cmd.Flags()}
}

// String declares a string setting.
func (s *Set) String(p *string, name, def, usage string, checks ...Check) {
	s.flags.StringVar(p, name, def, usageWithEnv(usage, name))
	s.register(name, checks)
}

// Strings declares a setting that holds a comma-separated list.
func (s *Set) Strings(p *[]string, name string, def []string, usage string, checks ...Check) {
	s.flags.StringSliceVar(p, name, def, usageWithEnv(usage, name))
	s.register(name, checks)
}

// Int declares an integer setting.
func (s *Set) Int(p *int, name string, def int, usage string, checks ...Check) {
	s.flags.IntVar(p, name, def, usageWithEnv(usage, name))
	s.register(name, checks)
}

// Float declares a floating-point setting.
func (s *Set) Float(p *float64, name string, def float64, usage string, checks ...Check) {
	s.flags.Float64Var(p, name, def, usageWithEnv(usage, name))
	s.register(name, checks)
}

// Bool declares a boolean setting.
func (s *Set) Bool(p *bool, name string, def bool, usage string) {
	s.flags.BoolVar(p, name, def, usageWithEnv(usage, name))
	s.register(name, nil)
}

// Duration declares a duration setting such as "1.5s".
func (s *Set) Duration(p *time.Duration, name string, def time.Duration, usage string, checks ...Check) {
	s.flags.DurationVar(p, name, def, usageWithEnv(usage, name))
	s.register(name, checks)
}

func (s *Set) register(name string, checks []Check) {
	s.settings = append(s.settings, setting{name: name, checks: checks})
}

// Resolve reads settings that have no flag on the command line from the environment, then
// checks every setting. The error wraps a Problems that lists every invalid setting.
func (s *Set) Resolve(lookup Lookup) error {
	var problems Problems
	for _, e := range s.settings {
		problems = append(problems, s.resolve(e, lookup)...)
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.WithStack(problems)
}

func (s *Set) resolve(e setting, lookup Lookup) Problems {
	flag := s.flags.Lookup(e.name)
	if value, ok := lookup(EnvName(e.name)); ok && !flag.Changed {
		if err := s.flags.Set(e.name, value); err != nil {
			return Problems{{Name: e.name, Value: value, Reason: "must be of type " + flag.Value.Type()}}
		}
	}
	var problems Problems
	value := formatValue(flag)
	for _, check := range e.checks {
		if err := check(value); err != nil {
			problems = append(problems, Problem{Name: e.name, Value: value, Reason: err.Error()})
		}
	}
	return problems
}

// formatValue returns the value as written on the command line: a list without brackets.
func formatValue(flag *pflag.Flag) string {
	if list, ok := flag.Value.(pflag.SliceValue); ok {
		return strings.Join(list.GetSlice(), ",")
	}
	return flag.Value.String()
}

// EnvName returns the environment variable of a setting, such as CATKIN_KV_ADDR for
// "kv-addr".
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func usageWithEnv(usage, name string) string {
	return fmt.Sprintf("%s [$%s]", usage, EnvName(name))
}

// Problem describes one invalid setting.
type Problem struct {
	Name   string
	Value  string
	Reason string
}

// Problems is an error that lists all invalid settings of a program.
type Problems []Problem

// Error implements error, with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("setting --%s (or $%s) is %q: %s",
			problem.Name, EnvName(problem.Name), problem.Value, problem.Reason))
	}
	return strings.Join(lines, "\n")
}

// Required rejects an empty value.
func Required(value string) error {
	if value == "" {
		return errors.New("must be set")
	}
	return nil
}

// Addr accepts an IP address with a port, or an empty value.
func Addr(value string) error {
	if value == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.New("must be an IP address and a port, such as 127.0.0.1:8080")
	}
	return nil
}

// Addrs accepts a comma-separated list of IP addresses with ports, or an empty value.
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

// Positive accepts a number or a duration above zero.
func Positive(value string) error {
	if d, err := time.ParseDuration(value); err == nil && d > 0 {
		return nil
	}
	var number float64
	if _, err := fmt.Sscanf(value, "%g", &number); err == nil && number > 0 {
		return nil
	}
	return errors.New("must be positive")
}

// OneOf returns a check that accepts only the given words.
func OneOf(words ...string) Check {
	return func(value string) error {
		for _, w := range words {
			if value == w {
				return nil
			}
		}
		return errors.Newf("must be one of %s", strings.Join(words, ", "))
	}
}

// Package proptest fixes the seed of property tests, so that every run of the same source
// tree has the same result. Test files import it for its side effect.
//
// CATKIN_PROPTEST_SEED sets another seed; 0 selects a random one.
package proptest

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags set in init
)

// SeedVariable is the environment variable that overrides the default seed.
const SeedVariable = "CATKIN_PROPTEST_SEED"

const defaultSeed = "20261204"

func init() {
	seed := os.Getenv(SeedVariable)
	if seed == "" {
		seed = defaultSeed
	}
	setFlag("rapid.seed", seed)
	setFlag("rapid.nofailfile", "true")
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("proptest: " + err.Error())
	}
}

// Package proptest fixes the seed of property tests, so that every run of the
// same tree gives the same verdict. A test file imports it for its side effect.
//
// Set CATKIN_PROPTEST_SEED to try another seed; 0 takes a random one.
package proptest

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags that are set here
)

// SeedVariable names the environment variable that holds another seed.
const SeedVariable = "CATKIN_PROPTEST_SEED"

const defaultSeed = "20261204"

func init() {
	seed := os.Getenv(SeedVariable)
	if seed == "" {
		seed = defaultSeed
	}
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("proptest: " + err.Error())
	}
}

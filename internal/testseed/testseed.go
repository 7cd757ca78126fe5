// Package testseed sets one seed for the property tests of all packages, so that every CI
// run gives the same result. Only tests import it.
package testseed

import (
	"cmp"
	"flag"
	"fmt"
	"os"
)

// Variable is the environment variable that sets another seed; 0 means a random seed.
const Variable = "SAMPHIRERAIL_RAPID_SEED"

// Default is the seed if the environment variable is not set or empty.
const Default = "20261203"

// Set sets the seed of the property tests and prints it. It must be called from TestMain.
// It panics if the package has no property tests, since the flags are not defined then.
func Set() {
	flag.Parse()
	seed := cmp.Or(os.Getenv(Variable), Default)
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid seed", seed)
}

// Package testseed gives the property tests of all packages one seed, so that
// every run of CI comes to the same verdict. Only tests import it.
package testseed

import (
	"cmp"
	"flag"
	"fmt"
	"os"
)

// Variable names the environment variable that sets another seed; 0 draws one.
const Variable = "SAMPHIRERAIL_RAPID_SEED"

// Default is the seed when the environment names none.
const Default = "20261203"

// Set sets the seed of the property tests and prints it. It is called from
// TestMain and panics when the package's tests have no property tests.
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

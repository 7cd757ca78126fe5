package config

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed is the seed of the property tests unless the environment names
// another.
const defaultSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	seed := cmp.Or(os.Getenv("SAMPHIRERAIL_RAPID_SEED"), defaultSeed)
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	fmt.Println("rapid seed", seed)
	os.Exit(m.Run())
}

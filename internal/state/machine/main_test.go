package machine

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed is used unless SAMPHIRERAIL_RAPID_SEED names another one.
const defaultSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SAMPHIRERAIL_RAPID_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		fmt.Println("rapid.seed:", err)
		os.Exit(1)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		fmt.Println("rapid.nofailfile:", err)
		os.Exit(1)
	}
	fmt.Println("rapid seed", seed)
	os.Exit(m.Run())
}

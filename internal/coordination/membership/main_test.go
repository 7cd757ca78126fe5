package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

const defaultSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SAMPHIRERAIL_RAPID_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid seed", seed)
	goleak.VerifyTestMain(m)
}

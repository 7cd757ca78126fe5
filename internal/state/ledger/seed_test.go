package ledger

import (
	"os"
	"testing"

	"github.com/samphirerail/samphirerail/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Set()
	os.Exit(m.Run())
}

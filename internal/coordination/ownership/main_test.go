package ownership

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/samphirerail/samphirerail/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Set()
	goleak.VerifyTestMain(m)
}

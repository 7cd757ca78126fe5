package telemetry_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/telemetry"
)

func TestLoggerWritesOneLinePerEvent(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	logger := telemetry.NewLogger("entry", "info", &out)
	logger.With("team", "a\nb").Named("x").Info("first\nsecond", "error", errors.New("one\ntwo"), "bytes", []byte("p\r\nq"))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `one\ntwo`))
}

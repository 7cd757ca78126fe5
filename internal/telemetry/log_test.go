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

// TestNamesOfOtherWritersStayOnOneLine guards against a line of the log that another writer
// begins with a line break in a key or a name.
func TestNamesOfOtherWritersStayOnOneLine(t *testing.T) {
	is := is.New(t)
	type name string
	var out strings.Builder
	logger := telemetry.NewLogger("entry", "info", &out)
	logger.Info("ignored", "upstream", name("i-1\n07:00 [ERROR] x"), "domains", []name{"z\n1"}, "domain", name("z1"))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `i-1\n07:00`))
	is.True(strings.Contains(out.String(), "domain=z1"))
}

package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/command"
)

const validSettings = `
[entry]
vm = "e1"
domain = "north"
[listen]
callers = "127.0.0.1:7000"
internal = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
[platform]
log = ["127.0.0.1:7100"]
vm_list = ["127.0.0.1:7100"]
`

func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		text string
		code int
		want []string
	}{
		{name: "no faults", text: validSettings, code: command.ExitSuccess, want: []string{"no faults"}},
		{
			name: "every fault with key, range and remedy",
			text: validSettings + "[peers]\nheartbeat = \"1h\"\n[colour]\nred = 1\n",
			code: command.ExitSettings,
			want: []string{"colour", "peers.heartbeat", "50ms to 10s", "choose a value in the range"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "entry.toml")
			is.NoErr(os.WriteFile(file, []byte(tt.text), 0o600))
			var out, errOut strings.Builder
			code := command.Run(t.Context(), []string{"samphirerail", "check", "--config", file}, &out, &errOut)
			is.Equal(code, tt.code)
			for _, want := range tt.want {
				is.True(strings.Contains(out.String()+errOut.String(), want))
			}
		})
	}
}

func TestUnreadableSettings(t *testing.T) {
	is := is.New(t)
	var out, errOut strings.Builder
	code := command.Run(t.Context(), []string{"samphirerail", "run", "--config", filepath.Join(t.TempDir(), "none.toml")}, &out, &errOut)
	is.Equal(code, command.ExitFailure)
	is.True(strings.Contains(errOut.String(), "name a readable file"))
}

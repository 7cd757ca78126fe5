package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/settings"
)

const valid = `
[entry]
vm = "e1"
domain = "quimper"
region = "bretagne"
[listen]
callers = "127.0.0.1:7000"
internal = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
[platform]
log = ["127.0.0.1:7100"]
vm_list = ["127.0.0.1:7100"]
bootstrap_key = "root.s3cret"
`

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		keys []string
	}{
		{name: "valid", text: valid},
		{name: "unknown key", text: valid + "[log]\ncolour = true\n", keys: []string{"log.colour"}},
		{
			name: "all faults reported together",
			text: valid + "[peers]\nheartbeat = \"1h\"\nseeds = [\"host:1\"]\n[policy]\nobjective = \"luck\"\n",
			keys: []string{"peers.seeds[0]", "peers.heartbeat", "peers.dead_after", "policy.objective"},
		},
		{name: "host name instead of an IP", text: strings.Replace(valid, "127.0.0.1:7000", "localhost:7000", 1), keys: []string{"listen.callers"}},
		{name: "advertised host name", text: strings.Replace(valid, "[platform]", "advertise = \"host:1\"\n[platform]", 1), keys: []string{"listen.advertise"}},
		{name: "syntax", text: "[entry\n", keys: []string{"(syntax)"}},
		{name: "secret not shown in the fault", text: strings.Replace(valid, "root.s3cret", "s3cret", 1), keys: []string{"platform.bootstrap_key"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("entry.toml", tt.text)
			var faults *settings.FaultsError
			if !errors.As(err, &faults) {
				is.NoErr(err)
				is.Equal(len(tt.keys), 0)
				return
			}
			keys := []string{}
			for _, fault := range faults.Faults {
				keys = append(keys, fault.Key)
				is.True(fault.Allowed != "")
				is.True(fault.Remedy != "")
			}
			is.Equal(keys, tt.keys)
			is.True(!strings.Contains(err.Error(), "s3cret"))
		})
	}
}

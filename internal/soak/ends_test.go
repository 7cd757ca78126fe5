package soak

import (
	"os/exec"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func TestOnlyEndsThatTheSoakCausedAreAllowed(t *testing.T) {
	cases := []struct {
		name, script string
		sent         syscall.Signal
		own          bool
	}{
		{"killed by the soak", "kill -9 $$", syscall.SIGKILL, false},
		{"killed by another", "kill -9 $$", syscall.SIGTERM, true},
		{"stopped by the soak", "exit 0", syscall.SIGTERM, false},
		{"panics as it stops", "exit 2", syscall.SIGTERM, true},
		{"exits", "exit 0", 0, true},
		{"exits after a reload", "exit 1", syscall.SIGHUP, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command("sh", "-c", c.script)
			_ = cmd.Run() // some report an error
			e := &entry{sent: map[syscall.Signal]bool{c.sent: true}}
			e.noteEnd(cmd.ProcessState)
			is.Equal(len(e.ownEnds) == 1, c.own)
		})
	}
}

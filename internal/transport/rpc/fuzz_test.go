package rpc

import (
	"net"
	"net/rpc"
	"testing"
	"time"
)

// FuzzFrames reads arbitrary bytes as frames. Reading must end with an error and must not
// panic.
func FuzzFrames(f *testing.F) {
	for _, seed := range []string{"", "\x00\x00\x00\x00", "\x00\x00\x00\x02\x01\x02", "\xff\xff\xff\xff", "\x00\x00\x00\x09\x08\xff\x81\x03\x01"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		local, remote := net.Pipe()
		go func() {
			_, _ = remote.Write(data)
			_ = remote.Close()
		}()
		defer local.Close()
		reader := newFrameConn(local, 1<<16, time.Second)
		for reader.next() == nil {
			var request rpc.Request
			if reader.decode(&request) != nil {
				return
			}
			var args SubmitArgs
			if reader.decode(&args) != nil {
				return
			}
		}
	})
}

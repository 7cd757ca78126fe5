package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// advice is a stand-in of the advice service. It handles one call at a time for each calling
// machine, in turn, and allows every runner that a call names.
type advice struct {
	decision, each time.Duration
	validMS        int64
	record         *record
	mu             sync.Mutex
	callers        map[string]*sync.Mutex
	calls          int
}

func (a *advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	turn := a.callers[caller]
	if turn == nil {
		turn = &sync.Mutex{}
		a.callers[caller] = turn
	}
	a.calls++
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(a.decision + time.Duration(len(call.Workers))*a.each)
	turn.Unlock()
	a.record.note("advice for %s about %d runners to %s", call.Step, len(call.Workers), caller)
	good := make([][2]string, len(call.Workers))
	for i, id := range call.Workers {
		good[i] = [2]string{id, "ticket-" + call.Step + "-" + id}
	}
	reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.validMS})
}

// count returns how many calls there were.
func (a *advice) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

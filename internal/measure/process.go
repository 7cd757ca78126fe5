// Package measure observes running processes of the project, and fills
// stand-ins with data of a given size. It is for the figures of the capacity
// and benchmark pages.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// trafficPrefix begins the names of the byte counters.
const trafficPrefix = "net."

// Sample is what a process has used up to one moment.
type Sample struct {
	At time.Time
	// CPU is the processor time used since the start of the process.
	CPU time.Duration
	// ResidentKB and AnonymousKB are in kibibytes.
	ResidentKB  int64
	AnonymousKB int64
	Threads     int64
	// Traffic holds bytes by counter; empty without an operators' address.
	Traffic map[string]int64
}

// Take reads a process and, when operators is not empty, the byte counters on
// its operators' listener (IP:port).
func Take(ctx context.Context, pid int, operators string) (Sample, error) {
	s := Sample{At: time.Now()}
	if err := s.readStatus(pid); err != nil {
		return s, err
	}
	if err := s.readCPU(pid); err != nil {
		return s, err
	}
	if operators == "" {
		return s, nil
	}
	return s, s.readTraffic(ctx, operators)
}

func (s *Sample) readStatus(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return eris.Wrap(err, "measure: no such process; give the ID of a running one")
	}
	fields := map[string]*int64{"VmRSS:": &s.ResidentKB, "RssAnon:": &s.AnonymousKB, "Threads:": &s.Threads}
	for line := range strings.SplitSeq(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) < 2 || fields[words[0]] == nil {
			continue
		}
		if *fields[words[0]], err = strconv.ParseInt(words[1], 10, 64); err != nil {
			return eris.Wrapf(err, "measure: status of process %d", pid)
		}
	}
	return nil
}

// The positions of user and system time behind the command's name in
// /proc/<pid>/stat.
const (
	userTimeField   = 11
	systemTimeField = 12
)

func (s *Sample) readCPU(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return eris.Wrap(err, "measure: no such process; give the ID of a running one")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	words := strings.Fields(rest)
	if len(words) <= systemTimeField {
		return fmt.Errorf("measure: the stat file of process %d is cut short", pid)
	}
	ticks := int64(0)
	for _, i := range []int{userTimeField, systemTimeField} {
		n, err := strconv.ParseInt(words[i], 10, 64)
		if err != nil {
			return eris.Wrapf(err, "measure: stat of process %d", pid)
		}
		ticks += n
	}
	s.CPU = time.Duration(ticks) * time.Second / ticksPerSecond
	return nil
}

func (s *Sample) readTraffic(ctx context.Context, operators string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+"/metrics", nil)
	if err != nil {
		return eris.Wrap(err, "measure: the operators' address is not IP:port")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "measure: the operators' listener does not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "measure: the metrics were cut short")
	}
	var all map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.Unmarshal(data, &all); err != nil {
		return eris.Wrap(err, "measure: the metrics are no JSON")
	}
	s.Traffic = map[string]int64{}
	for name, metric := range all {
		if strings.HasPrefix(name, trafficPrefix) {
			s.Traffic[name] = metric.Count
		}
	}
	return nil
}

// Usage is what a process used between two samples.
type Usage struct {
	Period time.Duration
	// Core is in percent of one core.
	Core        float64
	ResidentKB  int64
	AnonymousKB int64
	Threads     int64
	// BytesPerSecond is by counter; Total is their sum.
	BytesPerSecond map[string]float64
	Total          float64
}

// Between returns what was used from one sample to a later one.
func Between(first, last Sample) Usage {
	period := last.At.Sub(first.At)
	u := Usage{
		Period: period, Core: 100 * float64(last.CPU-first.CPU) / float64(period),
		ResidentKB: last.ResidentKB, AnonymousKB: last.AnonymousKB, Threads: last.Threads,
		BytesPerSecond: map[string]float64{},
	}
	for name, count := range last.Traffic {
		rate := float64(count-first.Traffic[name]) / period.Seconds()
		u.BytesPerSecond[name] = rate
		u.Total += rate
	}
	return u
}

// LoadAverage returns the machine's load over the last minute.
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

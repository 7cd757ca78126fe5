// Package measure measures the resource usage and latency of running processes of the
// project, and fills a stand-in platform with data of a given size. The capacity and
// benchmark pages use its results.
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

// ticksPerSecond is the number of ticks per second of the processor times in /proc.
const ticksPerSecond = 100

// trafficPrefix is the name prefix of the metrics that count bytes.
const trafficPrefix = "net."

// Sample is the resource usage of a process at one time.
type Sample struct {
	// At is the time of the sample.
	At time.Time
	// CPU is the user and system time since the start of the process.
	CPU time.Duration
	// ResidentKB and AnonymousKB are the resident memory and the part of it that no file
	// backs, in kibibytes.
	ResidentKB  int64
	AnonymousKB int64
	Threads     int64
	// Traffic holds the transferred bytes by counter name. It is empty if ReadSample got
	// no operator address.
	Traffic map[string]int64
}

// ReadSample reads the resource usage of the process with an ID. If operators is not empty,
// it also reads the byte counters from the process's operator listener at that address
// (IP:port).
func ReadSample(ctx context.Context, pid int, operators string) (Sample, error) {
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

// readStatus reads memory and thread count from /proc/<pid>/status.
func (s *Sample) readStatus(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return eris.Wrap(err, "measure: can't read the process's status; give the ID of a running process")
	}
	fields := map[string]*int64{"VmRSS:": &s.ResidentKB, "RssAnon:": &s.AnonymousKB, "Threads:": &s.Threads}
	for line := range strings.SplitSeq(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) < 2 || fields[words[0]] == nil {
			continue
		}
		if *fields[words[0]], err = strconv.ParseInt(words[1], 10, 64); err != nil {
			return eris.Wrapf(err, "measure: can't parse the status file of process %d", pid)
		}
	}
	return nil
}

// The indexes of user and system time among the fields after the command name in
// /proc/<pid>/stat.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// readCPU reads the processor time from /proc/<pid>/stat.
func (s *Sample) readCPU(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return eris.Wrap(err, "measure: can't read the process's processor time; give the ID of a running process")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	words := strings.Fields(rest)
	if len(words) <= systemTimeField {
		return fmt.Errorf("measure: the stat file of process %d is truncated", pid)
	}
	ticks := int64(0)
	for _, i := range []int{userTimeField, systemTimeField} {
		n, err := strconv.ParseInt(words[i], 10, 64)
		if err != nil {
			return eris.Wrapf(err, "measure: can't parse the stat file of process %d", pid)
		}
		ticks += n
	}
	s.CPU = time.Duration(ticks) * time.Second / ticksPerSecond
	return nil
}

// readTraffic reads the byte counters from the metrics of the operator listener.
func (s *Sample) readTraffic(ctx context.Context, operators string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+"/metrics", nil)
	if err != nil {
		return eris.Wrap(err, "measure: the operator address must be IP:port")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "measure: the operator listener is unreachable")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "measure: the metrics reply is truncated")
	}
	var metrics map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.Unmarshal(data, &metrics); err != nil {
		return eris.Wrap(err, "measure: the metrics reply is not valid JSON")
	}
	s.Traffic = map[string]int64{}
	for name, metric := range metrics {
		if strings.HasPrefix(name, trafficPrefix) {
			s.Traffic[name] = metric.Count
		}
	}
	return nil
}

// Usage is the resource usage of a process between two samples.
type Usage struct {
	// Period is the time between the samples.
	Period time.Duration
	// Core is the processor usage in percent of one core.
	Core float64
	// ResidentKB, AnonymousKB and Threads are those of the later sample.
	ResidentKB  int64
	AnonymousKB int64
	Threads     int64
	// BytesPerSecond holds the rate of each byte counter; Total is their sum.
	BytesPerSecond map[string]float64
	Total          float64
}

// UsageBetween returns the resource usage between two samples of the same process.
func UsageBetween(first, last Sample) Usage {
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

// LoadAverage returns the machine's load average over the last minute, or "unknown".
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

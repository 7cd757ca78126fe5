package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/state"
)

// maxLine is the maximum length of a line of a trace in bytes.
const maxLine = 64 << 10

// LineError reports a line of a trace that is not valid.
type LineError struct {
	Line    int
	Problem string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("trace: line %d %s; see docs/TRACES.md", e.Line, e.Problem)
}

// Write writes a trace with one JSON object per line.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return eris.Wrap(err, "trace: write the header")
	}
	for i := range t.Events {
		if err := encoder.Encode(&t.Events[i]); err != nil {
			return eris.Wrapf(err, "trace: write event %d", i)
		}
	}
	return eris.Wrap(buffered.Flush(), "trace: write")
}

// Read reads a whole trace. It fails with a *LineError if a line is not valid or has an
// earlier time than the line before it.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
	t := &Trace{}
	vms := map[state.VMID]bool{}
	lineNumber := 0
	for lines.Scan() {
		lineNumber++
		if problem := t.parseLine(lineNumber, lines.Bytes(), vms); problem != "" {
			return nil, &LineError{Line: lineNumber, Problem: problem}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Wrapf(err, "trace: read line %d", lineNumber+1)
	}
	if lineNumber == 0 {
		return nil, &LineError{Line: 1, Problem: "is missing"}
	}
	return t, nil
}

// parseLine parses a line and adds it to the trace. It returns what is wrong with the
// line, or an empty string. vms collects the upstreams that were added so far.
func (t *Trace) parseLine(lineNumber int, line []byte, vms map[state.VMID]bool) string {
	if lineNumber == 1 {
		if err := decode(line, &t.Header); err != nil {
			return "is not a header: " + err.Error()
		}
		if t.Header.Format != Format {
			return fmt.Sprintf("has format %q, not %q", t.Header.Format, Format)
		}
		return ""
	}
	var e Event
	if err := decode(line, &e); err != nil {
		return "is not an event: " + err.Error()
	}
	if problem := e.check(); problem != "" {
		return problem
	}
	if e.Time() < t.End() {
		return "has an earlier time than the line before it"
	}
	if e.Upstream != nil {
		vms[e.Upstream.VM] = true
	}
	if e.VM != "" && !vms[e.VM] {
		return fmt.Sprintf("names the upstream %q before the event that adds it", e.VM)
	}
	t.Events = append(t.Events, e)
	return ""
}

func decode(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// check returns what is wrong with an event, or an empty string.
func (e *Event) check() string {
	if e.AtMicros < 0 {
		return "has a negative time"
	}
	switch e.Kind {
	case KindUpstream:
		return missing(e.Upstream == nil || e.Upstream.VM == "" || e.Upstream.Domain == "", "an upstream with vm and domain")
	case KindTeam:
		return missing(e.Team == nil || e.Team.ID == "", "a team with id")
	case KindSubmit:
		return missing(e.Submit == nil || e.Submit.ID == "" || !e.Submit.Class.Valid(), "a job with id and class")
	case KindCancel:
		return missing(e.Job == "", "a job")
	case KindLost, KindBack, KindFaulty, KindRepaired:
		return missing(e.VM == "", "a vm")
	case KindResized:
		return missing(e.VM == "" || e.Capacity == nil, "a vm and a capacity")
	}
	return fmt.Sprintf("has the unknown event %q", e.Kind)
}

func missing(isMissing bool, what string) string {
	if !isMissing {
		return ""
	}
	return "lacks " + what
}

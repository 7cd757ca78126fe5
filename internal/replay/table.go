package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/state/emulator"
)

// WriteJSON writes the reports as one JSON array.
func WriteJSON(w io.Writer, reports []*emulator.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(reports), "replay: can't write the reports as JSON")
}

// row is one line of the table: the name of a measure and the function that returns its
// value in a report.
type row struct {
	measure string
	value   func(r *emulator.Report) string
}

// WriteTable writes a table with one measure per line and one column per report, and then
// the violations of invariants in each report.
func WriteTable(w io.Writer, reports []*emulator.Report) error {
	if len(reports) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "measure"
	for _, r := range reports {
		header += "\t" + r.Policy
	}
	fmt.Fprintln(table, header)
	for _, line := range rows(reports) {
		text := line.measure
		for _, r := range reports {
			text += "\t" + line.value(r)
		}
		fmt.Fprintln(table, text)
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "replay: can't write the table")
	}
	return writeViolations(w, reports)
}

// writeViolations writes one line per violation of an invariant.
func writeViolations(w io.Writer, reports []*emulator.Report) error {
	for _, r := range reports {
		for _, v := range r.Violations {
			if _, err := fmt.Fprintf(w, "%s at %d us: %s: %s\n", r.Policy, v.AtMicros, v.Rule, v.Detail); err != nil {
				return eris.Wrap(err, "replay: can't write the violations")
			}
		}
	}
	return nil
}

func rows(reports []*emulator.Report) []row {
	all := outcomeRows()
	all = append(all, waitRows(reports[0])...)
	all = append(all, loadRows(reports)...)
	all = append(all, refusalRows(reports)...)
	return append(all,
		countRow("starts", func(r *emulator.Report) int { return r.Starts }),
		countRow("retries", func(r *emulator.Report) int { return r.Retries }),
		row{"decisions per second", func(r *emulator.Report) string { return fmt.Sprintf("%.0f", r.DecisionsPerSecond) }},
		row{"seconds spent on cancels", func(r *emulator.Report) string { return fmt.Sprintf("%.3f", r.CancelSeconds) }},
		countRow("breaches", func(r *emulator.Report) int { return len(r.Violations) }),
	)
}

// outcomeRows returns the rows that count jobs by their outcome.
func outcomeRows() []row {
	return []row{
		countRow("jobs", func(r *emulator.Report) int { return r.Jobs }),
		countRow("succeeded", func(r *emulator.Report) int { return r.Succeeded }),
		countRow("cancelled", func(r *emulator.Report) int { return r.Cancelled }),
		countRow("failed", func(r *emulator.Report) int { return r.Failed }),
		countRow("refused", func(r *emulator.Report) int { return r.Refused }),
		countRow("unknown", func(r *emulator.Report) int { return r.Unknown }),
		{"late", func(r *emulator.Report) string {
			return fmt.Sprintf("%d of %d (%s)", r.Late.Jobs, r.Late.Of, percent(r.Late.Part))
		}},
	}
}

// waitRows returns a row of waiting times for each group of jobs in r.
func waitRows(r *emulator.Report) []row {
	var lines []row
	for i, w := range r.Waits {
		lines = append(lines, row{"wait p50/p99 ms, " + w.Group, func(r *emulator.Report) string {
			return fmt.Sprintf("%.1f / %.1f", r.Waits[i].P50MS, r.Waits[i].P99MS)
		}})
	}
	return lines
}

// loadRows returns the rows on the use of upstreams by service and by team.
func loadRows(reports []*emulator.Report) []row {
	var lines []row
	for _, service := range serviceNames(reports) {
		lines = append(lines,
			row{"in use while work waits, " + service, func(r *emulator.Report) string {
				p, ok := packing(r, service)
				return percentOr(ok, p.InUse)
			}},
			row{"really in use while work waits, " + service, func(r *emulator.Report) string {
				p, ok := packing(r, service)
				return percentOr(ok, p.RealUse)
			}},
			row{"accelerators stranded, " + service, func(r *emulator.Report) string {
				p, ok := packing(r, service)
				return percentOr(ok, p.Stranded)
			}})
	}
	lines = append(lines, row{"upstreams overused", func(r *emulator.Report) string { return percent(r.Overused) }})
	for _, team := range teamNames(reports) {
		lines = append(lines, row{"share/fair/distance, " + team, func(r *emulator.Report) string {
			t, ok := teamShare(r, team)
			if !ok {
				return "-"
			}
			return fmt.Sprintf("%s / %s / %s", percent(t.Share), percent(t.Fair), percent(t.Distance))
		}})
	}
	return append(lines, row{"shortfall of share, mean", func(r *emulator.Report) string { return percent(r.Shortfall) }})
}

// refusalRows returns a row for each reason of refusal.
func refusalRows(reports []*emulator.Report) []row {
	var lines []row
	for _, reason := range reasonNames(reports) {
		lines = append(lines, countRow("refusals, "+reason, func(r *emulator.Report) int {
			for _, c := range r.Refusals {
				if string(c.Reason) == reason {
					return c.Count
				}
			}
			return 0
		}))
	}
	return lines
}

func countRow(measure string, value func(r *emulator.Report) int) row {
	return row{measure, func(r *emulator.Report) string { return fmt.Sprint(value(r)) }}
}

// percent formats a fraction of 1.
func percent(fraction float64) string { return fmt.Sprintf("%.1f%%", fraction*100) }

// percentOr formats a fraction of 1, or "-" if ok is false.
func percentOr(ok bool, fraction float64) string {
	if !ok {
		return "-"
	}
	return percent(fraction)
}

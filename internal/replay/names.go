package replay

import (
	"maps"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/emulator"
)

// collectNames returns the distinct names that visit adds for the reports, sorted.
func collectNames(reports []*emulator.Report, visit func(r *emulator.Report, add func(string))) []string {
	set := map[string]bool{}
	for _, r := range reports {
		visit(r, func(name string) { set[name] = true })
	}
	return slices.Sorted(maps.Keys(set))
}

// serviceNames returns the services for which any report has packing values.
func serviceNames(reports []*emulator.Report) []string {
	return collectNames(reports, func(r *emulator.Report, add func(string)) {
		for _, p := range r.Packing {
			add(string(p.Service))
		}
	})
}

// teamNames returns the teams in any report.
func teamNames(reports []*emulator.Report) []string {
	return collectNames(reports, func(r *emulator.Report, add func(string)) {
		for _, t := range r.Teams {
			add(string(t.Team))
		}
	})
}

// reasonNames returns the reasons of refusals in any report.
func reasonNames(reports []*emulator.Report) []string {
	return collectNames(reports, func(r *emulator.Report, add func(string)) {
		for _, c := range r.Refusals {
			add(string(c.Reason))
		}
	})
}

// packing returns the packing values of a service; it returns false if there are none.
func packing(r *emulator.Report, service string) (emulator.Packing, bool) {
	for _, p := range r.Packing {
		if string(p.Service) == service {
			return p, true
		}
	}
	return emulator.Packing{}, false
}

// teamShare returns the share of a team; it returns false if there is none.
func teamShare(r *emulator.Report, team string) (emulator.TeamShare, bool) {
	for _, t := range r.Teams {
		if string(t.Team) == team {
			return t, true
		}
	}
	return emulator.TeamShare{}, false
}

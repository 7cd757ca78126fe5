package replay

import (
	"maps"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/emulator"
)

// names collects what the reports name, each once and sorted.
func names(reports []*emulator.Report, of func(r *emulator.Report, add func(string))) []string {
	found := map[string]bool{}
	for _, r := range reports {
		of(r, func(name string) { found[name] = true })
	}
	return slices.Sorted(maps.Keys(found))
}

func serviceNames(reports []*emulator.Report) []string {
	return names(reports, func(r *emulator.Report, add func(string)) {
		for _, p := range r.Packing {
			add(string(p.Service))
		}
	})
}

func teamNames(reports []*emulator.Report) []string {
	return names(reports, func(r *emulator.Report, add func(string)) {
		for _, t := range r.Teams {
			add(string(t.Team))
		}
	})
}

func reasonNames(reports []*emulator.Report) []string {
	return names(reports, func(r *emulator.Report, add func(string)) {
		for _, c := range r.Refusals {
			add(string(c.Reason))
		}
	})
}

func packing(r *emulator.Report, service string) (emulator.Packing, bool) {
	for _, p := range r.Packing {
		if string(p.Service) == service {
			return p, true
		}
	}
	return emulator.Packing{}, false
}

func teamShare(r *emulator.Report, team string) (emulator.TeamShare, bool) {
	for _, t := range r.Teams {
		if string(t.Team) == team {
			return t, true
		}
	}
	return emulator.TeamShare{}, false
}

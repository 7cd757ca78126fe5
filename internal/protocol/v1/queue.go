package v1

import (
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Queue is a place that jobs are submitted to.
type Queue struct {
	// ID may be left out where the path names it.
	ID state.QueueID `json:"id,omitempty"`
	// Team is whose contract the work counts against.
	Team state.TeamID `json:"team"`
	// Open queues take work without a key.
	Open bool `json:"open"`
	// DefaultClass is the class of a job that names none.
	DefaultClass state.Class `json:"default_class,omitempty"`
}

// Validate checks each field on its own. It fails with a *FieldError.
func (q *Queue) Validate() error {
	err := first(CheckQueueID(q.ID), CheckTeam(q.Team))
	if err != nil || q.DefaultClass == "" {
		return err
	}
	return checkClass("default_class", q.DefaultClass)
}

// PutQueue is the body of PUT /v1/queues/{id}.
type PutQueue struct {
	Write
	Queue
}

// Validate checks the message. It fails with a *FieldError.
func (p *PutQueue) Validate() error {
	return first(p.RequireBase(), p.Queue.Validate())
}

// MaxDomains is the largest number of failure domains.
const MaxDomains = 1_000

// Domain is a failure domain.
type Domain struct {
	ID     state.DomainID `json:"id"`
	Region string         `json:"region,omitempty"`
	// Weight is the domain's part of each team's limit, 1 or more.
	Weight int64 `json:"weight"`
}

// PutDomains is the body of PUT /v1/domains.
type PutDomains struct {
	Write
	Domains []Domain `json:"domains"`
}

// Validate checks the message. It fails with a *FieldError.
func (p *PutDomains) Validate() error {
	err := first(p.RequireBase(), checkRange("domains", int64(len(p.Domains)), 1, MaxDomains))
	if err != nil {
		return err
	}
	seen := make(map[state.DomainID]bool, len(p.Domains))
	for i, d := range p.Domains {
		field := fmt.Sprintf("domains[%d]", i)
		if err := first(checkName(field+".id", string(d.ID)), checkRange(field+".weight", d.Weight, 1, MaxWeight)); err != nil {
			return err
		}
		if seen[d.ID] {
			return &FieldError{Field: field + ".id", Problem: "is listed twice", Remedy: "list each domain once"}
		}
		seen[d.ID] = true
	}
	return nil
}

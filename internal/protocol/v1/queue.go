package v1

import (
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Queue is a named destination for submissions, with a team and a default class.
type Queue struct {
	// ID may be omitted if the URL path contains it.
	ID state.QueueID `json:"id,omitempty"`
	// Team is the team whose contract the jobs count against.
	Team state.TeamID `json:"team"`
	// Open queues accept jobs without a key.
	Open bool `json:"open"`
	// DefaultClass is the class of a job that does not set one.
	DefaultClass state.Class `json:"default_class,omitempty"`
}

// Validate checks each field independently. It fails with a *FieldError.
func (q *Queue) Validate() error {
	err := firstError(CheckQueueID(q.ID), CheckTeam(q.Team))
	if err != nil || q.DefaultClass == "" {
		return err
	}
	return checkClass("default_class", q.DefaultClass)
}

// PutQueue is the request body of PUT /v1/queues/{id}.
type PutQueue struct {
	Write
	Queue
}

// Validate checks the message. It fails with a *FieldError.
func (p *PutQueue) Validate() error {
	return firstError(p.RequireBase(), p.Queue.Validate())
}

// MaxDomains is the maximum number of failure domains.
const MaxDomains = 1_000

// Domain is a failure domain.
type Domain struct {
	ID     state.DomainID `json:"id"`
	Region string         `json:"region,omitempty"`
	// Weight is the domain's relative share of each team's limit, 1 or more.
	Weight int64 `json:"weight"`
}

// PutDomains is the request body of PUT /v1/domains.
type PutDomains struct {
	Write
	Domains []Domain `json:"domains"`
}

// Validate checks the message. It fails with a *FieldError.
func (p *PutDomains) Validate() error {
	err := firstError(p.RequireBase(), checkRange("domains", int64(len(p.Domains)), 1, MaxDomains))
	if err != nil {
		return err
	}
	listed := make(map[state.DomainID]bool, len(p.Domains))
	for i, d := range p.Domains {
		field := fmt.Sprintf("domains[%d]", i)
		if err := firstError(checkName(field+".id", string(d.ID)), checkRange(field+".weight", d.Weight, 1, MaxWeight)); err != nil {
			return err
		}
		if listed[d.ID] {
			return &FieldError{Field: field + ".id", Problem: "is listed twice", Remedy: "list each domain once"}
		}
		listed[d.ID] = true
	}
	return nil
}

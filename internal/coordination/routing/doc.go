// Package routing brings a job to the owner of the shard that is its home, in
// this process or in another entry. It tries again while that is safe, and says
// truthfully whether the job can have run.
package routing

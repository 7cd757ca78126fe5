// Package routing sends a job to the owner of its home shard, in this process or in
// another entry. It retries while a retry can't run the job twice, and states in its
// errors whether the job can have run.
package routing

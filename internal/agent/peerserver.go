package agent

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/coordination/owner"
	"github.com/samphirerail/samphirerail/internal/state"
)

// peerServer handles calls from other entries.
type peerServer struct {
	members  *membership.Service
	manager  *owner.Manager
	follower *configlog.Follower
	shard    coordination.ShardID
}

var _ coordination.PeerServer = (*peerServer)(nil)

// HandleHeartbeat implements coordination.PeerServer.
func (p *peerServer) HandleHeartbeat(ctx context.Context, hb coordination.Heartbeat) (coordination.Heartbeat, error) {
	return p.members.HandleHeartbeat(ctx, hb)
}

// HandleSubmit implements coordination.PeerServer.
func (p *peerServer) HandleSubmit(ctx context.Context, shard coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	return p.manager.Submit(ctx, shard, s)
}

// HandleGet implements coordination.PeerServer.
func (p *peerServer) HandleGet(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	return p.manager.Get(ctx, p.shard, team, id, wait)
}

// HandleCancel implements coordination.PeerServer.
func (p *peerServer) HandleCancel(ctx context.Context, team state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	return p.manager.Cancel(ctx, p.shard, team, id)
}

// HandleConfigSince implements coordination.PeerServer.
func (p *peerServer) HandleConfigSince(_ context.Context, from int64) (coordination.ConfigUpdate, error) {
	return p.follower.UpdateFrom(from)
}

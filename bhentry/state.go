package bhentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlink"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhsync"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// HeadKey is the table row that holds the configuration in force.
const HeadKey = "config/head"

const pollInterval = time.Second

// follower keeps the store at the configuration in the platform's table and
// hands it to sidecars.
type follower struct {
	table  bhplatform.Table
	mesh   *bhmesh.Mesh
	store  *bhsync.Store
	logger bhlog.Logger
}

func newFollower(table bhplatform.Table, mesh *bhmesh.Mesh, store *bhsync.Store, logger bhlog.Logger) *follower {
	f := &follower{table: table, mesh: mesh, store: store, logger: logger}
	mesh.Attend(f.greet)
	return f
}

func (f *follower) run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			bhlog.Problem(f.logger, "config.poll_failed", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *follower) poll(ctx context.Context) error {
	sent := time.Now()
	row, err := f.table.Get(ctx, HeadKey)
	if err != nil {
		return err
	}
	f.store.Confirm(sent)
	if int64(row.Version) <= f.store.Version() {
		return nil
	}
	var config bhconf.Config
	if err := json.Unmarshal(row.Value, &config); err != nil {
		return errors.Wrap(err, "configuration")
	}
	snapshot, err := bhsync.NewSnapshot(int64(row.Version), config)
	if err != nil {
		return err
	}
	whole, err := snapshot.Whole()
	if err != nil {
		return err
	}
	if _, err := f.store.Apply(whole); err != nil {
		return err
	}
	frame, err := bhwire.Encode(bhwire.KindConfig, 0, whole)
	if err != nil {
		return err
	}
	f.mesh.Broadcast(string(bhconf.RoleSidecar), frame)
	return nil
}

// greet gives a sidecar the configuration when its session opens.
func (f *follower) greet(ctx context.Context, session *bhlink.Session) error {
	now := f.store.Current()
	if now != nil && session.Peer.Role == string(bhconf.RoleSidecar) {
		whole, err := now.Whole()
		if err != nil {
			return err
		}
		if err := session.SendMessage(ctx, bhwire.KindConfig, 0, whole); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

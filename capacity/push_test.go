package capacity

import (
	"context"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

func pushConfig(ctx context.Context, platform bhplatform.Platform, config bhconf.Config) error {
	return bhsync.NewArchive(platform).PushFirst(ctx, config)
}

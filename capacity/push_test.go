package capacity

import (
	"context"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhentry"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

func pushConfig(ctx context.Context, platform bhplatform.Platform, config bhconf.Config) error {
	body, err := config.Canonical()
	if err != nil {
		return err
	}
	_, err = platform.Table.Commit(ctx, bhplatform.Write{Key: bhentry.HeadKey, Value: body, Expect: bhplatform.Absent})
	return err
}

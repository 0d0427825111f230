package bhcmd

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhadmin"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
)

// KeyOptions are the flags of the key commands.
type KeyOptions struct {
	ApplyOptions
	Account string
	Name    string
	Expires time.Duration
}

// NewKey returns the command that groups the key commands.
func NewKey(factory *Factory) *cli.Command {
	return &cli.Command{
		Name:        "key",
		Usage:       "issue, revoke and list callers' keys",
		Description: describe("Only digests of keys are kept.", "baobab key issue --account zoo --name shift-office", "baobab key list"),
		Commands:    []*cli.Command{newKeyIssue(factory), newKeyRevoke(factory), newKeyList(factory)},
	}
}

func newKeyIssue(factory *Factory) *cli.Command {
	var options KeyOptions
	return &cli.Command{
		Name:  "issue",
		Usage: "make a key, show it once and add its digest to the configuration",
		Description: describe("Add the printed declaration to the program under version control too, or the next push takes the key away.",
			"baobab key issue --account zoo --name shift-office --expires 8760h"),
		Flags: append(options.flags(),
			&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account", Required: true, Destination: &options.Account},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the key", Required: true, Destination: &options.Name},
			&cli.DurationFlag{Name: "expires", Usage: "`TIME` from now until the key expires; never if left out", Destination: &options.Expires}),
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runKeyIssue(ctx, factory, &options)
		},
	}
}

// IssueReply is the key issue command's answer as JSON.
type IssueReply struct {
	Key         string     `json:"key"`
	Account     string     `json:"account"`
	Declaration bhconf.Key `json:"declaration"`
	Version     int64      `json:"version"`
}

func runKeyIssue(ctx context.Context, factory *Factory, options *KeyOptions) error {
	client, current, err := options.current(ctx)
	if err != nil {
		return err
	}
	key, digest, err := bhkey.Generate()
	if err != nil {
		return err
	}
	declared := bhconf.Key{Name: options.Name, Digest: digest}
	if options.Expires > 0 {
		declared.Expires = time.Now().Add(options.Expires).UTC().Truncate(time.Second)
	}
	index := slices.IndexFunc(current.Config.Accounts, func(a bhconf.Account) bool { return a.Name == options.Account })
	if index < 0 {
		return errors.Errorf("there is no account %s", options.Account)
	}
	account := &current.Config.Accounts[index]
	account.Keys = append(account.Keys, declared)
	options.Base, options.Note = current.Version, "key "+options.Name+" of "+options.Account
	quiet := &Factory{Streams: factory.Streams}
	quiet.Streams.Out = factory.Streams.Err
	if err := push(ctx, quiet, client, &options.ApplyOptions, current.Config); err != nil {
		return err
	}
	reply := IssueReply{Key: key, Account: options.Account, Declaration: declared, Version: current.Version + 1}
	return options.print(factory.Streams.Out, reply, func() {
		fmt.Fprintf(factory.Streams.Out, "%s\n", key)
		fmt.Fprintf(factory.Streams.Out, "The key isn't shown again. Declare it for %s as %s %s\n", options.Account, declared.Name, digest)
	})
}

func newKeyRevoke(factory *Factory) *cli.Command {
	var options KeyOptions
	return &cli.Command{
		Name:      "revoke",
		Usage:     "stop a key on all hosts at once, for ever",
		ArgsUsage: "DIGEST or ACCOUNT/NAME",
		Description: describe("Works while the platform is down. Says which hosts have stopped the key and which haven't confirmed it yet. "+
			"Fails unless all connected hosts have and the platform has recorded it.",
			"baobab key revoke zoo/shift-office", "baobab key revoke sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"),
		Flags: options.flags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			name, err := oneArgument(command, "key")
			if err != nil {
				return err
			}
			options.Name = name
			return runKeyRevoke(ctx, factory, &options)
		},
	}
}

func runKeyRevoke(ctx context.Context, factory *Factory, options *KeyOptions) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	digest := options.Name
	if !bhkey.ValidDigest(digest) {
		if digest, err = findKey(ctx, client, options.Name); err != nil {
			return err
		}
	}
	result, err := client.Revoke(ctx, digest)
	if err != nil {
		return err
	}
	err = options.print(factory.Streams.Out, result, func() {
		fmt.Fprintf(factory.Streams.Out, "stopped on: %s\n", strings.Join(result.Confirmed, " "))
		if len(result.Unconfirmed) > 0 {
			fmt.Fprintf(factory.Streams.Out, "not confirmed by: %s\n", strings.Join(result.Unconfirmed, " "))
		}
		if !result.Durable {
			fmt.Fprintln(factory.Streams.Out, "not yet on the platform; the hosts will record it there")
		}
	})
	if err == nil && (len(result.Unconfirmed) > 0 || !result.Durable) {
		return ErrSilent
	}
	return err
}

// findKey returns the digest of the key named as account/name.
func findKey(ctx context.Context, client *bhadmin.Client, place string) (string, error) {
	name, key, _ := strings.Cut(place, "/")
	current, err := client.Current(ctx)
	if err != nil {
		return "", err
	}
	for _, account := range current.Config.Accounts {
		for _, one := range account.Keys {
			if account.Name == name && one.Name == key {
				return one.Digest, nil
			}
		}
	}
	return "", errors.New("the configuration in force has no such key; give ACCOUNT/NAME or a digest")
}

// ListedKey is one key in the key list command's answer as JSON.
type ListedKey struct {
	Account string `json:"account"`
	bhconf.Key
	Revoked bool `json:"revoked"`
}

func newKeyList(factory *Factory) *cli.Command {
	var options KeyOptions
	return &cli.Command{
		Name:        "list",
		Usage:       "list the keys in the configuration in force",
		Description: describe("Shows digests, expiry and whether a key is revoked.", "baobab key list", "baobab key list --json"),
		Flags:       options.flags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runKeyList(ctx, factory, &options)
		},
	}
}

func runKeyList(ctx context.Context, factory *Factory, options *KeyOptions) error {
	_, current, err := options.current(ctx)
	if err != nil {
		return err
	}
	keys := []ListedKey{}
	for _, account := range current.Config.Accounts {
		for _, key := range account.Keys {
			keys = append(keys, ListedKey{Account: account.Name, Key: key, Revoked: slices.Contains(current.Revoked, key.Digest)})
		}
	}
	return options.print(factory.Streams.Out, keys, func() {
		for _, key := range keys {
			fmt.Fprintf(factory.Streams.Out, "%s/%s\t%s\t%s\n", key.Account, key.Name, key.Digest, key.state())
		}
	})
}

func (k ListedKey) state() string {
	switch {
	case k.Revoked:
		return "revoked"
	case k.Expires.IsZero():
		return "never expires"
	}
	return "expires " + k.Expires.Format(time.RFC3339)
}

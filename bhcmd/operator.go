package bhcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/baobabhaven/baobabhaven/bhadmin"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

// Environment of the operators' commands.
const (
	EnvAdmin = "BAOBAB_ADMIN"
	EnvToken = "BAOBAB_TOKEN"
)

// OperatorOptions are the flags that all operators' commands share. The token
// is no flag, since process lists show flags.
type OperatorOptions struct {
	Admin     string
	TokenFile string
	JSON      bool
}

func (o *OperatorOptions) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "`URL` of an entry's admin address", Sources: cli.EnvVars(EnvAdmin), Required: true, Destination: &o.Admin},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the operator's token; else it is read from " + EnvToken, Destination: &o.TokenFile},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
	}
}

func (o *OperatorOptions) client() (*bhadmin.Client, error) {
	token := os.Getenv(EnvToken)
	if o.TokenFile != "" {
		data, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "token")
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, &UsageError{Message: "no token: set " + EnvToken + " or --token-file"}
	}
	return bhadmin.NewClient(bhadmin.ClientConfig{URL: strings.TrimSuffix(o.Admin, "/"), Token: token}), nil
}

// current returns a client and the configuration in force at its entry.
func (o *OperatorOptions) current(ctx context.Context) (*bhadmin.Client, bhadmin.ConfigReply, error) {
	client, err := o.client()
	if err != nil {
		return nil, bhadmin.ConfigReply{}, err
	}
	reply, err := client.Current(ctx)
	return client, reply, err
}

// print writes value as JSON, or what people writes.
func (o *OperatorOptions) print(w io.Writer, value any, people func()) error {
	if !o.JSON {
		people()
		return nil
	}
	return printJSON(w, value)
}

func printChanges(w io.Writer, changes []bhsync.Difference) {
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "nothing changes")
	}
}

// readConfig reads a configuration from the named file, or from the standard
// input if it is "-".
func readConfig(factory *Factory, name string) (bhconf.Config, error) {
	data, err := readFile(factory, name)
	if err != nil {
		return bhconf.Config{}, err
	}
	return bhconf.ParseConfig(data)
}

// readFile reads the named file, or the standard input if it is "-".
func readFile(factory *Factory, name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(factory.Streams.In)
		return data, errors.Wrap(err, "standard input")
	}
	data, err := os.ReadFile(name)
	return data, errors.WithStack(err)
}

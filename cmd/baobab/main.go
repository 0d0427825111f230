// Command baobab runs and operates a baobabhaven fleet.
package main

import (
	"context"
	"os"

	"github.com/baobabhaven/baobabhaven/bhcmd"
)

func main() {
	os.Exit(bhcmd.Main(context.Background(), os.Args, bhcmd.SystemStreams()))
}

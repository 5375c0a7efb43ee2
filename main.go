// Command almondflow is a layer-4 load balancer for fleets of entry VMs behind a
// packet-spraying fabric.
package main

import (
	"context"
	"os"

	"github.com/almondflow/almondflow/cmd"
)

func main() {
	os.Exit(int(cmd.Run(context.Background(), os.Args, os.Stdout, os.Stderr)))
}

// Command driver plays one of the review's cases against the built program.
//
//	driver CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/citronbay/citronbay/review/cell"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxTime bounds a case.
const maxTime = 117 * time.Second

// play is one run of a case.
type play struct {
	*cell.Cell
	trouble bool
	broken  bool
}

// fail notes that the rule is broken.
func (p *play) fail(format string, arguments ...any) {
	p.broken = true
	text := fmt.Sprintf(format, arguments...)
	p.Log.Add("BROKEN: %s", text)
	fmt.Println("BROKEN:", text)
}

// scenario is a case: the number of nodes, and what happens once they have been started.
type scenario struct {
	nodes int
	run   func(*play) error
}

var scenarios = map[string]scenario{
	"dropped-route": {nodes: 3, run: droppedRoute},
	"suspects":      {nodes: 3, run: suspects},
	"lease":         {nodes: 3, run: lease},
	"flap":          {nodes: 3, run: flap},
	"backlog":       {nodes: 3, run: backlog},
	"hopeless":      {nodes: 3, run: hopeless},
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	if len(arguments) != 2 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		return couldNot
	}
	s, ok := scenarios[arguments[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", arguments[0])
		return couldNot
	}
	log, closeLog, err := cell.NewRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer closeLog()
	c, closeCell, err := cell.New(log, s.nodes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer closeCell()
	p := &play{
		Cell:    c,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- s.run(p) }()
	select {
	case err = <-done:
	case s := <-signals:
		err = fmt.Errorf("stopped by a signal (%s)", s)
	case <-time.After(maxTime):
		err = fmt.Errorf("the case has taken longer than %s", maxTime)
	}
	switch {
	case err != nil:
		log.Add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNot
	case p.broken:
		return broken
	}
	log.Add("the rule held")
	fmt.Println("the rule held")
	return held
}

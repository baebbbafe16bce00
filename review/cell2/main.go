package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cases holds what each case does. It returns what broke the rule, or nothing.
var cases = map[string]func(c *cell, trouble bool) []string{
	"services": servicesFail,
	"crashes":  runnersCrash,
	"gang":     gangFails,
	"hangup":   hangupWhileLeaving,
	"owners":   ownersChange,
	"again":    requestComesAgain,
}

// attempts is the number of attempts in the configuration of each case.
var attempts = map[string]int{
	"services": 4,
	"crashes":  2,
	"gang":     2,
	"hangup":   4,
	"owners":   4,
	"again":    4,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file of the record")
	status := flag.Int("status", 120, "status_s of the settings")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "cell2: no such case:", *name)
		os.Exit(exitCannot)
	}
	record, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cell2:", err)
		os.Exit(exitCannot)
	}
	os.Exit(playCase(*name, record, *status, play))
}

// playCase plays the case and returns the exit code.
func playCase(name string, record *os.File, status int, play func(*cell, bool) []string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	c := newCell(record, attempts[name])
	defer c.close()
	c.statusSeconds = status
	limit := time.AfterFunc(115*time.Second+time.Duration(max(0, status-60))*time.Second, func() {
		c.note("the case takes too long")
		c.close()
		os.Exit(exitCannot)
	})
	defer limit.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		c.close()
		os.Exit(exitCannot)
	}()
	broken := play(c, trouble)
	c.mu.Lock()
	cause := c.cause
	c.mu.Unlock()
	if cause != "" {
		c.note("cannot run: %s", cause)
		fmt.Println("cannot run:", cause)
		return exitCannot
	}
	for _, b := range broken {
		c.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	c.note("held")
	fmt.Println("held")
	return exitHeld
}

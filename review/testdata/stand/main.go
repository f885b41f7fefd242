// Command stand plays the clients, the nodos and the platform of a case of review/, and judges by what these
// see. It starts the project's own programs as separate processes by the commands of the deploy file, from the
// repository's folder.
//
//	stand CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

var began = time.Now()

// trouble is false with TROUBLE=0.
var trouble = os.Getenv("TROUBLE") != "0"

// record is what was sent, answered and run, with the time since the start in seconds.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		void("%v", err)
	}
}

func void(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	endAll()
	os.Exit(2)
}

// play is one case. It returns the breaks of the rule that were seen.
type play func(dir string, rec *record) (broken []string)

func main() {
	cases := map[string]play{"crowded-discovery": crowdedDiscovery, "silent-upload": silentUpload, "lost-directory": lostDirectory,
		"memory-limit": memoryLimit}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		void("usage: stand CASE FOLDER")
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	must(err)
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	time.AfterFunc(115*time.Second, func() { void("it takes over 115 s") })
	// Processes end with the thread that started them: that is the main one.
	runtime.LockOSThread()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() { void("it got the signal %v", <-ended) }()
	rec := &record{file: file}
	rec.add("case %s, trouble %v, %s", os.Args[1], trouble, began.UTC().Format(time.RFC3339))
	broken := cases[os.Args[1]](dir, rec)
	endAll()
	status := 0
	for _, b := range broken {
		status = 1
		rec.add("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if status == 0 {
		rec.add("the rule held")
		fmt.Println("the rule held")
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	os.Exit(status)
}

package scenario

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/baobabhaven/baobabhaven/bhcmd"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// outputShown is how much of a failed process's output is shown, in bytes.
const outputShown = 8 << 10

// need ends the scenario unless there are between least and most arguments.
func need(ts *testscript.TestScript, neg bool, args []string, least, most int, usage string) {
	if neg || len(args) < least || len(args) > most {
		ts.Fatalf("usage: %s", usage)
	}
}

// startCommand starts a process of the program under a name.
func startCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 100, "start NAME ARGUMENT...")
	ts.Check(worldOf(ts).start(args[0], args[1:]...))
}

// awaitCommand waits until a process's output matches a pattern a number of
// times.
func awaitCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 3, "await NAME PATTERN [COUNT]")
	p := worldOf(ts).process(ts, args[0])
	pattern, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	want := 1
	if len(args) == 3 {
		want, err = strconv.Atoi(args[2])
		ts.Check(err)
	}
	found := until(func() bool {
		count, err := p.matches(pattern)
		ts.Check(err)
		return count >= want
	})
	if !found {
		ts.Fatalf("%s never logged %s", args[0], args[1])
	}
}

// pollCommand waits until a GET gets status 200 and a body that matches a pattern.
func pollCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 2, "poll URL PATTERN")
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	w := worldOf(ts)
	var last string
	found := until(func() bool {
		response, err := w.http.Get(args[0])
		if err != nil {
			last = err.Error()
			return false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		last = string(body)
		return err == nil && response.StatusCode == http.StatusOK && pattern.Match(body)
	})
	if !found {
		ts.Fatalf("%s never answered %s, last: %s", args[0], args[1], last)
	}
}

// signalCommand sends a signal to a process.
func signalCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 2, "signal NAME TERM|KILL|STOP|CONT")
	signal, ok := signals[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[1])
	}
	ts.Check(worldOf(ts).process(ts, args[0]).signal(signal))
}

// finishCommand waits until a process ended with an exit code; -1 means that a
// signal ended it.
func finishCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 2, "finish NAME CODE")
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	p := worldOf(ts).process(ts, args[0])
	ended := until(func() bool {
		select {
		case <-p.done:
			return true
		default:
			return false
		}
	})
	if !ended {
		ts.Fatalf("%s did not end", args[0])
	}
	if p.code != want {
		text, err := os.ReadFile(p.output)
		ts.Check(err)
		ts.Fatalf("%s ended with %d:\n%s", args[0], p.code, text[max(0, len(text)-outputShown):])
	}
}

// switchCommand changes the faults of the platform's stand-in.
func switchCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, 1, "switch JSON")
	w := worldOf(ts)
	response, err := w.http.Post(w.url(portPlatform)+"/switch", "application/json", strings.NewReader(args[0]))
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("switch: %s", response.Status)
	}
}

// callCommand sends one request and prints the answer. It fails unless the
// status is as given; status 0 means that there is no whole answer.
func callCommand(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "call STATUS METHOD URL [key=KEY] [body=FILE|TEXT] [id=ID] [once=KEY]"
	need(ts, neg, args, 3, 7, usage)
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	options := parseOptions(ts, args[3:], usage)
	body := []byte(options["body"])
	if name, ok := strings.CutPrefix(options["body"], "@"); ok {
		body = []byte(ts.ReadFile(name))
	}
	request, err := http.NewRequest(args[1], args[2], bytes.NewReader(body))
	ts.Check(err)
	request.GetBody = nil
	if key := options["key"]; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if id := options["id"]; id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	if once := options["once"]; once != "" {
		request.Header.Set("Idempotency-Key", once)
	}
	status, text := send(worldOf(ts), request)
	_, err = ts.Stdout().Write(text)
	ts.Check(err)
	if status != want {
		ts.Fatalf("status %d: %s", status, text)
	}
}

// send returns the status and the body, or 0 if there is no whole answer.
func send(w *world, request *http.Request) (int, []byte) {
	response, err := w.http.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, append(text, err.Error()...)
	}
	return response.StatusCode, text
}

func parseOptions(ts *testscript.TestScript, args []string, usage string) map[string]string {
	options := make(map[string]string)
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			ts.Fatalf("usage: %s", usage)
		}
		options[name] = value
	}
	return options
}

// onceCommand fails if a request with a method that may not be repeated ran
// more than once on the plain services together.
func onceCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 10, "once METHOD URL...")
	runs := make(map[string]int)
	for _, url := range args[1:] {
		request, err := http.NewRequest(http.MethodGet, url+bhstand.PathStats, nil)
		ts.Check(err)
		status, body := send(worldOf(ts), request)
		if status != http.StatusOK {
			ts.Fatalf("%s: status %d", url, status)
		}
		var stats bhstand.PlainStats
		ts.Check(json.Unmarshal(body, &stats))
		for name, count := range stats.Runs {
			if strings.HasPrefix(name, args[0]+" ") {
				runs[name] += count
			}
		}
	}
	if len(runs) == 0 {
		ts.Fatalf("no %s ran", args[0])
	}
	for name, count := range runs {
		if count > 1 {
			ts.Fatalf("%s ran %d times", name, count)
		}
	}
}

// readyCommand waits for dev's ready line and sets URL, ADMIN and KEY, a key of
// the account.
func readyCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 2, "ready NAME ACCOUNT")
	p := worldOf(ts).process(ts, args[0])
	pattern := regexp.MustCompile(`(?m)^\{"url".*$`)
	var line []byte
	found := until(func() bool {
		text, err := os.ReadFile(p.output)
		ts.Check(err)
		line = pattern.Find(text)
		return line != nil
	})
	if !found {
		ts.Fatalf("%s never became ready", args[0])
	}
	var ready bhcmd.DevReady
	ts.Check(json.Unmarshal(line, &ready))
	ts.Setenv("URL", ready.URL)
	ts.Setenv("ADMIN", ready.Admin)
	ts.Setenv("KEY", ready.Keys[args[1]])
}

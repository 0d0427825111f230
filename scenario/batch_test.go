package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// batchTokens is the longest answer of an item.
const batchTokens = 16

// batchLine is one line of a result file.
type batchLine struct {
	ID       string `json:"custom_id"`
	Response *struct {
		Status int               `json:"status_code"`
		Body   bhchat.Completion `json:"body"`
	} `json:"response"`
	Error json.RawMessage `json:"error"`
}

// itemPrompt returns the content of an item's message; each of the bad items
// can't be done.
func itemPrompt(i, items, bad int) string {
	if bad > 0 && i%(items/bad) == items/bad-1 {
		return fmt.Sprintf("REFUSE item %d", i)
	}
	return fmt.Sprintf("Draft the rota of enclosure %d", i)
}

// submitCommand submits a batch and sets BATCH to its id.
func submitCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 4, 5, "submit URL KEY ITEMS BAD [ID]")
	items, err := strconv.Atoi(args[2])
	ts.Check(err)
	bad, err := strconv.Atoi(args[3])
	ts.Check(err)
	body, contentType, err := batchForm(items, bad)
	ts.Check(err)
	request, err := http.NewRequest(http.MethodPost, args[0]+bhbatch.PathFiles, body)
	ts.Check(err)
	request.Header.Set("Content-Type", contentType)
	var file, batch struct {
		ID string `json:"id"`
	}
	exchange(ts, request, args[1], &file)
	create := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, file.ID, bhchat.Path)
	request, err = http.NewRequest(http.MethodPost, args[0]+bhbatch.PathBatches, strings.NewReader(create))
	ts.Check(err)
	request.Header.Set("Content-Type", "application/json")
	if len(args) == 5 {
		request.Header.Set(bhbatch.HeaderIdempotency, args[4])
	}
	exchange(ts, request, args[1], &batch)
	ts.Setenv("BATCH", batch.ID)
}

func batchForm(items, bad int) (*bytes.Buffer, string, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return nil, "", err
	}
	part, err := form.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return nil, "", err
	}
	for i := range items {
		_, err := fmt.Fprintf(part,
			`{"custom_id":"item-%d","method":"POST","url":%q,"body":{"model":"rota","max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`+"\n",
			i, bhchat.Path, batchTokens, itemPrompt(i, items, bad))
		if err != nil {
			return nil, "", err
		}
	}
	return &body, form.FormDataContentType(), form.Close()
}

// exchange sends a request with a key and decodes its answer.
func exchange(ts *testscript.TestScript, request *http.Request, key string, target any) {
	request.Header.Set("Authorization", "Bearer "+key)
	status, text := send(worldOf(ts), request)
	if status != http.StatusOK {
		ts.Fatalf("%s: status %d: %s", request.URL.Path, status, text)
	}
	ts.Check(json.Unmarshal(text, target))
}

// resultsCommand waits until the batch has ended and checks that each item has
// one result, right or, for the bad ones, its own error.
func resultsCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 5, 5, "results URL KEY BATCH ITEMS BAD")
	items, err := strconv.Atoi(args[3])
	ts.Check(err)
	bad, err := strconv.Atoi(args[4])
	ts.Check(err)
	var reply bhbatch.BatchReply
	ended := until(func() bool {
		request, err := http.NewRequest(http.MethodGet, args[0]+bhbatch.PathBatches+"/"+args[2], nil)
		ts.Check(err)
		request.Header.Set("Authorization", "Bearer "+args[1])
		status, text := send(worldOf(ts), request)
		if status == http.StatusOK {
			ts.Check(json.Unmarshal(text, &reply))
		}
		return status == http.StatusOK && reply.Status == bhbatch.Completed
	})
	if !ended {
		ts.Fatalf("batch %s is %s with %+v", args[2], reply.Status, reply.Counts)
	}
	if reply.OutputFile == nil || (bad > 0 && reply.ErrorFile == nil) {
		ts.Fatalf("the batch has no result files")
	}
	checkOutput(ts, readLines(ts, args[0], args[1], *reply.OutputFile), items, bad)
	if bad > 0 {
		checkErrors(ts, readLines(ts, args[0], args[1], *reply.ErrorFile), items, bad)
	}
}

// readLines returns the lines of a result file by item; none may come twice.
func readLines(ts *testscript.TestScript, url, key, file string) map[string]batchLine {
	request, err := http.NewRequest(http.MethodGet, url+bhbatch.PathFiles+"/"+file+"/content", nil)
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+key)
	status, text := send(worldOf(ts), request)
	if status != http.StatusOK {
		ts.Fatalf("file %s: status %d: %s", file, status, text)
	}
	lines := make(map[string]batchLine)
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		var line batchLine
		ts.Check(json.Unmarshal(scanner.Bytes(), &line))
		if _, twice := lines[line.ID]; twice {
			ts.Fatalf("%s has two results", line.ID)
		}
		lines[line.ID] = line
	}
	ts.Check(scanner.Err())
	return lines
}

func checkOutput(ts *testscript.TestScript, lines map[string]batchLine, items, bad int) {
	if len(lines) != items-bad {
		ts.Fatalf("%d results, not %d", len(lines), items-bad)
	}
	for i := range items {
		content := itemPrompt(i, items, bad)
		if strings.HasPrefix(content, bhstand.WordRefuse) {
			continue
		}
		prompt := bhchat.Request{Messages: []bhchat.Message{{Role: "user", Content: content}}}.Prompt()
		want := strings.Join(bhstand.Answer("rota", prompt, batchTokens), "")
		line, ok := lines[fmt.Sprintf("item-%d", i)]
		if !ok || line.Response == nil || len(line.Response.Body.Choices) != 1 {
			ts.Fatalf("item-%d has no answer", i)
		}
		if got := line.Response.Body.Choices[0].Message.Content; got != want {
			ts.Fatalf("item-%d has another answer: %s", i, got)
		}
	}
}

func checkErrors(ts *testscript.TestScript, lines map[string]batchLine, items, bad int) {
	if len(lines) != bad {
		ts.Fatalf("%d errors, not %d", len(lines), bad)
	}
	for i := range items {
		if !strings.HasPrefix(itemPrompt(i, items, bad), bhstand.WordRefuse) {
			continue
		}
		if _, ok := lines[fmt.Sprintf("item-%d", i)]; !ok {
			ts.Fatalf("item-%d has no error", i)
		}
	}
}

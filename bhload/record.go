package bhload

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// Histograms record microseconds.
const (
	histogramUnit   = time.Microsecond
	histogramMax    = 10 * time.Minute
	histogramDigits = 3

	samplesKept = 10
)

// Percentiles that are reported.
const (
	median      = 50
	ninetieth   = 90
	ninetyNinth = 99
)

// Latency summarizes a histogram.
type Latency struct {
	Count int64           `json:"count"`
	P50   bhconf.Duration `json:"p50"`
	P90   bhconf.Duration `json:"p90"`
	P99   bhconf.Duration `json:"p99"`
	Max   bhconf.Duration `json:"max"`
}

// Row is the result of one account and class.
type Row struct {
	Account string `json:"account"`
	Class   Class  `json:"class"`
	Sent    int    `json:"sent"`
	// Verdicts counts the requests by how they ended.
	Verdicts map[Verdict]int `json:"verdicts"`
	// Codes counts the refusals and broken answers by result code, or by
	// "http-" and the status where there is no code.
	Codes map[string]int `json:"codes"`
	// First is the time to the first token, of all good answers.
	First Latency `json:"first"`
	// Between is the time from token to token.
	Between Latency `json:"between"`
	Total   Latency `json:"total"`
}

// Result is the result of a load.
type Result struct {
	Seed    uint64          `json:"seed"`
	Elapsed bhconf.Duration `json:"elapsed"`
	// All sums up the rows; its account and class are empty.
	All  Row   `json:"all"`
	Rows []Row `json:"rows"`
	// Messages are the first failures seen.
	Messages []string `json:"messages,omitempty"`
}

// Clean reports whether every request got its whole and own answer.
func (r Result) Clean() bool { return r.All.Verdicts[Good] == r.All.Sent }

// Correct reports whether no answer was wrong or ended early unseen.
func (r Result) Correct() bool { return r.All.Verdicts[Wrong]+r.All.Verdicts[Short] == 0 }

// rowKey names a row.
type rowKey struct {
	account string
	class   Class
}

// series is a row in the making.
type series struct {
	row                   Row
	first, between, total *hdrhistogram.Histogram
}

func newSeries(key rowKey) *series {
	return &series{
		row: Row{
			Account:  key.account,
			Class:    key.class,
			Verdicts: make(map[Verdict]int),
			Codes:    make(map[string]int),
		},
		first:   newHistogram(),
		between: newHistogram(),
		total:   newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
}

func (s *series) add(outcome Outcome) {
	s.row.Sent++
	s.row.Verdicts[outcome.Verdict]++
	switch outcome.Verdict {
	case Refused, Broken:
		s.row.Codes[codeName(outcome)]++
	case Good:
		record(s.first, outcome.First)
		record(s.total, outcome.Total)
		for _, gap := range outcome.Between {
			record(s.between, gap)
		}
	}
}

func (s *series) result() Row {
	row := s.row
	row.First = summarize(s.first)
	row.Between = summarize(s.between)
	row.Total = summarize(s.total)
	return row
}

func codeName(outcome Outcome) string {
	if outcome.Code != 0 {
		return strconv.Itoa(outcome.Code)
	}
	return "http-" + strconv.Itoa(outcome.Status)
}

// record enters a time; one over the histogram's range counts as its maximum.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(int64(min(value, histogramMax) / histogramUnit))
}

func summarize(histogram *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) bhconf.Duration {
		return bhconf.Duration(time.Duration(histogram.ValueAtPercentile(percentile)) * histogramUnit)
	}
	return Latency{
		Count: histogram.TotalCount(),
		P50:   at(median),
		P90:   at(ninetieth),
		P99:   at(ninetyNinth),
		Max:   bhconf.Duration(time.Duration(histogram.Max()) * histogramUnit),
	}
}

// recorder gathers outcomes.
type recorder struct {
	mu       sync.Mutex
	all      *series
	rows     map[rowKey]*series
	messages []string
}

func newRecorder() *recorder {
	return &recorder{all: newSeries(rowKey{}), rows: make(map[rowKey]*series)}
}

func (r *recorder) add(request Request, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rowKey{account: request.Account.Name, class: request.Kind.Class}
	if r.rows[key] == nil {
		r.rows[key] = newSeries(key)
	}
	r.all.add(outcome)
	r.rows[key].add(outcome)
	if outcome.Verdict != Good && len(r.messages) < samplesKept {
		r.messages = append(r.messages, request.ID+": "+string(outcome.Verdict)+": "+outcome.Message)
	}
}

func (r *recorder) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := Result{All: r.all.result(), Messages: r.messages}
	for _, s := range r.rows {
		result.Rows = append(result.Rows, s.result())
	}
	slices.SortFunc(result.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Class, b.Class))
	})
	return result
}

package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Bounds of the histograms: 1 µs to 1 h with three significant digits.
const (
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// Percentiles sums up a histogram.
type Percentiles struct {
	Count int64             `json:"count"`
	P50   recorder.Duration `json:"p50"`
	P95   recorder.Duration `json:"p95"`
	P99   recorder.Duration `json:"p99"`
	Max   recorder.Duration `json:"max"`
}

// Row is the part of a report on one kind of request of one account.
type Row struct {
	Account recorder.Name `json:"account"`
	// Kind is chat, call or read.
	Kind string `json:"kind"`
	Sent int    `json:"sent"`
	// Unsent counts planned requests that the bound of requests in flight held back.
	Unsent   int             `json:"unsent"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// FirstToken and Total count from the planned time of the request, and
	// Between from event to event. Only whole answers count in Total.
	FirstToken Percentiles `json:"first-token"`
	Total      Percentiles `json:"total"`
	Between    Percentiles `json:"between-tokens"`
}

// Report is the result of a run.
type Report struct {
	Seed    uint64            `json:"seed"`
	Elapsed recorder.Duration `json:"elapsed"`
	Rows    []Row             `json:"rows"`
	// Reasons counts what was not a whole answer, by outcome and reason.
	Reasons map[string]int `json:"reasons"`
	// Audit is missing where no service was asked.
	Audit *Audit `json:"audit,omitempty"`
}

// tally collects the results of one row.
type tally struct {
	mu                    sync.Mutex
	row                   Row
	reasons               map[string]int
	first, total, between *hdrhistogram.Histogram
}

func newTally(account recorder.Name, kind string) *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highest, digits) }
	return &tally{
		row:     Row{Account: account, Kind: kind, Outcomes: map[Outcome]int{}},
		reasons: map[string]int{}, first: h(), total: h(), between: h(),
	}
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(highest, d.Microseconds())))
}

func (t *tally) end(v verdict, total time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row.Outcomes[v.outcome]++
	if v.outcome == Whole {
		observe(t.total, total)
		return
	}
	t.reasons[string(v.outcome)+": "+v.reason]++
}

func (t *tally) report(reasons map[string]int) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, n := range t.reasons {
		reasons[k] += n
	}
	r := t.row
	r.FirstToken, r.Total, r.Between = percentiles(t.first), percentiles(t.total), percentiles(t.between)
	return r
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) recorder.Duration {
		return recorder.Duration(time.Duration(h.ValueAtQuantile(p)) * time.Microsecond)
	}
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := func(f string, args ...any) { _, _ = fmt.Fprintf(t, f, args...) }
	p("account\tkind\tsent\twhole\trefused\tfailed\tlost\twrong-version\twrong-content\t")
	p("first p50\tp95\tp99\ttotal p50\tp95\tp99\tbetween p50\tp95\tp99\t\n")
	for _, x := range r.Rows {
		p("%s\t%s\t%d\t", x.Account, x.Kind, x.Sent)
		for _, o := range []Outcome{Whole, Refused, Failed, Lost, WrongVersion, WrongContent} {
			p("%d\t", x.Outcomes[o])
		}
		for _, v := range []Percentiles{x.FirstToken, x.Total, x.Between} {
			p("%s\t%s\t%s\t", short(v.P50), short(v.P95), short(v.P99))
		}
		p("\n")
	}
	if err := t.Flush(); err != nil {
		return err
	}
	var b strings.Builder
	for _, k := range sortedKeys(r.Reasons) {
		fmt.Fprintf(&b, "%6d  %s\n", r.Reasons[k], k)
	}
	if r.Audit != nil {
		fmt.Fprintln(&b, r.Audit)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func short(d recorder.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fms", float64(d.Std())/float64(time.Millisecond))
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// token takes in the time of an event and returns it. The first event counts
// from the planned time of the request.
func (t *tally) token(planned, last, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last.Equal(planned) {
		observe(t.first, now.Sub(planned))
	} else {
		observe(t.between, now.Sub(last))
	}
	return now
}

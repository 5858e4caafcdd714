package connector_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// gone marks an epoch that a 410 states.
const gone = 1 << 62

// epochLog is a log without records whose responses state the given epochs.
type epochLog struct {
	epochs []uint64
	// waits holds the times for which the reads allowed the log to wait.
	waits []string
}

func (l *epochLog) RoundTrip(q *http.Request) (*http.Response, error) {
	l.waits = append(l.waits, q.URL.Query().Get("wait-ms"))
	w := httptest.NewRecorder()
	if e := l.epochs[0]; e&gone != 0 {
		w.WriteHeader(http.StatusGone)
		_, _ = fmt.Fprintf(w, `{"error":"offset is below the oldest record","first":9,"epoch":%d}`, e&^gone)
	} else {
		_, _ = fmt.Fprintf(w, `{"first":1,"next":1,"epoch":%d}`, e)
	}
	l.epochs = l.epochs[1:]
	r := w.Result()
	r.Request = q
	return r, nil
}

// Guards against a false high epoch in one response, after which no response with the true epoch would be
// used, and against a true one that is never used.
func TestEpochOfLog(t *testing.T) {
	for _, c := range []struct {
		name string
		// epochs holds those of the responses, which arrive at the intervals of pause.
		epochs []uint64
		pause  time.Duration
		// used tells for each response whether it is used: + or -, and g for a 410 that is.
		used string
		// unconfirmed lists what was logged: the epoch and the known one.
		unconfirmed string
	}{
		{"ordinary", []uint64{1, 1, 2, 4, 1004}, 0, "+++++", ""},
		{"none", []uint64{0, 0}, 0, "++", ""},
		{"high at the start", []uint64{5000, 5000, 5000}, 300 * time.Millisecond, "-++", "5000/0 "},
		{"limit at the start", []uint64{1000, 2000, 3001}, 0, "++-", "3001/2000 "},
		{"one false response", []uint64{1, 1 << 63, 1, 1 << 63, 1}, 300 * time.Millisecond, "+-+-+", "9223372036854775808/1 9223372036854775808/1 "},
		{"confirmed", []uint64{1, 5000, 5000, 5001}, 300 * time.Millisecond, "+-++", "5000/1 "},
		{"confirmed by a higher one", []uint64{1, 5000, 5002, 5002}, 300 * time.Millisecond, "+-++", "5000/1 "},
		{"too soon", []uint64{1, 5000, 5000, 5000, 5000}, 150 * time.Millisecond, "+--++", "5000/1 "},
		{"lower one between", []uint64{1, 5000, 3000, 5000, 5000}, 150 * time.Millisecond, "+----", "5000/1 3000/1 5000/1 "},
		{"each higher than the last", []uint64{1, 5000, 50000, 500000, 2}, 300 * time.Millisecond, "+---+", "5000/1 50000/1 500000/1 "},
		{"410 with a false one", []uint64{1, gone | 5000, gone | 1, 5000}, 300 * time.Millisecond, "+-g-", "5000/1 5000/1 "},
		{"410 with the true one between", []uint64{1, 5000, gone | 1, 5000}, 300 * time.Millisecond, "+-g-", "5000/1 5000/1 "},
		{"410 confirms", []uint64{1, 5000, gone | 5000, 5000}, 300 * time.Millisecond, "+-g+", "5000/1 "},
		{"without an epoch between", []uint64{1, 5000, 0, 5000}, 300 * time.Millisecond, "+-++", "5000/1 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var used, unconfirmed strings.Builder
				l := connector.NewLog("http://log", &http.Client{Transport: &epochLog{epochs: c.epochs}})
				l.Unconfirmed = func(epoch, known uint64) { fmt.Fprintf(&unconfirmed, "%d/%d ", epoch, known) }
				for i, e := range c.epochs {
					b, err := l.Read(t.Context(), "s", 1, 1, 0)
					var f *connector.Error
					switch {
					case err == nil:
						used.WriteString("+")
					case errors.As(err, &f) && f.First == 9:
						used.WriteString("g")
					default:
						used.WriteString("-")
					}
					if err == nil && b.Epoch != e || err != nil && b.Epoch != 0 {
						t.Errorf("read %d: epoch %d, error %v", i, b.Epoch, err)
					}
					time.Sleep(c.pause)
				}
				if used.String() != c.used || unconfirmed.String() != c.unconfirmed {
					t.Errorf("used %s, unconfirmed %s; want %s, %s", &used, &unconfirmed, c.used, c.unconfirmed)
				}
			})
		})
	}
}

// delayedLog responds with the epoch 5000 after a second, also to reads that are made at the same time.
type delayedLog struct{}

func (delayedLog) RoundTrip(q *http.Request) (*http.Response, error) {
	time.Sleep(time.Second)
	return (&epochLog{epochs: []uint64{5000}}).RoundTrip(q)
}

// Guards against two responses of one moment that confirm each other, because reads were made at the same time
// or the process was paused between them, and against a read that waits for a record while an epoch is pending.
func TestReadsOfOneMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := connector.NewLog("http://log", &http.Client{Transport: delayedLog{}})
		errs := make(chan error, 2)
		for i := range 2 {
			go func() {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				_, err := l.Read(t.Context(), "s", 1, 1, 0)
				errs <- err
			}()
		}
		for range 2 {
			if err := <-errs; err == nil {
				t.Error("a response was used that a read of the same moment confirmed")
			}
		}
		if _, err := l.Read(t.Context(), "s", 1, 1, 0); err != nil {
			t.Errorf("a later read: %v", err)
		}
	})
	s := &epochLog{epochs: []uint64{1, 5000, 1, 1}}
	l := connector.NewLog("http://log", &http.Client{Transport: s})
	for range 4 {
		_, _ = l.Read(t.Context(), "s", 1, 1, 2*time.Second)
	}
	if got := strings.Join(s.waits, " "); got != "2000 2000 0 2000" {
		t.Errorf("waits %s ms, want no wait while an epoch is pending", got)
	}
}

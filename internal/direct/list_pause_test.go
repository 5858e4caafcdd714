package direct

import (
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// After a pause requests must wait until the new list is applied, not only read: in between
// they went to an endpoint that had begun to drain in the pause.
func TestListAppliedAfterPause(t *testing.T) {
	now := timekeeper.Now().Add(-10 * time.Second)
	f := &follower{state: &observer.State{Now: timekeeper.Now}}
	g := &Gateway{follower: f}
	g.monitor.Limit, g.monitor.Now = maxBeatInterval, func() time.Time { return now }
	g.monitor.Beat()
	now = timekeeper.Now()
	if g.isCurrent() {
		t.Fatal("the list of before the pause is taken for current")
	}
	f.endpoints.Apply(connector.Changes{Next: 1}, timekeeper.Now())
	if g.isCurrent() {
		t.Error("a list that isn't applied yet is taken for current")
	}
	f.applyList(observer.Update{First: true})
	if !g.isCurrent() {
		t.Error("the new list isn't taken for current")
	}
}

package loader

import (
	"context"
	"strconv"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// earlyStageShare is the share of the pieces that must have been fetched before the
// first is staged. Staging replaces the pieces of the older version at the engine, which
// are the only copy after a restart of this process.
const earlyStageShare = 0.5

// stageEarlyStep stages the pieces of a version while others are still being fetched, so
// that the load can be ordered soon after the last piece has arrived. The pieces are
// compared with their digests before the order.
func (l *Loader) stageEarlyStep(ctx context.Context) error {
	e := l.Engine()
	version := l.fetching.Load()
	if e == nil || version == 0 {
		return nil
	}
	m := l.versions.of(version)
	if m == nil {
		return nil
	}
	var ready []int
	for i, d := range m.Chunks {
		if l.Store.Has(d) {
			ready = append(ready, i)
		}
	}
	if float64(len(ready)) < earlyStageShare*float64(len(m.Chunks)) {
		return nil
	}
	for _, i := range ready {
		if m.staged[i] {
			continue
		}
		if ok, err := l.stageEarly(ctx, e.Model, m, version, i); err != nil || !ok {
			return err
		}
		m.staged[i] = true
	}
	return nil
}

// stageEarly stages one piece of the version that is being fetched. It returns false if
// the engine has to load another version first, whose staged pieces must stay.
func (l *Loader) stageEarly(ctx context.Context, model string, m *manifest, version int64, i int) (bool, error) {
	l.staging.Lock()
	defer l.staging.Unlock()
	s, known := l.Reporter.State()
	if !known || l.fetching.Load() != version || s.Versions[model] < l.complete.Load() {
		return false, nil
	}
	b, ok := l.Store.Get(m.Chunks[i])
	if !ok {
		return false, nil
	}
	if err := l.replica().stage(ctx, model, i, b); err != nil {
		return false, fail("stage piece "+strconv.Itoa(i)+" early", classifier.Of(err), err)
	}
	return true, nil
}

package front

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	exact "github.com/go-json-experiment/json"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

const (
	// fetchTimeout limits the time to fetch a view from another VM. Views may be large, and the
	// link may be slow.
	fetchTimeout = 2500 * clock.Millisecond
	// cachedViewTTL is how long a compressed complete view is reused for siblings that start.
	cachedViewTTL = clock.Second
	// viewAgeHeader carries the age of the view in milliseconds.
	viewAgeHeader = "Almondflow-View-Age"
	// maxViewBytes limits the size of a view after decompression.
	maxViewBytes = 8 << 20
	viewPath     = "/view"
)

// errPausedMeanwhile reports that a response or message may be older than the clock shows,
// because the machine was paused while it was on its way.
var errPausedMeanwhile = errors.New("the machine was paused meanwhile")

// viewResponse is the view that one VM sends to another.
type viewResponse struct {
	AgeMS   clock.Millis     `json:"-"` // sent in viewAgeHeader, as the body may be cached
	Digest  uint64           `json:"digest"`
	Changes *catalog.Changes `json:"changes"`
}

// currentVersions returns the version of the tables and the revision of this VM's view. Both are
// zero before the view is complete. The revision is zero if the view has diverged from a
// sibling's, so that the next fetch returns all targets. The caller holds the lock.
func (d *Daemon) currentVersions() (version int64, revision inband.Revision) {
	if !d.catalog.IsComplete() {
		return 0, 0
	}
	if d.hasDiverged {
		return d.catalog.Tables().Version, 0
	}
	return d.catalog.Tables().Version, d.catalog.Revision()
}

// versionsToFetchAfter returns the versions after which to fetch the changes that a sibling's view has. They are
// zero, for all of it, if the store came back from an older copy before it: changes of another era do not tell
// what the store has lost. The caller holds the lock.
func (d *Daemon) versionsToFetchAfter(view *siblings.ViewSummary) (version int64, revision inband.Revision) {
	if view != nil && view.Revision.Era() > d.catalog.Revision().Era() {
		return 0, 0
	}
	return d.currentVersions()
}

// updateFromSibling fetches the changes that this VM lacks from another VM and merges them.
func (d *Daemon) updateFromSibling(ctx context.Context, from netip.AddrPort, version int64, revision inband.Revision) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	pauseCount := d.checkForPause(d.clock.Now())
	response, err := fetchView(callCtx, from, version, revision)
	now := d.clock.Now()
	if err == nil && d.checkForPause(now) != pauseCount {
		err = errPausedMeanwhile
	}
	d.mu.Lock()
	d.isFetching = false
	d.readScheduler.EndSiblingViewWait()
	var applied []catalog.Change
	wasComplete := d.catalog.IsComplete()
	if err == nil {
		applied = d.mergeFetchedView(now, response, version == 0, from.String())
	}
	d.mu.Unlock()
	if err != nil {
		d.log.Warn("view_not_fetched", "at_ms", now, "sibling", from, "error", err)
		d.wakeReader()
		return
	}
	d.logChanges(now, from.String(), applied)
	d.logPassedOver(now, from.String())
	d.wakeReader()
	d.handlePending()
	if !wasComplete {
		d.announce(now, false, maxLocalRecipients)
	}
}

// mergeFetchedView merges a fetched view. The caller holds the lock.
func (d *Daemon) mergeFetchedView(now clock.Millis, response *viewResponse, isFull bool, from string) []catalog.Change {
	response.Changes.FromSibling = true
	isNewEra := response.Changes.Revision.Era() > d.catalog.Revision().Era()
	isFull = isFull && (isNewEra || !d.catalog.IsComplete())
	applied := d.mergeChanges(now, now-response.AgeMS, response.Changes, isFull, from)
	if isFull && d.catalog.HasAllDrains() { // otherwise the full read goes on
		d.readScheduler.RecordSiblingView()
	}
	// The response omits changes up to the requested revision. If those differ, the digests do,
	// and the next fetch asks for all targets.
	d.hasDiverged = response.Changes.Revision == d.catalog.Revision() && response.Digest != d.catalog.Digest()
	return applied
}

// fetchView fetches the changes after the given versions from another VM.
func fetchView(ctx context.Context, from netip.AddrPort, version int64, revision inband.Revision) (*viewResponse, error) {
	query := url.Values{
		"version":  {strconv.FormatInt(version, 10)},
		"revision": {strconv.FormatUint(uint64(revision), 10)},
	}
	target := url.URL{Scheme: "http", Host: from.String(), Path: viewPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch view: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("sibling answered with status %d", response.StatusCode)
	}
	view := &viewResponse{}
	if err := exact.UnmarshalRead(io.LimitReader(response.Body, maxViewBytes), view); err != nil {
		return nil, fmt.Errorf("decode view: %w", err)
	}
	age, err := strconv.ParseInt(response.Header.Get(viewAgeHeader), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("parse the age of the view: %w", err)
	}
	view.AgeMS = clock.Millis(age)
	if view.Changes == nil || slices.Contains(view.Changes.Targets, nil) {
		return nil, errors.New("sibling sent a view without changes or with a null target")
	}
	return view, nil
}

// serveView answers another VM with the changes that it lacks.
func (d *Daemon) serveView(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.FormValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	revision, err := strconv.ParseUint(r.FormValue("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	body, age, err := d.compressedView(version, inband.Revision(revision))
	switch {
	case err != nil:
		d.log.Warn("answer_not_sent", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
	case body == nil || !d.allowView(len(body)):
		w.WriteHeader(http.StatusServiceUnavailable) // the caller falls back to the store or another VM
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set(viewAgeHeader, strconv.FormatInt(int64(age), 10))
		_, _ = w.Write(body) // a caller that disconnected tries another VM
	}
}

// allowView reports whether the rate limit permits sending a view of the given size, and counts
// it against the limit.
func (d *Daemon) allowView(bytes int) bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.viewBucket.allow(now, bytes, 0)
}

// compressedView is a complete view, compressed for one sibling and reused for others.
type compressedView struct {
	body         []byte
	drains       []drain.Mark // that it holds
	confirmedAt  clock.Millis
	compressedAt clock.Millis
}

// isUsable reports whether the view is young enough to be reused, and holds the drains in force: a VM that
// starts with it must place no flow on their targets.
func (v *compressedView) isUsable(now clock.Millis, drains []drain.Mark) bool {
	return v.body != nil && now-v.compressedAt < cachedViewTTL && slices.Equal(v.drains, drains)
}

// compressedView returns the compressed changes after the given versions and their age, or no
// body if this VM has no complete view yet. A complete view is cached, because many VMs that
// start at the same time all ask for it.
func (d *Daemon) compressedView(version int64, revision inband.Revision) ([]byte, clock.Millis, error) {
	now := d.clock.Now()
	isFull := version == 0 && revision == 0
	d.mu.Lock()
	if !d.catalog.IsComplete() {
		d.mu.Unlock()
		return nil, 0, nil
	}
	drains := d.catalog.Drains()
	if isFull && d.cachedView.isUsable(now, drains) {
		cached := d.cachedView
		d.mu.Unlock()
		return cached.body, now - cached.confirmedAt, nil
	}
	age := d.catalog.Age(now)
	response := viewResponse{Digest: d.catalog.Digest(), Changes: d.catalog.ChangesSince(now, version, revision)}
	d.mu.Unlock()
	body, err := compressJSON(response)
	if err != nil {
		return nil, 0, err
	}
	if isFull {
		d.mu.Lock()
		d.cachedView = compressedView{body: body, drains: drains, confirmedAt: now - age, compressedAt: now}
		d.mu.Unlock()
	}
	return body, d.clock.Now() - now + age, nil
}

// compressJSON encodes a value as JSON and compresses it, as links between VMs may be slow.
func compressJSON(value any) ([]byte, error) {
	var body bytes.Buffer
	writer, err := gzip.NewWriterLevel(&body, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress view: %w", err)
	}
	if err := errors.Join(json.NewEncoder(writer).Encode(value), writer.Close()); err != nil {
		return nil, fmt.Errorf("compress view: %w", err)
	}
	return body.Bytes(), nil
}

package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maxDocumentBytes limits the size of a document published over HTTP.
const maxDocumentBytes = 32 << 20

// controlValue publishes the document in the request body.
func (p *Platform) controlValue(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err == nil {
		err = p.Publish(r.PathValue("name"), document)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// controlFault sets the fault named in the path.
func (p *Platform) controlFault(w http.ResponseWriter, r *http.Request) {
	fault := PlatformFault(r.PathValue("name"))
	if !slices.Contains(PlatformFaults(), fault) {
		http.Error(w, fmt.Sprintf("faults are %v", PlatformFaults()), http.StatusBadRequest)
		return
	}
	delay, err := strconv.ParseUint("0"+r.URL.Query().Get("delay_milliseconds"), 10, 31)
	if err != nil {
		http.Error(w, "delay_milliseconds must be a number", http.StatusBadRequest)
		return
	}
	p.SetFault(fault, time.Duration(delay)*time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// controlCalls responds with the number of calls.
func (p *Platform) controlCalls(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "{\"calls\":%d}\n", p.Calls())
}

package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maxPublished is the length in bytes of the largest document taken by hand.
const maxPublished = 32 << 20

func (p *Platform) controlValue(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPublished))
	if err == nil {
		err = p.Publish(r.PathValue("name"), document)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

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

func (p *Platform) controlCalls(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "{\"calls\":%d}\n", p.Calls())
}

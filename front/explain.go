package front

import (
	"net/http"
	"net/netip"

	"github.com/almondflow/almondflow/inband"
)

// serveExplain answers with the target of a flow and the reasons for its choice.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	client, err := netip.ParseAddrPort(r.FormValue("client"))
	if err != nil {
		http.Error(w, "client is not an address with a port", http.StatusBadRequest)
		return
	}
	service, err := netip.ParseAddrPort(r.FormValue("service"))
	if err != nil {
		http.Error(w, "service is not an address with a port", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	explanation := d.engine.Explain(d.clock.Now(), inband.Key{Client: client, Destination: service})
	d.mu.Unlock()
	d.writeJSON(w, explanation)
}

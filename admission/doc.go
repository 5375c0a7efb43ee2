// Package admission decides how many openings of the less urgent routes to a pool are refused while its
// targets have too little room, so that callers of the most urgent route still get their answers in time.
//
// A Controller takes the work at the pool's targets, by failure domain, and returns the share of openings
// to refuse for each priority. It has no clock, no random numbers and no network: VMs with the same news
// of the load come to about the same shares without telling each other.
package admission

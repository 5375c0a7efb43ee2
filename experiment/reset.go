package experiment

import (
	"fmt"

	"github.com/almondflow/almondflow/inband"
)

// countReset counts a reset sent to a client, and whether it is wrong.
func (s *simulation) countReset(v *vm, key inband.Key, backend *inband.Backend) {
	if backend == nil {
		s.report.Refused++
		return
	}
	s.report.Resets++
	t := s.byID[backend.Target().ID]
	s.trace("vm%d resets %v at %s, up=%v", v.number, key.Client, t.spec.ID, t.isUp)
	if !t.isUp || t.flows[key] == nil {
		return
	}
	what := fmt.Sprintf("at %v by VM %d of %s: %v at %s", s.now, v.number, domainName(v.domain), key.Client, t.spec.ID)
	if !s.isExplained(v, t, key) {
		s.report.UnexplainedResets++
		if s.report.FirstUnexplained == "" {
			s.report.FirstUnexplained = what
		}
	}
	if reason := s.refutation(v, t, key); reason != "" {
		s.report.RefutedResets++
		if s.report.FirstRefuted == "" {
			s.report.FirstRefuted = what + ": " + reason
		}
	}
}

// isExplained reports whether a recent fault of the target, or of the way to it, explains the reset of a flow
// that it has. A domain that is cut off explains none of flows that wait for nothing: the cut may end.
func (s *simulation) isExplained(v *vm, t *target, key inband.Key) bool {
	if t.isDegraded() || s.lossRate > 0 || s.now-max(t.disturbedAt, s.lossEndedAt) < resetGracePeriod {
		return true
	}
	if until, wasCut := s.cutUntil[vmLink{v.number, t}]; wasCut && s.now-until < resetGracePeriod {
		return true
	}
	isAffected := s.now-s.healedAt < resetGracePeriod || s.isAffectedByPartition(v, t)
	return isAffected && v.seen.isWaiting(key)
}

// isAffectedByPartition reports whether a partition separates a VM from a target.
func (s *simulation) isAffectedByPartition(v *vm, t *target) bool {
	return v.domain != t.domain && (s.partitioned == v.domain || s.partitioned == t.domain || s.oneWayPartitioned == t.domain)
}

// refutation returns what the VM has seen that speaks against its reset of a flow which the target has, or an
// empty string. That holds under every fault, as a target that lives may be disturbed. Its newest sign is the
// newest probe of any VM that the target did not accept.
func (s *simulation) refutation(v *vm, t *target, key inband.Key) string {
	f := v.seen.flows[key]
	newestSign := t.unansweredAt
	if f != nil && f.isRepeated && v.domain != t.domain {
		newestSign = max(newestSign, f.sentAt) // enough if the domain is cut off
	}
	switch {
	case v.seen.answeredSentAt[t] > newestSign:
		return "the target answered a packet that is newer than each sign"
	case f == nil:
		return ""
	case !f.isWaiting && f.seenAt > max(t.unansweredAt, v.seen.repeatedAt[t]):
		return "it waits for nothing and was seen later than each sign"
	case f.isWaiting && v.domain == t.domain && f.firstAt > t.unansweredAt && !f.isRepeated:
		return "it came later than each silent or refused probe and has met no silence"
	default:
		return ""
	}
}

package front

import (
	"bytes"
	"os"
)

// settingsCheckTicks is the number of ticks per check of the settings file, which may change
// without a signal.
const settingsCheckTicks = 8

// reloadChanged reloads the settings file if it changed since the last check.
func (d *Daemon) reloadChanged() {
	path := d.options.SettingsPath
	if path == "" {
		return
	}
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		d.logRoutine("settings_unreadable", "error", err)
		return
	}
	if d.settingsText != nil && !bytes.Equal(text, d.settingsText) {
		d.reload(path, text)
	}
	d.settingsText = text
}

// Reload reloads the settings file. Only the seeds, the regions of failure domains, the rate limit of log lines and
// the shutdown time take effect in a running process. Invalid settings are logged and change nothing.
func (d *Daemon) Reload(path string) {
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		d.log.Error("settings_refused", "at_ms", d.clock.Now(), "error", err)
		return
	}
	d.reload(path, text)
}

// reload applies the text of the settings file at a path.
func (d *Daemon) reload(path string, text []byte) {
	now := d.clock.Now()
	parsed, err := ParseSettings(text)
	if err != nil {
		d.log.Error("settings_refused", "at_ms", now, "error", err)
		return
	}
	updated := *d.settings.Load()
	updated.Seeds, updated.LogLinesPerSecond, updated.StopMS = parsed.Seeds, parsed.LogLinesPerSecond, parsed.StopMS
	updated.Regions = parsed.Regions
	d.settings.Store(&updated)
	regions := d.currentRegions()
	d.applyRegions(now, &updated)
	d.auditRegions(now, regions, path)
	d.mu.Lock()
	d.lineLimiter.perSecond = parsed.LogLinesPerSecond
	d.mu.Unlock()
	d.auditTrail.add(AuditRecord{AtMS: now, Subject: "settings", After: "reloaded", Source: path})
	d.log.Info("settings_reloaded", "at_ms", now, "seeds", len(parsed.Seeds), "log_lines_per_second", parsed.LogLinesPerSecond, "stop_ms", parsed.StopMS)
}

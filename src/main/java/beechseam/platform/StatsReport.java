package beechseam.platform;

import beechseam.core.Counters;
import beechseam.core.Engine;
import beechseam.dispatch.JobClass;
import java.util.List;

/**
 * Formats the counters that operators read at the admin endpoint, one {@code svc.name=value} per line. Monitoring
 * depends on the names and their order, so neither may change.
 */
final class StatsReport {
    private final Engine engine;
    private final List<JobClass> classes;

    /** {@code classes} are in the order of the engine's class counters. */
    StatsReport(Engine engine, List<JobClass> classes) {
        this.engine = engine;
        this.classes = classes;
    }

    /** Returns the current values of all counters, each line with its line end. */
    String lines() {
        StringBuilder report = new StringBuilder(1024);
        Counters counters = engine.counters();
        for (int i = 0; i < classes.size(); i++) {
            Counters.ClassCounters classCounters = counters.of(i);
            String prefix = "transactions." + classes.get(i).name() + ".";
            appendLine(report, prefix + "answered", classCounters.answered());
            appendLine(report, prefix + "deferred", classCounters.deferred());
            appendLine(report, prefix + "errored", classCounters.errored());
            appendLine(report, prefix + "sends", classCounters.written);
        }
        appendLine(report, "current", counters.current());
        appendLine(report, "cluster_size", engine.routeTable().size());
        appendLine(report, "cluster_unhealthy", engine.unavailableTargets());
        appendLine(report, "conf_loaded", counters.confLoaded);
        appendLine(report, "conf_invalid", counters.confInvalid);
        return report.toString();
    }

    private static void appendLine(StringBuilder report, String name, long value) {
        report.append("svc.").append(name).append('=').append(value).append('\n');
    }
}

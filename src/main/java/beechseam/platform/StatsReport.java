package beechseam.platform;

import beechseam.core.Counters;
import beechseam.core.Engine;
import beechseam.dispatch.JobClass;
import java.util.List;

/** The figures that operators read, a line each. */
final class StatsReport {
    private final Engine engine;
    private final List<JobClass> classes;

    StatsReport(Engine engine, List<JobClass> classes) {
        this.engine = engine;
        this.classes = classes;
    }

    String lines() {
        StringBuilder all = new StringBuilder(1024);
        Counters counters = engine.counters();
        for (int i = 0; i < classes.size(); i++) {
            Counters.ClassCounters c = counters.of(i);
            String of = "transactions." + classes.get(i).name() + ".";
            line(all, of + "answered", c.answered());
            line(all, of + "deferred", c.deferred());
            line(all, of + "errored", c.errored());
            line(all, of + "sends", c.written);
        }
        line(all, "current", counters.current());
        line(all, "cluster_size", engine.routeTable().size());
        line(all, "cluster_unhealthy", engine.unavailableTargets());
        line(all, "conf_loaded", counters.confLoaded);
        line(all, "conf_invalid", counters.confInvalid);
        return all.toString();
    }

    private static void line(StringBuilder all, String name, long value) {
        all.append("svc.").append(name).append('=').append(value).append('\n');
    }
}

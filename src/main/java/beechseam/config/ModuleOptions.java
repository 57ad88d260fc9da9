package beechseam.config;

import beechseam.dispatch.DeduplicationScope;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.JobClass;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.LoadReportSource;
import beechseam.dispatch.WorkerRules;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The settings object put into the module's terms, and the order in which load reports list their values. */
public final class ModuleOptions {
    public final DispatchSettings settings;
    /** Whether a client marks its retries, so that what is not marked is a first try. */
    public final boolean marksRetries;

    private final Map<String, Integer> classes = new HashMap<>();
    private final int held;
    private final int waiting;
    private final int freeSlots;
    private final int freeMemory;
    private final int utilization;
    private final String freeSlotsName;
    private final String freeMemoryName;

    private ModuleOptions(DispatchSettings settings, boolean marksRetries, List<?> columns, String x0, String x1) {
        this.settings = settings;
        this.marksRetries = marksRetries;
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
        held = columns.indexOf("outstanding");
        waiting = columns.indexOf("backlog");
        utilization = columns.indexOf("utilization");
        freeSlots = extra(columns, x0, x1, "slot");
        freeMemory = extra(columns, x0, x1, "memory");
        freeSlotsName = x0.contains("slot") ? "x0" : "x1";
        freeMemoryName = x0.contains("memory") ? "x0" : "x1";
    }

    /** The column whose meaning, in words, speaks of this resource; -1 when none does. */
    private static int extra(List<?> columns, String x0, String x1, String word) {
        return x0.contains(word) ? columns.indexOf("x0") : x1.contains(word) ? columns.indexOf("x1") : -1;
    }

    public static ModuleOptions of(Map<?, ?> o) {
        Map<?, ?> family = map(o, "Specifics");
        List<?> kinds = list(o, "Kinds");
        List<?> kindOf = list(family, "ClassKind");
        List<?> stretchOf = list(family, "ClassStretch");
        List<JobClass> classes = new ArrayList<>();
        for (Object each : list(o, "Classes")) {
            Map<?, ?> c = (Map<?, ?>) each;
            int i = classes.size();
            int kind = i < kindOf.size() ? ((Number) kindOf.get(i)).intValue() : -1;
            double stretch = i < stretchOf.size() ? ((Number) stretchOf.get(i)).doubleValue() : 0;
            classes.add(new JobClass(
                    text(c, "Name", ""),
                    integer(c, "AimNs", 0),
                    integer(c, "DeadlineNs", 0),
                    number(c, "AimStretch", stretch),
                    number(c, "Worth", 1),
                    number(c, "LateWorth", 0),
                    switch (text(c, "Effect", "")) {
                        case "read_like" -> Idempotency.IDEMPOTENT;
                        case "idempotency_key" -> Idempotency.KEYED;
                        default -> Idempotency.NON_IDEMPOTENT;
                    },
                    switch (text(c, "Group", "")) {
                        case "all" -> DeduplicationScope.ALL;
                        case "zone" -> DeduplicationScope.ZONE;
                        default -> DeduplicationScope.CELL;
                    },
                    integer(c, "WindowNs", 0),
                    kind >= 0 && kind < kinds.size() ? (String) kinds.get(kind) : null));
        }
        Map<?, ?> l = map(o, "Limits");
        DispatchLimits limits = new DispatchLimits(
                (int) integer(l, "MaxAttempts", 1),
                integer(l, "MaxRetryAfterNs", 0),
                flag(l, "RetryAfter"),
                flag(l, "Cancel"),
                flag(l, "Probes"),
                flag(l, "SecondCopies"),
                integer(l, "IdleCloseNs", 0));
        Map<?, ?> r = map(o, "Rules");
        WorkerRules rules = new WorkerRules(
                integer(r, "DrainGraceNs", 0),
                integer(r, "AskWithinNs", Long.MAX_VALUE),
                number(r, "StartCapacity", 1),
                integer(r, "ColdNs", 0),
                number(r, "OverloadFactor", 1),
                integer(r, "OverloadForNs", 0),
                flag(r, "FullMayHaveRun"));
        Map<?, ?> info = map(o, "LoadInfo");
        LoadReportSource reports = switch (text(info, "How", "")) {
            case "piggyback" -> LoadReportSource.ANSWERS;
            case "pull" -> LoadReportSource.HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
        Map<?, ?> prices = map(o, "Prices");
        return new ModuleOptions(
                new DispatchSettings(
                        List.copyOf(classes),
                        limits,
                        rules,
                        reports,
                        text(o, "Discovery", "").equals("on_request"),
                        (int) integer(o, "GroupSize", 1),
                        (int) integer(o, "Me", 0),
                        text(o, "Locality", ""),
                        flag(family, "TellsStart"),
                        integer(family, "ProgressNs", 0),
                        number(prices, "CrossZone", 0),
                        number(prices, "Handshake", 0),
                        number(prices, "Probe", 0),
                        text(o, "CountedBy", "").equals("work"),
                        text(o, "WeightSource", "").equals("live")),
                flag(map(o, "Clients"), "MarksRetry"),
                list(info, "Columns"),
                text(family, "ReportX0", ""),
                text(family, "ReportX1", ""));
    }

    public int classIndex(String name) throws IOException {
        int index = findClass(name);
        if (index < 0) {
            throw new IOException("a job of no known class: " + name);
        }
        return index;
    }

    /** The class's number, or -1. */
    public int findClass(String name) {
        Integer index = classes.get(name);
        return index == null ? -1 : index;
    }

    /** A report in the module's terms, or null where none came along. */
    public LoadReport load(double[] gauge, int size) {
        return size == 0
                ? null
                : new LoadReport(
                        at(gauge, size, held),
                        at(gauge, size, waiting),
                        at(gauge, size, freeSlots),
                        at(gauge, size, freeMemory),
                        at(gauge, size, utilization));
    }

    /** The same for a report that names its values; the platform's sockets use the short names. */
    public LoadReport load(ToDoubleFunction<String> named) {
        return new LoadReport(
                named(named, held, "inflight", "outstanding"),
                named(named, waiting, "queue", "backlog"),
                named(named, freeSlots, freeSlotsName, freeSlotsName),
                named(named, freeMemory, freeMemoryName, freeMemoryName),
                named(named, utilization, "util", "utilization"));
    }

    private static double named(ToDoubleFunction<String> named, int column, String shortName, String name) {
        double value = column < 0 ? Double.NaN : named.applyAsDouble(shortName);
        return column < 0 || !Double.isNaN(value) ? value : named.applyAsDouble(name);
    }

    private static double at(double[] gauge, int size, int column) {
        return column < 0 || column >= size ? Double.NaN : gauge[column];
    }

    private static Map<?, ?> map(Map<?, ?> from, String key) {
        return from.get(key) instanceof Map<?, ?> m ? m : Map.of();
    }

    private static List<?> list(Map<?, ?> from, String key) {
        return from.get(key) instanceof List<?> l ? l : List.of();
    }

    private static String text(Map<?, ?> from, String key, String otherwise) {
        return from.get(key) instanceof String s ? s : otherwise;
    }

    private static double number(Map<?, ?> from, String key, double otherwise) {
        return from.get(key) instanceof Number n ? n.doubleValue() : otherwise;
    }

    private static long integer(Map<?, ?> from, String key, long otherwise) {
        return from.get(key) instanceof Number n ? n.longValue() : otherwise;
    }

    private static boolean flag(Map<?, ?> from, String key) {
        return Boolean.TRUE.equals(from.get(key));
    }
}

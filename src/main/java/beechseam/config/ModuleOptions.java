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

/**
 * The settings object of the platform, converted to the types of the dispatch module, and the columns of its
 * load reports. The constants hold the platform's texts for values that the program names by its own terms.
 */
public final class ModuleOptions {
    private static final String EFFECT_IDEMPOTENT = "read_like";
    private static final String EFFECT_KEYED = "idempotency_key";
    private static final String GROUP_ALL = "all";
    private static final String GROUP_ZONE = "zone";
    private static final String LOAD_INFO_IN_ANSWERS = "piggyback";
    private static final String LOAD_INFO_BY_HEALTH_CHECK = "pull";
    private static final String DISCOVERY_ON_REQUEST = "on_request";
    private static final String COUNTED_BY_WORK = "work";
    private static final String WEIGHT_SOURCE_LIVE = "live";
    /** Names of the two extra columns, whose meaning is configured. */
    private static final String EXTRA_COLUMN_0 = "x0";

    private static final String EXTRA_COLUMN_1 = "x1";
    /** Texts that the configured meaning of an extra column contains. */
    private static final String MEANS_SLOTS = "slot";

    private static final String MEANS_MEMORY = "memory";

    /** Settings of the dispatch module. */
    public final DispatchSettings settings;
    /** Whether clients mark their retries, so that an unmarked request is a first attempt. */
    public final boolean marksRetries;

    private final Map<String, Integer> classes = new HashMap<>();
    private final int inFlightColumn;
    private final int queuedColumn;
    private final int freeSlotsColumn;
    private final int freeMemoryColumn;
    private final int utilizationColumn;
    private final String freeSlotsName;
    private final String freeMemoryName;

    private ModuleOptions(
            DispatchSettings settings, boolean marksRetries, List<?> columns, String meaning0, String meaning1) {
        this.settings = settings;
        this.marksRetries = marksRetries;
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
        inFlightColumn = columns.indexOf("outstanding");
        queuedColumn = columns.indexOf("backlog");
        utilizationColumn = columns.indexOf("utilization");
        freeSlotsColumn = extraColumn(columns, meaning0, meaning1, MEANS_SLOTS);
        freeMemoryColumn = extraColumn(columns, meaning0, meaning1, MEANS_MEMORY);
        freeSlotsName = meaning0.contains(MEANS_SLOTS) ? EXTRA_COLUMN_0 : EXTRA_COLUMN_1;
        freeMemoryName = meaning0.contains(MEANS_MEMORY) ? EXTRA_COLUMN_0 : EXTRA_COLUMN_1;
    }

    /** Index of the extra column whose meaning contains the resource's name, or -1. */
    private static int extraColumn(List<?> columns, String meaning0, String meaning1, String resource) {
        if (meaning0.contains(resource)) {
            return columns.indexOf(EXTRA_COLUMN_0);
        }
        return meaning1.contains(resource) ? columns.indexOf(EXTRA_COLUMN_1) : -1;
    }

    /**
     * Converts the settings object, which has been validated or is trusted; absent keys have their defaults.
     *
     * @param options the object as parsed
     */
    public static ModuleOptions of(Map<?, ?> options) {
        Map<?, ?> siteSpecifics = map(options, "Specifics");
        Map<?, ?> loadInfo = map(options, "LoadInfo");
        return new ModuleOptions(
                settings(options, siteSpecifics, loadInfo),
                flag(map(options, "Clients"), "MarksRetry"),
                list(loadInfo, "Columns"),
                text(siteSpecifics, "ReportX0", ""),
                text(siteSpecifics, "ReportX1", ""));
    }

    private static DispatchSettings settings(Map<?, ?> options, Map<?, ?> siteSpecifics, Map<?, ?> loadInfo) {
        Map<?, ?> prices = map(options, "Prices");
        return new DispatchSettings(
                classes(options, siteSpecifics),
                limits(map(options, "Limits")),
                rules(map(options, "Rules")),
                loadReportSource(text(loadInfo, "How", "")),
                text(options, "Discovery", "").equals(DISCOVERY_ON_REQUEST),
                (int) integer(options, "GroupSize", 1),
                (int) integer(options, "Me", 0),
                text(options, "Locality", ""),
                flag(siteSpecifics, "TellsStart"),
                integer(siteSpecifics, "ProgressNs", 0),
                number(prices, "CrossZone", 0),
                number(prices, "Handshake", 0),
                number(prices, "Probe", 0),
                text(options, "CountedBy", "").equals(COUNTED_BY_WORK),
                text(options, "WeightSource", "").equals(WEIGHT_SOURCE_LIVE));
    }

    private static List<JobClass> classes(Map<?, ?> options, Map<?, ?> siteSpecifics) {
        List<?> kinds = list(options, "Kinds");
        List<?> kindIndexes = list(siteSpecifics, "ClassKind");
        List<?> stretches = list(siteSpecifics, "ClassStretch");
        List<JobClass> classes = new ArrayList<>();
        for (Object each : list(options, "Classes")) {
            int index = classes.size();
            int kind = index < kindIndexes.size() ? ((Number) kindIndexes.get(index)).intValue() : -1;
            double stretch = index < stretches.size() ? ((Number) stretches.get(index)).doubleValue() : 0;
            String kindName = kind >= 0 && kind < kinds.size() ? (String) kinds.get(kind) : null;
            classes.add(jobClass((Map<?, ?>) each, stretch, kindName));
        }
        return List.copyOf(classes);
    }

    private static JobClass jobClass(Map<?, ?> entry, double defaultStretch, String kindName) {
        return new JobClass(
                text(entry, "Name", ""),
                integer(entry, "AimNs", 0),
                integer(entry, "DeadlineNs", 0),
                number(entry, "AimStretch", defaultStretch),
                number(entry, "Worth", 1),
                number(entry, "LateWorth", 0),
                idempotency(text(entry, "Effect", "")),
                deduplicationScope(text(entry, "Group", "")),
                integer(entry, "WindowNs", 0),
                kindName);
    }

    private static Idempotency idempotency(String text) {
        return switch (text) {
            case EFFECT_IDEMPOTENT -> Idempotency.IDEMPOTENT;
            case EFFECT_KEYED -> Idempotency.KEYED;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static DeduplicationScope deduplicationScope(String text) {
        return switch (text) {
            case GROUP_ALL -> DeduplicationScope.ALL;
            case GROUP_ZONE -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    private static LoadReportSource loadReportSource(String text) {
        return switch (text) {
            case LOAD_INFO_IN_ANSWERS -> LoadReportSource.ANSWERS;
            case LOAD_INFO_BY_HEALTH_CHECK -> LoadReportSource.HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
    }

    private static DispatchLimits limits(Map<?, ?> limits) {
        return new DispatchLimits(
                (int) integer(limits, "MaxAttempts", 1),
                integer(limits, "MaxRetryAfterNs", 0),
                flag(limits, "RetryAfter"),
                flag(limits, "Cancel"),
                flag(limits, "Probes"),
                flag(limits, "SecondCopies"),
                integer(limits, "IdleCloseNs", 0));
    }

    private static WorkerRules rules(Map<?, ?> rules) {
        return new WorkerRules(
                integer(rules, "DrainGraceNs", 0),
                integer(rules, "AskWithinNs", Long.MAX_VALUE),
                number(rules, "StartCapacity", 1),
                integer(rules, "ColdNs", 0),
                number(rules, "OverloadFactor", 1),
                integer(rules, "OverloadForNs", 0),
                flag(rules, "FullMayHaveRun"));
    }

    /**
     * Index of a job class.
     *
     * @throws IOException if there is no class of that name
     */
    public int classIndex(String name) throws IOException {
        int index = findClass(name);
        if (index < 0) {
            throw new IOException("unknown job class: " + name);
        }
        return index;
    }

    /** Index of a job class, or -1 if there is none of that name. */
    public int findClass(String name) {
        Integer index = classes.get(name);
        return index == null ? -1 : index;
    }

    /**
     * Converts a load report that lists its values by column.
     *
     * @param gauge values by column
     * @param size number of values that the report has
     * @return the report, with NaN for values that it lacks; null if it is empty
     */
    public LoadReport load(double[] gauge, int size) {
        return size == 0
                ? null
                : new LoadReport(
                        at(gauge, size, inFlightColumn),
                        at(gauge, size, queuedColumn),
                        at(gauge, size, freeSlotsColumn),
                        at(gauge, size, freeMemoryColumn),
                        at(gauge, size, utilizationColumn));
    }

    /**
     * Converts a load report whose values have names. The platform's sockets use short names, which are tried first.
     *
     * @param named returns the value of a name, or NaN if the report lacks it
     */
    public LoadReport load(ToDoubleFunction<String> named) {
        return new LoadReport(
                named(named, inFlightColumn, "inflight", "outstanding"),
                named(named, queuedColumn, "queue", "backlog"),
                named(named, freeSlotsColumn, freeSlotsName, freeSlotsName),
                named(named, freeMemoryColumn, freeMemoryName, freeMemoryName),
                named(named, utilizationColumn, "util", "utilization"));
    }

    private static double named(ToDoubleFunction<String> named, int column, String shortName, String name) {
        double value = column < 0 ? Double.NaN : named.applyAsDouble(shortName);
        return column < 0 || !Double.isNaN(value) ? value : named.applyAsDouble(name);
    }

    private static double at(double[] gauge, int size, int column) {
        return column < 0 || column >= size ? Double.NaN : gauge[column];
    }

    private static Map<?, ?> map(Map<?, ?> from, String key) {
        return from.get(key) instanceof Map<?, ?> value ? value : Map.of();
    }

    private static List<?> list(Map<?, ?> from, String key) {
        return from.get(key) instanceof List<?> value ? value : List.of();
    }

    private static String text(Map<?, ?> from, String key, String defaultValue) {
        return from.get(key) instanceof String value ? value : defaultValue;
    }

    private static double number(Map<?, ?> from, String key, double defaultValue) {
        return from.get(key) instanceof Number value ? value.doubleValue() : defaultValue;
    }

    private static long integer(Map<?, ?> from, String key, long defaultValue) {
        return from.get(key) instanceof Number value ? value.longValue() : defaultValue;
    }

    private static boolean flag(Map<?, ?> from, String key) {
        return Boolean.TRUE.equals(from.get(key));
    }
}

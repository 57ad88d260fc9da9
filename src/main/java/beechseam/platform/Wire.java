package beechseam.platform;

import beechseam.config.ModuleOptions;
import beechseam.dispatch.LoadReport;
import beechseam.http.Slice;
import java.util.Map;

/** Parses values of the platform's headers and events: durations, fields, ids and load reports. */
final class Wire {
    /** The body of a message that has none. */
    static final byte[] EMPTY_BODY = new byte[0];

    private static final double MAX_DURATION_NS = 71 * 60e9;

    private Wire() {}

    /**
     * Parses a duration in milliseconds ({@code 480m}) or microseconds ({@code 1500u}) and returns it in nanoseconds,
     * at most {@link #MAX_DURATION_NS}; returns -1 if it is null, malformed or not above 0.
     */
    static long durationNs(Slice text) {
        if (text == null || text.length() < 2) {
            return -1;
        }
        double unitNs = unitNs((char) text.bytes()[text.from() + text.length() - 1]);
        double value = unsignedDecimal(text.part(0, text.length() - 1));
        return unitNs < 0 || !(value > 0) ? -1 : (long) Math.min(MAX_DURATION_NS, value * unitNs);
    }

    private static double unitNs(char unit) {
        return switch (unit) {
            case 'm' -> 1e6;
            case 'u' -> 1e3;
            default -> -1;
        };
    }

    private static double unsignedDecimal(Slice text) {
        for (int i = 0; i < text.length(); i++) {
            byte character = text.bytes()[text.from() + i];
            if ((character < '0' || character > '9') && character != '.') {
                return Double.NaN;
            }
        }
        return parseDouble(text.toString());
    }

    private static double parseDouble(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** Returns the value of a name in {@code name=value,name=value}, or NaN if it is missing or not a number. */
    static double fieldValue(Slice fields, String name) {
        if (fields != null) {
            for (String each : fields.toString().split(",")) {
                int equals = each.indexOf('=');
                if (equals > 0 && each.substring(0, equals).trim().equals(name)) {
                    return parseDouble(each.substring(equals + 1).trim());
                }
            }
        }
        return Double.NaN;
    }

    /** Converts an executor's id to the number that all nodes use for it; returns -1 if it is malformed or null. */
    static long target(String id) {
        if (id == null) {
            return -1;
        }
        try {
            return Long.parseUnsignedLong(id.substring(id.lastIndexOf('-') + 1), 16);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Parses the load report in a header; returns null if there is none or it is invalid. */
    static LoadReport loadReport(ModuleOptions options, Slice header) {
        return header == null ? null : options.load(name -> fieldValue(header, name));
    }

    /**
     * Parses the load report in a callback or in the response to a health check; returns null if there is none or it
     * is invalid.
     */
    static LoadReport loadReport(ModuleOptions options, Map<?, ?> report) {
        if (report == null || report.isEmpty()) {
            return null;
        }
        return options.load(name -> report.get(name) instanceof Number number ? number.doubleValue() : Double.NaN);
    }
}

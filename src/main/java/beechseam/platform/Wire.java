package beechseam.platform;

import beechseam.config.ModuleOptions;
import beechseam.dispatch.LoadReport;
import beechseam.http.Slice;
import java.util.Map;

/** Values of the platform's headers and events: durations, fields, ids and load reports. */
final class Wire {
    /** The body of a message without one. */
    static final byte[] EMPTY_BODY = new byte[0];

    private static final double MAX_DURATION_NS = 71 * 60e9;

    private Wire() {}

    /** A duration with its unit, {@code 480m} or {@code 1500u}, in nanoseconds; -1 where it is none or null. */
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
            byte code = text.bytes()[text.from() + i];
            if ((code < '0' || code > '9') && code != '.') {
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

    /** The value of a name in {@code name=value,name=value}; NaN where it is missing or no number. */
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

    /** An executor's id as the number that all nodes use for it; -1 where it is malformed or null. */
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

    /** The load report in a header; null where there is none or it makes no sense. */
    static LoadReport loadReport(ModuleOptions options, Slice header) {
        return header == null ? null : options.load(name -> fieldValue(header, name));
    }

    /** The load report in a call-back or the response to a health check; null as above. */
    static LoadReport loadReport(ModuleOptions options, Map<?, ?> report) {
        if (report == null || report.isEmpty()) {
            return null;
        }
        return options.load(name -> report.get(name) instanceof Number number ? number.doubleValue() : Double.NaN);
    }
}

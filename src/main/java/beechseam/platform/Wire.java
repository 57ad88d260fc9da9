package beechseam.platform;

import beechseam.config.ModuleOptions;
import beechseam.dispatch.LoadReport;
import beechseam.http.Slice;
import java.util.Map;

/** Small forms of the platform's protocol. */
final class Wire {
    static final byte[] NOTHING = new byte[0];
    private static final double MAX_MINUTES_NS = 71 * 60e9;

    private Wire() {}

    /** A time with its unit, {@code 480m} or {@code 1500u}, in nanoseconds; -1 when it is none. */
    static long time(Slice s) {
        if (s == null || s.length() < 2) {
            return -1;
        }
        char unit = (char) s.bytes()[s.from() + s.length() - 1];
        double scale = unit == 'm' ? 1e6 : unit == 'u' ? 1e3 : -1;
        double value = decimal(s.part(0, s.length() - 1));
        return scale < 0 || !(value > 0) ? -1 : (long) Math.min(MAX_MINUTES_NS, value * scale);
    }

    private static double decimal(Slice s) {
        for (int i = 0; i < s.length(); i++) {
            byte c = s.bytes()[s.from() + i];
            if ((c < '0' || c > '9') && c != '.') {
                return Double.NaN;
            }
        }
        return number(s.toString(), Double.NaN);
    }

    static double number(String s, double otherwise) {
        try {
            return Double.parseDouble(s);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    /** The value of a name in {@code name=value,name=value}, or NaN. */
    static double fact(Slice facts, String name) {
        if (facts != null) {
            for (String each : facts.toString().split(",")) {
                int equals = each.indexOf('=');
                if (equals > 0 && each.substring(0, equals).trim().equals(name)) {
                    return number(each.substring(equals + 1).trim(), Double.NaN);
                }
            }
        }
        return Double.NaN;
    }

    /** An executor's id as the number that all nodes have for it; -1 when it is malformed. */
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

    /** A report in a header, or null. */
    static LoadReport load(ModuleOptions options, Slice header) {
        return header == null ? null : options.load(name -> fact(header, name));
    }

    /** A report in a call-back or a probe's answer, or null. */
    static LoadReport load(ModuleOptions options, Map<?, ?> report) {
        return report == null || report.isEmpty()
                ? null
                : options.load(name -> report.get(name) instanceof Number n ? n.doubleValue() : Double.NaN);
    }
}

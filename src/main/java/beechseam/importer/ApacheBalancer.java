package beechseam.importer;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the balancers of an Apache httpd configuration: mod_proxy_balancer's {@code BalancerMember}s. */
final class ApacheBalancer {
    private static final Pattern PROXY_START =
            Pattern.compile("<Proxy\\s+\"?balancer://([^\\s\"/>]+)/?\"?\\s*>", Pattern.CASE_INSENSITIVE);
    private static final Pattern PROXY_END = Pattern.compile("</Proxy\\s*>", Pattern.CASE_INSENSITIVE);
    private static final Pattern URL =
            Pattern.compile("(http|ajp|https|h2|h2c|fcgi)://([^/\\s:\"]+)(?::(\\d+))?\\S*", Pattern.CASE_INSENSITIVE);
    private static final Pattern WORD = Pattern.compile("\"([^\"]*)\"|(\\S+)");

    private ApacheBalancer() {}

    static boolean looksLike(String text) {
        return Pattern.compile(
                        "^\\s*(<Proxy\\s+\"?balancer:|BalancerMember\\s)", Pattern.CASE_INSENSITIVE | Pattern.MULTILINE)
                .matcher(text)
                .find();
    }

    static List<Route> read(String text, String zone, List<String> warnings) throws ImportException {
        List<Route> routes = new ArrayList<>();
        String balancer = null;
        String[] lines = text.split("\r?\n");
        for (int i = 0; i < lines.length; i++) {
            int number = i + 1;
            StringBuilder joined = new StringBuilder(lines[i]);
            while (lines[i].endsWith("\\") && i + 1 < lines.length) { // the next line continues this one
                joined.setCharAt(joined.length() - 1, ' ');
                joined.append(lines[++i]);
            }
            String line = joined.toString().trim();
            Matcher open = PROXY_START.matcher(line);
            if (open.matches()) {
                balancer = open.group(1);
            } else if (PROXY_END.matcher(line).matches()) {
                balancer = null;
            } else if (line.toLowerCase(Locale.ROOT).startsWith("balancermember ")) {
                member(line, number, balancer, zone, routes, warnings);
            }
        }
        return routes;
    }

    private static void member(
            String line, int number, String enclosing, String zone, List<Route> routes, List<String> warnings)
            throws ImportException {
        List<String> words = new ArrayList<>();
        for (Matcher m = WORD.matcher(line); m.find(); ) {
            words.add(m.group(1) != null ? m.group(1) : m.group(2));
        }
        words.remove(0);
        String balancer = enclosing;
        // Outside a <Proxy> section, the balancer's URL comes before the member's.
        if (!words.isEmpty() && words.get(0).startsWith("balancer://")) {
            balancer = words.remove(0).substring("balancer://".length()).replaceAll("/$", "");
        }
        if (balancer == null) {
            throw new ImportException("line " + number + ": BalancerMember outside a <Proxy> section needs a balancer");
        }
        Matcher url = words.isEmpty() ? null : URL.matcher(words.get(0));
        if (url == null || !url.matches()) {
            throw new ImportException("line " + number + ": BalancerMember needs a URL such as http://10.0.0.1:8080");
        }
        Map<String, String> options = new TreeMap<>();
        for (String each : words.subList(1, words.size())) {
            int equals = each.indexOf('=');
            if (equals <= 0) {
                throw new ImportException("line " + number + ": '" + each + "' is not a key=value parameter");
            }
            options.put(each.substring(0, equals).toLowerCase(Locale.ROOT), each.substring(equals + 1));
        }
        String status = statusFlags(options.getOrDefault("status", ""));
        String address = url.group(2) + ":" + (url.group(3) != null ? url.group(3) : port(url.group(1)));
        String name = options.getOrDefault("route", address);
        if (status.contains("S") || status.contains("H")) {
            warnings.add("line " + number + ": " + name + " is stopped or a hot standby and is not imported");
            return;
        }
        double factor = number(options.getOrDefault("loadfactor", "1"), 1, 100, "line " + number + ": loadfactor");
        int set = (int) number(options.getOrDefault("lbset", "0"), 0, 99, "line " + number + ": lbset");
        // Draining (N) and disabled (D) members finish their open requests and get no new ones: both are imported as
        // draining.
        routes.add(new Route(name, address, zone, balancer, set, factor, status.contains("N") || status.contains("D")));
    }

    /** The status flags that are switched on: {@code +D-S} has D, but not S. Flags before the first sign are on. */
    private static String statusFlags(String status) {
        StringBuilder set = new StringBuilder();
        boolean on = true;
        for (char c : status.toUpperCase(Locale.ROOT).toCharArray()) {
            if (c == '+' || c == '-') {
                on = c == '+';
            } else if (on) {
                set.append(c);
            }
        }
        return set.toString();
    }

    private static String port(String scheme) {
        return switch (scheme.toLowerCase(Locale.ROOT)) {
            case "https", "h2" -> "443";
            case "ajp" -> "8009";
            case "fcgi" -> "8000";
            default -> "80";
        };
    }

    static double number(String value, double minimum, double maximum, String what) throws ImportException {
        try {
            double n = Double.parseDouble(value);
            if (n >= minimum && n <= maximum) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new ImportException(what + " must be a number, not '" + value + "'");
        }
        throw new ImportException(what + " must be from " + (long) minimum + " to " + (long) maximum);
    }
}

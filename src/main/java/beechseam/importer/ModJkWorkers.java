package beechseam.importer;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;

/** Reads mod_jk's {@code workers.properties}: the members of its load balancers, or its plain workers. */
final class ModJkWorkers {
    private static final int MAX_REFERENCES = 20;

    private final Map<String, String> keys = new LinkedHashMap<>();
    private final List<String> warnings;

    private ModJkWorkers(List<String> warnings) {
        this.warnings = warnings;
    }

    static boolean looksLike(String text) {
        return text.lines().anyMatch(line -> line.matches("\\s*(worker\\.list|worker\\.\\S+\\.type)\\s*[=:].*"));
    }

    static List<Route> read(String text, String zone, List<String> warnings) throws ImportException {
        ModJkWorkers file = new ModJkWorkers(warnings);
        file.load(text);
        List<Route> routes = new ArrayList<>();
        Set<String> seen = new LinkedHashSet<>();
        for (String name : file.words(file.keys.getOrDefault("worker.list", ""))) {
            String type = file.value(name, "type", "ajp13");
            if (type.equals("lb")) {
                for (String member :
                        file.words(file.value(name, "balance_workers", file.value(name, "balanced_workers", "")))) {
                    if (seen.add(member)) {
                        file.member(member, name, zone, routes);
                    }
                }
            } else if (type.matches("ajp1[234]") && seen.add(name)) {
                file.member(name, name, zone, routes);
            }
        }
        return routes;
    }

    private void load(String text) throws ImportException {
        Properties lines = new Properties();
        try {
            lines.load(new StringReader(text));
        } catch (IOException | IllegalArgumentException e) {
            throw new ImportException("not a properties file: " + e.getMessage());
        }
        for (String key : lines.stringPropertyNames().stream().sorted().toList()) {
            keys.put(key, lines.getProperty(key).trim());
        }
        for (Map.Entry<String, String> each : keys.entrySet()) { // replaces the file's variables, $(name)
            String value = each.getValue();
            for (int i = 0; i < MAX_REFERENCES && value.contains("$("); i++) {
                int from = value.indexOf("$(");
                int to = value.indexOf(')', from);
                String variable = to < 0 ? null : keys.get(value.substring(from + 2, to));
                if (variable == null) {
                    throw new ImportException(each.getKey() + ": unknown variable in '" + value + "'");
                }
                value = value.substring(0, from) + variable + value.substring(to + 1);
            }
            each.setValue(value);
        }
    }

    private List<String> words(String list) {
        List<String> words = new ArrayList<>();
        for (String each : list.split("[,\\s]+")) {
            if (!each.isEmpty()) {
                words.add(each);
            }
        }
        return words;
    }

    /** A worker's directive: its own, else that of the first worker in its chain of references that has one. */
    private String value(String name, String directive, String defaultValue) throws ImportException {
        String at = "worker." + name;
        for (int i = 0; i < MAX_REFERENCES; i++) {
            String value = keys.get(at + "." + directive);
            if (value != null) {
                return value;
            }
            at = keys.get(at + ".reference");
            if (at == null) {
                return defaultValue;
            }
        }
        throw new ImportException(
                "worker." + name + ".reference: is circular or at least " + MAX_REFERENCES + " levels deep");
    }

    private void member(String name, String balancer, String zone, List<Route> routes) throws ImportException {
        String key = "worker." + name;
        String activation = value(name, "activation", "active").toLowerCase(java.util.Locale.ROOT);
        char state = activation.isEmpty() ? 'a' : activation.charAt(0);
        if (state == 's') {
            warnings.add(key + ": is stopped and is not imported");
            return;
        }
        String host = value(name, "host", "localhost");
        String port = value(name, "port", "8009");
        int colon = host.lastIndexOf(':');
        if (colon > 0 && !host.endsWith("]")) {
            port = host.substring(colon + 1);
            host = host.substring(0, colon);
        }
        ApacheBalancer.number(port, 1, 65535, key + ".port");
        double factor = ApacheBalancer.number(value(name, "lbfactor", "1"), 0, 1000, key + ".lbfactor");
        int distance = (int) ApacheBalancer.number(value(name, "distance", "0"), 0, 1_000_000, key + ".distance");
        // A domain is a group of workers that share sessions; it is mod_jk's closest equivalent of a zone.
        routes.add(new Route(
                value(name, "route", value(name, "jvm_route", name)),
                host + ":" + port,
                value(name, "domain", zone),
                balancer,
                distance,
                factor,
                state == 'd'));
    }
}

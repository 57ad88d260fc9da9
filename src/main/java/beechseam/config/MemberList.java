package beechseam.config;

import beechseam.dispatch.EndpointState;
import beechseam.dispatch.WorkerEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A list of servers in discovery's format, as used by the network, the configuration and the importer.
 *
 * @param version version assigned by discovery
 * @param full whether it is the full list, or a delta
 * @param servers the valid entries, in order
 * @param unusable ids of the invalid entries that have an id
 */
public record MemberList(long version, boolean full, List<Server> servers, Set<String> unusable) {
    private static final String STATE_READY = "SERVING";
    private static final String STATE_DRAINING = "DRAINING";
    private static final String STATE_REMOVED = "DELETED";

    /** The empty full list. */
    public static final MemberList NONE = new MemberList(0, true, List.of());

    /** A list without invalid entries. */
    public MemberList(long version, boolean full, List<Server> servers) {
        this(version, full, servers, Set.of());
    }

    /**
     * An entry.
     *
     * @param address null only if the server is removed
     * @param startedMs time of the latest start by discovery's wall clock, in Unix milliseconds; 0 for long ago
     */
    public record Server(
            String id,
            String addr,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            EndpointState state,
            double weight,
            long startedMs) {
        /**
         * Converts the entry to the type of the dispatch module.
         *
         * @param target the number assigned to the id
         * @param startedAt time of its start by the host's clock, in nanoseconds; 0 for long ago
         */
        public WorkerEndpoint worker(long target, long startedAt) {
            return new WorkerEndpoint(target, cell, zone, kind, startedAt, state, weight);
        }
    }

    /**
     * Parses a list from the network. An invalid entry is ignored, so that it does not invalidate the others. A
     * full list that names a server twice is rejected, since it is unknown which entry is valid.
     *
     * @param warnings receives the number of invalid entries and the fault of the first, if there are any
     * @throws IOException if it is not a list
     */
    public static MemberList of(Map<?, ?> map, Consumer<String> warnings) throws IOException {
        try {
            ConfigNode list = new ConfigNode("", map);
            if (!list.has("version") || !list.has("servers")) { // otherwise any object would pass as an empty list
                throw list.invalid(list.has("version") ? "servers" : "version", "is missing");
            }
            List<Server> servers = new ArrayList<>();
            Set<String> unusable = new HashSet<>();
            int invalid = 0;
            String firstError = null;
            List<ConfigNode> entries = list.objects("servers");
            for (ConfigNode entry : entries) {
                try {
                    servers.add(server(entry));
                } catch (ConfigException e) {
                    invalid++;
                    firstError = firstError == null ? e.getMessage() : firstError;
                    if (entry.values().get("id") instanceof String id) {
                        unusable.add(id);
                    }
                }
            }
            if (invalid > 0) {
                warnings.accept(invalid + " of " + entries.size() + " entries cannot be used, first " + firstError);
            }
            return checked(list, servers, unusable);
        } catch (ConfigException e) {
            throw new IOException(e.getMessage());
        }
    }

    /**
     * Reads a list from a configuration.
     *
     * @throws ConfigException for the first invalid entry
     */
    public static MemberList of(ConfigNode list) throws ConfigException {
        List<Server> servers = new ArrayList<>();
        for (ConfigNode entry : list.objects("servers")) {
            servers.add(server(entry));
        }
        return checked(list, servers, Set.of());
    }

    private static MemberList checked(ConfigNode list, List<Server> servers, Set<String> unusable)
            throws ConfigException {
        boolean full = list.bool("full", true);
        Set<String> ids = new HashSet<>();
        for (Server each : servers) {
            if (!ids.add(each.id()) && full) {
                throw list.invalid("servers", "must name a server once, and names " + each.id() + " twice");
            }
        }
        return new MemberList(list.integer("version", 0, Long.MAX_VALUE, 0), full, servers, unusable);
    }

    private static Server server(ConfigNode entry) throws ConfigException {
        String stateText = entry.text("state", STATE_READY);
        EndpointState state = switch (stateText) {
            case STATE_READY -> EndpointState.READY;
            case STATE_DRAINING -> EndpointState.DRAINING;
            case STATE_REMOVED -> EndpointState.REMOVED;
            default -> throw entry.invalid("state", "must be SERVING, DRAINING or DELETED");
        };
        boolean removed = state == EndpointState.REMOVED;
        return new Server(
                entry.text("id"),
                entry.text("addr", ""),
                removed ? null : entry.address("addr", null),
                entry.text("zone", "-"),
                entry.text("kind", "-"),
                (int) entry.integer("cell", Integer.MIN_VALUE, Integer.MAX_VALUE, 0),
                state,
                entry.number("weight", 0, 1e9, 1),
                (long) entry.number("started_ms", 0, 9e15, 0));
    }
}

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
 * A list in discovery's form, as the network, the configuration and the importer have it.
 *
 * @param version counted by discovery
 * @param full whether it is the whole list, or what has changed
 * @param servers its entries, in order
 * @param unusable ids of entries that made no sense, where they had one
 */
public record MemberList(long version, boolean full, List<Server> servers, Set<String> unusable) {
    public static final MemberList NONE = new MemberList(0, true, List.of());

    /** One whose entries all make sense. */
    public MemberList(long version, boolean full, List<Server> servers) {
        this(version, full, servers, Set.of());
    }

    /**
     * One row; {@code address} is null only for one that is gone. {@code startedMs} is the latest start by
     * the wall clock of whoever dates the list, in Unix milliseconds, 0 for long ago.
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
         * The row in the module's terms, under the number that stands for its id.
         *
         * @param startedAt when it started on the host's clock, in nanoseconds; 0 for long ago
         */
        public WorkerEndpoint worker(long target, long startedAt) {
            return new WorkerEndpoint(target, cell, zone, kind, startedAt, state, weight);
        }
    }

    /**
     * From the network. An entry that makes no sense must not cost the node all the others: it is left out,
     * and {@code complaints} is given how many there were and what is wrong with the first. A whole list that
     * names a server twice is refused, since which of the two counts cannot be known.
     */
    public static MemberList of(Map<?, ?> map, Consumer<String> complaints) throws IOException {
        try {
            ConfigNode list = new ConfigNode("", map);
            if (!list.has("version") || !list.has("servers")) { // or any object would be an empty list
                throw list.wrong(list.has("version") ? "servers" : "version", "is missing");
            }
            List<Server> servers = new ArrayList<>();
            Set<String> unusable = new HashSet<>();
            int left = 0;
            String first = null;
            List<ConfigNode> rows = list.objects("servers");
            for (ConfigNode row : rows) {
                try {
                    servers.add(server(row));
                } catch (ConfigException e) {
                    left++;
                    first = first == null ? e.getMessage() : first;
                    if (row.values().get("id") instanceof String id) {
                        unusable.add(id);
                    }
                }
            }
            if (left > 0) {
                complaints.accept(left + " of " + rows.size() + " entries cannot be used, first " + first);
            }
            return checked(list, servers, unusable);
        } catch (ConfigException e) {
            throw new IOException(e.getMessage());
        }
    }

    /** From a configuration: every fault is named. */
    public static MemberList of(ConfigNode list) throws ConfigException {
        List<Server> servers = new ArrayList<>();
        for (ConfigNode row : list.objects("servers")) {
            servers.add(server(row));
        }
        return checked(list, servers, Set.of());
    }

    private static MemberList checked(ConfigNode list, List<Server> servers, Set<String> unusable)
            throws ConfigException {
        boolean full = list.flag("full", true);
        Set<String> ids = new HashSet<>();
        for (Server each : servers) {
            if (!ids.add(each.id()) && full) {
                throw list.wrong("servers", "must name a server once, and names " + each.id() + " twice");
            }
        }
        return new MemberList(list.whole("version", 0, Long.MAX_VALUE, 0), full, servers, unusable);
    }

    private static Server server(ConfigNode row) throws ConfigException {
        String word = row.text("state", "SERVING");
        EndpointState state = switch (word) {
            case "SERVING" -> EndpointState.READY;
            case "DRAINING" -> EndpointState.DRAINING;
            case "DELETED" -> EndpointState.REMOVED;
            default -> throw row.wrong("state", "must be SERVING, DRAINING or DELETED");
        };
        boolean gone = state == EndpointState.REMOVED;
        return new Server(
                row.text("id"),
                row.text("addr", ""),
                gone ? null : row.address("addr", null),
                row.text("zone", "-"),
                row.text("kind", "-"),
                (int) row.whole("cell", Integer.MIN_VALUE, Integer.MAX_VALUE, 0),
                state,
                row.number("weight", 0, 1e9, 1),
                (long) row.number("started_ms", 0, 9e15, 0));
    }
}

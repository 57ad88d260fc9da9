package beechseam.config;

import beechseam.Dispatching.State;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A list in discovery's form, as the network, the configuration and the importer have it. */
public record MemberList(long version, boolean full, List<Server> servers) {
    public static final MemberList NONE = new MemberList(0, true, List.of());

    /** One row; {@code address} is null only for one that is gone. */
    public record Server(String id, String addr, InetSocketAddress address, String zone, String kind,
                         int cell, State state, double weight, long startedMs) {
    }

    /** From the network: a row that makes no sense must not cost the node all the others. */
    public static MemberList of(Map<?, ?> map, Consumer<String> skipped) throws IOException {
        try {
            Tree list = new Tree("", map);
            List<Server> servers = new ArrayList<>();
            for (Tree row : list.objects("servers")) {
                try {
                    servers.add(server(row));
                } catch (ConfigException e) {
                    skipped.accept(e.getMessage());
                }
            }
            return of(list, servers);
        } catch (ConfigException e) {
            throw new IOException(e.getMessage());
        }
    }

    /** From a configuration: every fault is named. */
    public static MemberList of(Tree list) throws ConfigException {
        List<Server> servers = new ArrayList<>();
        for (Tree row : list.objects("servers")) {
            servers.add(server(row));
        }
        return of(list, servers);
    }

    private static MemberList of(Tree list, List<Server> servers) throws ConfigException {
        return new MemberList(list.whole("version", 0, Long.MAX_VALUE, 0), list.flag("full", true), servers);
    }

    private static Server server(Tree row) throws ConfigException {
        String word = row.text("state", "SERVING");
        State state = switch (word) {
            case "SERVING" -> State.READY;
            case "DRAINING" -> State.DRAINING;
            case "DELETED" -> State.GONE;
            default -> throw row.wrong("state", "must be SERVING, DRAINING or DELETED");
        };
        boolean gone = state == State.GONE;
        return new Server(row.text("id"), row.text("addr", ""), gone ? null : row.address("addr", null),
            row.text("zone", "-"), row.text("kind", "-"),
            (int) row.whole("cell", Integer.MIN_VALUE, Integer.MAX_VALUE, 0), state,
            row.number("weight", 0, 1e9, 1), (long) row.number("started_ms", 0, 9e15, 0));
    }
}

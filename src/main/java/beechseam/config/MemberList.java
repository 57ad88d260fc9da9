package beechseam.config;

import beechseam.Dispatching.State;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A list in discovery's form, as the network, the configuration and the importer have it. */
public record MemberList(long version, boolean full, List<Server> servers) {
    public static final MemberList NONE = new MemberList(0, true, List.of());

    /** One row; {@code address} is null only for one that is gone. */
    public record Server(String id, String addr, InetSocketAddress address, String zone, String kind,
                         int cell, State state, double weight, long startedMs) {
    }

    public static MemberList of(Map<?, ?> map) throws IOException {
        try {
            return of(new Tree("", map));
        } catch (ConfigException e) {
            throw new IOException(e.getMessage());
        }
    }

    public static MemberList of(Tree list) throws ConfigException {
        List<Server> servers = new ArrayList<>();
        for (Tree row : list.objects("servers")) {
            String word = row.text("state", "SERVING");
            State state = switch (word) {
                case "SERVING" -> State.READY;
                case "DRAINING" -> State.DRAINING;
                case "DELETED" -> State.GONE;
                default -> throw row.wrong("state", "must be SERVING, DRAINING or DELETED");
            };
            boolean gone = state == State.GONE;
            servers.add(new Server(row.text("id"), row.text("addr", ""),
                gone ? null : row.address("addr", null), row.text("zone", "-"), row.text("kind", "-"),
                (int) row.whole("cell", Integer.MIN_VALUE, Integer.MAX_VALUE, 0), state,
                row.number("weight", 0, 1e9, 1), (long) row.number("started_ms", 0, 9e15, 0)));
        }
        return new MemberList(list.whole("version", 0, Long.MAX_VALUE, 0), list.flag("full", true), servers);
    }
}

package beechseam.fleet.membership;

import java.util.List;

/** What nodes say to each other of who is there. {@code news} goes along with whatever is said anyway. */
public sealed interface Message {
    List<Standing> news();

    /**
     * Are you there? {@code target} and {@code life} say who is meant: another process at that address is
     * silent. A life of 0 means whoever has the name.
     */
    record Ping(long sequence, String target, long life, List<Standing> news) implements Message {}

    /** Ask the target for me, I do not hear it; to be answered by {@link Ack} or, in time, {@link Nack}. */
    record PingRequest(long sequence, String target, long life, String address, List<Standing> news)
            implements Message {}

    /** The answer to a ping, or to a request for one: the target is there. */
    record Ack(long sequence, List<Standing> news) implements Message {}

    /** I am there, but the target does not answer me either. */
    record Nack(long sequence, List<Standing> news) implements Message {}

    /** News alone, where there is some and nothing else to say. */
    record Gossip(List<Standing> news) implements Message {}

    /** A process asks to be let in under the name of {@code self}; its epoch counts for nothing yet. */
    record Join(Standing self, List<Standing> news) implements Message {}

    /** Let in: all that is known, the name's earlier lives too. */
    record Welcome(List<Standing> news) implements Message {}

    /** Not let in. */
    record Refusal(String why, List<Standing> news) implements Message {}

    /** All that is known; whoever gets one with {@code reply} false sends his own back. */
    record Exchange(boolean reply, List<Standing> news) implements Message {}

    /** About how many bytes it takes on a link, its frame included. */
    default int weight() {
        int sum = 12;
        for (Standing each : news()) {
            sum += each.weight();
        }
        if (this instanceof Ping p) {
            return sum + 16 + p.target.length();
        }
        if (this instanceof PingRequest p) {
            return sum + 18 + p.target.length() + p.address.length();
        }
        if (this instanceof Join j) {
            return sum + j.self.weight();
        }
        return this instanceof Refusal r ? sum + r.why.length() + 2 : sum + 6;
    }
}

package beechseam.fleet.membership;

import beechseam.fleet.membership.Message.StateExchange;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Anti-entropy by push-pull. In each interval the full state is sent to one random member that is up, and to one
 * random process that is considered dead or a seed at which no member is up: after a partition each side considers
 * the other dead, and these exchanges reconnect them. An exchange costs O(n).
 */
final class StateExchanger {
    /** Largest fleet with the configured interval; above it the interval grows with the logarithm of the size. */
    private static final double SCALING_THRESHOLD = 32;

    private final LocalNode local;
    private final MemberTable members;

    StateExchanger(LocalNode local, MemberTable members) {
        this.local = local;
        this.members = members;
    }

    /** Schedules the first exchange. */
    void start() {
        local.timers.after(local.jittered(intervalNs()), this::exchange);
    }

    /** Answers another member's exchange with this process's full state. */
    void onExchange(String name, String address, StateExchange message) {
        if (!message.reply() && local.phase() != MembershipPhase.JOINING) {
            local.host.send(name, address, new StateExchange(true, members.all()));
        }
    }

    private void exchange() {
        if (!local.isMember()) {
            return;
        }
        for (MemberEntry entry : members.sample(1, null)) {
            local.send(entry.member, new StateExchange(false, members.all()));
        }
        members.removeExpired();
        List<Member> candidates = reconnectCandidates();
        if (!candidates.isEmpty()) {
            Member receiver = candidates.get(local.random.nextInt(candidates.size()));
            local.send(receiver, new StateExchange(false, members.all()));
        }
        long delayNs =
                candidates.isEmpty() ? intervalNs() : Math.min(intervalNs(), local.options.stateExchangeIntervalNs());
        local.timers.after(local.jittered(delayNs), this::exchange);
    }

    /** Members that are considered dead, and seeds at whose address no member is up. */
    private List<Member> reconnectCandidates() {
        List<Member> candidates = new ArrayList<>();
        Set<String> upAddresses = new HashSet<>();
        for (MemberEntry entry : members.others()) {
            if (entry.member.isUp()) {
                upAddresses.add(entry.member.address());
            } else if (entry.member.status() == MemberStatus.DEAD) {
                candidates.add(entry.member);
            }
        }
        for (String seed : local.otherSeeds()) {
            if (!upAddresses.contains(seed)) {
                candidates.add(new Member("", seed, 0, 0, 0, MemberStatus.DEAD, "", Map.of()));
            }
        }
        return candidates;
    }

    private long intervalNs() {
        double ratio = members.size() / SCALING_THRESHOLD;
        return (long) (local.options.stateExchangeIntervalNs() * Math.max(1, 1 + Math.log(ratio) / Math.log(2)));
    }
}

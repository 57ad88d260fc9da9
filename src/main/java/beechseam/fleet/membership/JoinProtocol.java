package beechseam.fleet.membership;

import beechseam.fleet.membership.Message.Join;
import beechseam.fleet.membership.Message.JoinAccepted;
import beechseam.fleet.membership.Message.JoinRejected;
import java.util.List;

/**
 * Joining, from both sides: contacts the seeds until one accepts, and decides on the joins of others. A name is given
 * to a new process only once its last holder is down or does not answer.
 */
final class JoinProtocol {
    /** A process that no seed has answered becomes a fleet of its own after so many attempts. */
    private static final int MAX_ATTEMPTS = 4;

    private final LocalNode local;
    private final MemberTable members;
    private final Dissemination dissemination;
    private final FailureDetector failureDetector;
    private final StateExchanger stateExchanger;
    private int attempts;

    JoinProtocol(
            LocalNode local,
            MemberTable members,
            Dissemination dissemination,
            FailureDetector failureDetector,
            StateExchanger stateExchanger) {
        this.local = local;
        this.members = members;
        this.dissemination = dissemination;
        this.failureDetector = failureDetector;
        this.stateExchanger = stateExchanger;
    }

    /** Begins to join, or becomes a member at once where there are no other seeds. */
    void start() {
        if (local.otherSeeds().isEmpty()) {
            becomeMember("alone: no other seeds configured");
        } else {
            contactSeeds();
        }
    }

    private void contactSeeds() {
        if (local.phase() != MembershipPhase.JOINING) {
            return;
        }
        if (attempts >= MAX_ATTEMPTS) {
            becomeMember("alone: no seed answered");
            return;
        }
        attempts++;
        for (String seed : local.otherSeeds()) {
            local.host.send("", seed, new Join(local.self(), List.of()));
        }
        local.timers.after(local.jittered(local.options.probeIntervalNs()), this::contactSeeds);
    }

    private void becomeMember(String reason) {
        local.setPhase(MembershipPhase.MEMBER);
        local.reportChange(null, local.self(), reason);
        dissemination.announceSelf(local.self());
        failureDetector.start();
        stateExchanger.start();
    }

    /** A member has accepted this process; {@code sender} is its name or address. */
    void onAccepted(String sender) {
        if (local.phase() == MembershipPhase.JOINING) {
            becomeMember("accepted by " + sender);
        }
    }

    /** A member has rejected this process. */
    void onRejected(String reason) {
        if (local.phase() == MembershipPhase.JOINING) {
            local.reject(reason);
        }
    }

    /** A process asks to join. */
    void onJoin(Member joiner) {
        Member holder = members.find(joiner.name());
        boolean nameAvailable = holder == null
                || !holder.isUp()
                || holder.processId() == joiner.processId()
                || holder.address().equals(joiner.address()) && holder != local.self();
        if (nameAvailable) {
            accept(joiner);
        } else if (holder == local.self()) {
            reject(joiner, holder);
        } else {
            failureDetector.verifyHolder(
                    joiner.name() + joiner.processId(), holder, () -> reject(joiner, holder), () -> accept(joiner));
        }
    }

    private void accept(Member joiner) {
        local.send(joiner, new JoinAccepted(members.all()));
    }

    private void reject(Member joiner, Member holder) {
        local.send(joiner, new JoinRejected(nameTakenReason(holder), List.of()));
    }

    /** Text for operators: the name is held by a process that answers. */
    static String nameTakenReason(Member holder) {
        return "the name " + holder.name() + " is taken: the process at " + holder.address() + " answers to it";
    }
}

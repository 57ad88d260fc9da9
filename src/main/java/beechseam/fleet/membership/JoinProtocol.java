package beechseam.fleet.membership;

import beechseam.fleet.membership.Message.Join;
import beechseam.fleet.membership.Message.JoinAccepted;
import beechseam.fleet.membership.Message.JoinRejected;
import java.util.List;

/**
 * Both sides of joining: contacts the seeds until one accepts this process, and accepts or rejects the joins of other
 * processes. A new process may take a name only if the previous holder is down or does not answer.
 */
final class JoinProtocol {
    /** Number of attempts without an answer from any seed, after which a process forms a fleet of its own. */
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

    /** Starts to join, or becomes a member immediately if there are no other seeds. */
    void start() {
        if (local.otherSeeds().isEmpty()) {
            becomeMember("formed a new fleet: no other seeds are configured");
        } else {
            contactSeeds();
        }
    }

    private void contactSeeds() {
        if (local.phase() != MembershipPhase.JOINING) {
            return;
        }
        if (attempts >= MAX_ATTEMPTS) {
            becomeMember("formed a new fleet: no seed answered");
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

    /** Handles the acceptance by a member; {@code sender} is its name or address. */
    void onAccepted(String sender) {
        if (local.phase() == MembershipPhase.JOINING) {
            becomeMember("accepted by " + sender);
        }
    }

    /** Handles the rejection by a member. */
    void onRejected(String reason) {
        if (local.phase() == MembershipPhase.JOINING) {
            local.reject(reason);
        }
    }

    /** Accepts another process's join, or rejects it if a third process that answers, or this one, holds the name. */
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

    /** The reason of a rejection, for operators: the holder of the name is alive. */
    static String nameTakenReason(Member holder) {
        return "the name " + holder.name() + " is taken: the process at " + holder.address() + " answers to it";
    }
}

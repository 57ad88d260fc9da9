/**
 * Membership of a fleet by SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", 2002) with suspicion and incarnations, and Lifeguard (Dadgar, Phillips, Currey,
 * "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
 *
 * <p>{@link beechseam.fleet.membership.Membership} is the entry: a state machine that is told of messages and of time,
 * and sends through its {@link beechseam.fleet.membership.MembershipHost}. Its parts are the failure detector, the
 * merge of updates with their suspicions, refutation, dissemination, joining and the exchange of full state. The
 * package does no I/O, has no thread and no clock, and uses nothing but {@code java.util}. {@code fleet.model} runs it
 * in virtual time; nothing runs it on sockets yet.
 */
package beechseam.fleet.membership;

/**
 * Membership of a fleet by SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", 2002) with suspicion and incarnations, and Lifeguard (Dadgar, Phillips, Currey,
 * "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
 *
 * <p>{@link beechseam.fleet.membership.Membership} is the entry point: a state machine that receives messages and the
 * current time as input and sends through its {@link beechseam.fleet.membership.MembershipHost}. Its components are
 * the failure detector, the merging of updates and their suspicions, refutation, dissemination, joining and the
 * exchange of full state. The package does no I/O, has no threads and no clock, and depends only on
 * {@code java.util}. {@code fleet.model} runs it in virtual time; no code runs it on sockets yet.
 */
package beechseam.fleet.membership;

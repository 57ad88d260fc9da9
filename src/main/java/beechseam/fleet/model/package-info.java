/**
 * Simulation of whole fleets in virtual time. It runs the unmodified state machines of {@code fleet.membership} on one
 * clock, connected by a simulated network. A seed gives the same measurements in every run, and fleets can be larger
 * than tests over real sockets allow. It may use {@code fleet.membership}, {@code core}'s timer and {@code net}'s
 * timer queue; {@code cli} and tests use it.
 */
package beechseam.fleet.model;

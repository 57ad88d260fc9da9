/**
 * Simulation of whole fleets in virtual time: the unchanged state machines of {@code fleet.membership}, a simulated
 * network between them and one clock for all, so that a seed gives the same measurements at every run, at sizes that
 * sockets do not reach. It may use {@code fleet.membership}, {@code core}'s timer and {@code net}'s timer queue;
 * {@code cli} and tests use it.
 */
package beechseam.fleet.model;

/**
 * Fleets in virtual time: the machines of {@code fleet} unchanged, a simulated network between them and one
 * clock for all, so that what is measured is the same at every run of a seed, at sizes that no sockets reach.
 * It may use {@code fleet.membership}, {@code core}'s timer and {@code net}'s queue of them;
 * {@code cli} and tests use it.
 */
package beechseam.fleet.model;
